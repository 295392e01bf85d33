#include "jasminepath/standin/engine_standin.h"

#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "chat_request.h"
#include "engine_residents.h"
#include "http_host.h"
#include "jasminepath/base/random.h"
#include "json_text.h"
#include "prompt_cache.h"
#include "store_client.h"
#include "stream_book.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kAcceptedStatus = 202;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kNoMemoryStatus = 507;
constexpr int kCrashExitCode = 3;
constexpr std::size_t kIncarnationBytes = 8;
constexpr duration kTick = Milliseconds(2);
constexpr duration kStoreTick = Milliseconds(20);
constexpr duration kLongestTokenSleep = Milliseconds(20);
// A cached prefix shortens the first token's time by this factor.
constexpr int kCachedSpeedup = 4;
constexpr char kStreamPrefix[] = "/v1/streams/";
constexpr char kInitialVersion[] = "1";

}  // namespace

class engine_standin::impl {
 public:
  explicit impl(const engine_options& options)
      : options_(options),
        cached_on_disk_(options.cached_on_disk.begin(),
                        options.cached_on_disk.end()),
        host_(options.listen,
              [this](const received_request& request, reply& answer) {
                Handle(request, answer);
              }) {
    BeginRun();
    LoadInitialModels();
    ticker_ = std::thread([this] { Tick(); });
    store_watcher_ = std::thread([this] { WatchStore(); });
    host_.Start();
  }

  ~impl() {
    host_.Stop();
    ticker_.join();
    store_watcher_.join();
  }

  uint16_t port() const { return host_.port(); }

 private:
  // What one run of the engine holds; lost in a crash.
  struct engine_run {
    engine_run(const engine_options& options, const std::string& incarnation)
        : residents(options, incarnation),
          streams(options.max_running),
          cache(options.cache_bytes,
                options.event_lag,
                options.event_gap_every) {}
    engine_residents residents;
    stream_book streams;
    prompt_cache cache;
  };

  struct load_sample {
    time_point taken;
    int64_t running = 0;
    int64_t waiting = 0;
    int64_t cache_used = 0;
  };

  void BeginRun() {
    incarnation_ = SecureRandomHex(kIncarnationBytes);
    run_.emplace(options_, incarnation_);
    samples_.clear();
    samples_.push_back({boot_clock::now(), 0, 0, 0});
  }

  void LoadInitialModels() {
    const time_point now = boot_clock::now();
    for (const std::string& model : options_.resident) {
      received_order order;
      order.id = "initial-" + model;
      order.model = model;
      order.version = kInitialVersion;
      order.source = checkpoint_source::memory;
      order.load_time = duration(0);
      run_->residents.Take(order, false, now);
    }
    run_->residents.Advance(now);
  }

  // Needs the lock.
  void Crash(time_point now) {
    if (options_.exit_on_crash)
      ::_exit(kCrashExitCode);
    ++crashes_;
    const auto& fetched = run_->residents.fetched();
    cached_on_disk_.insert(fetched.begin(), fetched.end());
    overcommits_before_ += run_->residents.overcommits();
    dead_until_ = now + options_.restart_time;
    BeginRun();
  }

  void Tick() {
    while (host_.stop().SleepFor(kTick))
      AdvanceTo(boot_clock::now());
  }

  void AdvanceTo(time_point now) {
    const std::lock_guard lock(mutex_);
    run_->streams.Advance(now);
    if (!run_->residents.Advance(now))
      Crash(now);
    Sample(now);
  }

  // Needs the lock. Keeps the newest sample that is old enough to show.
  void Sample(time_point now) {
    samples_.push_back({now, run_->streams.running(), run_->streams.waiting(),
                        run_->cache.bytes_used()});
    while (samples_.size() > 1 && samples_[1].taken + options_.load_lag <= now)
      samples_.pop_front();
  }

  void WatchStore() {
    if (options_.store_host.empty())
      return;
    while (host_.stop().SleepFor(kStoreTick)) {
      const std::string incarnation = Incarnation();
      const store_client store(options_.store_host, options_.store_port,
                               incarnation + "-");
      for (const pending_load& load : StoreLoads()) {
        if (store.IsComplete(load))
          CompleteStoreLoad(incarnation, load.id);
      }
    }
  }

  std::string Incarnation() {
    const std::lock_guard lock(mutex_);
    return incarnation_;
  }

  std::vector<pending_load> StoreLoads() {
    const std::lock_guard lock(mutex_);
    return run_->residents.StoreLoads();
  }

  void CompleteStoreLoad(const std::string& incarnation,
                         const std::string& id) {
    const std::lock_guard lock(mutex_);
    if (incarnation == incarnation_)
      run_->residents.CompleteStoreLoad(id);
  }

  bool IsDead() {
    const std::lock_guard lock(mutex_);
    return boot_clock::now() < dead_until_;
  }

  void Handle(const received_request& request, reply& answer) {
    const std::string path = request.PathOnly();
    if (path == "/standin/violations")
      return ListViolations(answer);
    if (IsDead())
      return answer.Cut();
    if (path == "/v1/chat/completions")
      return Complete(request, true, answer);
    if (path == "/v1/completions")
      return Complete(request, false, answer);
    if (path.starts_with(kStreamPrefix) && request.method == "DELETE")
      return CancelStream(request, answer);
    if (path.starts_with(kStreamPrefix))
      return ResumeStream(request, answer);
    if (path == "/engine/status")
      return ReportStatus(answer);
    if (path == "/engine/orders")
      return TakeOrder(request, answer);
    if (path == "/engine/events")
      return ListEvents(request, answer);
    answer.Send(kNotFoundStatus, ErrorText("no such path"));
  }

  void ListViolations(reply& answer) {
    const std::lock_guard lock(mutex_);
    json_object said;
    said.set("overcommits",
             overcommits_before_ + run_->residents.overcommits());
    said.set("crashes", crashes_);
    answer.Send(kOkStatus, ToText(said));
  }

  // True if the request's body crashed the engine.
  bool MeetsCrash(const received_request& request) {
    const std::string text = host_.faults().lasting().crash_text;
    if (text.empty() || request.body.find(text) == std::string::npos)
      return false;
    const std::lock_guard lock(mutex_);
    Crash(boot_clock::now());
    return true;
  }

  void Complete(const received_request& request, bool chat, reply& answer) {
    if (MeetsCrash(request))
      return answer.Cut();
    std::string id = request.Header("X-Request-Id");
    if (id.empty())
      id = SecureRandomHex(kIncarnationBytes);
    const chat_request asked = ParseChatRequest(id, chat, request.body);
    const auto incarnation = Begin(asked);
    if (!incarnation) {
      return answer.Send(
          kNotFoundStatus,
          R"({"error":{"code":"model_not_resident"},"run":"not_run"})");
    }
    if (asked.stream)
      return SendEvents(asked, 0, *incarnation, answer);
    if (!WaitForToken(asked, asked.max_tokens - 1, *incarnation, answer))
      return answer.Cut();
    answer.Send(kOkStatus, AnswerText(asked));
  }

  // Begins a generation; the incarnation that runs it, or nothing if the model
  // is not resident.
  std::optional<std::string> Begin(const chat_request& asked) {
    const std::lock_guard lock(mutex_);
    if (!run_->residents.CanRun(asked.model, asked.adapter))
      return std::nullopt;
    const time_point now = boot_clock::now();
    stream_timing timing{options_.first_token, options_.per_token};
    if (run_->cache.Use(asked.requested_model, asked.prompt, now))
      timing.first_token /= kCachedSpeedup;
    run_->streams.Begin(asked.id, asked, timing, now);
    return incarnation_;
  }

  token_state TokenAt(const std::string& id,
                      int64_t index,
                      const std::string& incarnation) {
    const std::lock_guard lock(mutex_);
    if (incarnation != incarnation_)
      return {};
    return run_->streams.TokenAt(id, index);
  }

  // Waits until the token is there. False if it never will be.
  bool WaitForToken(const chat_request& asked,
                    int64_t index,
                    const std::string& incarnation,
                    reply& answer) {
    while (true) {
      const token_state state = TokenAt(asked.id, index, incarnation);
      const time_point now = boot_clock::now();
      duration sleep = kTick;
      if (state.at == token_state::kind::due_at) {
        if (state.due <= now)
          return true;
        sleep = std::min(state.due - now, kLongestTokenSleep);
      } else if (state.at != token_state::kind::waiting) {
        return false;
      }
      if (!answer.stop().SleepFor(sleep))
        return false;
    }
  }

  void SendEvents(const chat_request& asked,
                  int64_t first,
                  const std::string& incarnation,
                  reply& answer) {
    answer.BeginEvents();
    const int64_t count = EventCount(asked);
    for (int64_t index = first; index < count; ++index) {
      const int64_t token = std::min(index, asked.max_tokens - 1);
      if (!WaitForToken(asked, token, incarnation, answer))
        return answer.Cut();
      if (!answer.SendEvent(EventText(asked, index)))
        return;
    }
  }

  static std::string StreamId(const received_request& request) {
    std::string id;
    Poco::URI::decode(
        request.PathOnly().substr(std::string(kStreamPrefix).size()), id);
    return id;
  }

  void CancelStream(const received_request& request, reply& answer) {
    {
      const std::lock_guard lock(mutex_);
      run_->streams.Cancel(StreamId(request));
    }
    answer.Send(kOkStatus, "{}");
  }

  void ResumeStream(const received_request& request, reply& answer) {
    const std::string from = request.Parameter("from");
    const int64_t first = from.empty() ? 0 : Poco::NumberParser::parse64(from);
    std::optional<chat_request> asked;
    std::string incarnation;
    {
      const std::lock_guard lock(mutex_);
      asked = run_->streams.Find(StreamId(request));
      incarnation = incarnation_;
    }
    if (!asked)
      return answer.Send(kNotFoundStatus, ErrorText("no such stream"));
    SendEvents(*asked, first, incarnation, answer);
  }

  void ReportStatus(reply& answer) {
    json_object status;
    {
      const std::lock_guard lock(mutex_);
      run_->residents.Describe(status);
      status.set("load", DescribeLoad(boot_clock::now()));
      status.set("cached", DescribeCached());
    }
    answer.Send(kOkStatus, ToText(status));
  }

  // Needs the lock.
  json_object::Ptr DescribeLoad(time_point now) const {
    const load_sample& sample = samples_.front();
    json_object::Ptr load = new json_object;
    load->set("running", sample.running);
    load->set("waiting", sample.waiting);
    load->set("cache_used_bytes", sample.cache_used);
    load->set("age_ms", ToMilliseconds(now - sample.taken));
    return load;
  }

  // Needs the lock.
  json_object::Ptr DescribeCached() const {
    json_array::Ptr memory = new json_array;
    for (const std::string& model : run_->residents.cached_in_memory())
      memory->add(model);
    std::set<std::string> on_disk = cached_on_disk_;
    const auto& fetched = run_->residents.fetched();
    on_disk.insert(fetched.begin(), fetched.end());
    json_array::Ptr disk = new json_array;
    for (const std::string& model : on_disk)
      disk->add(model);
    json_object::Ptr cached = new json_object;
    cached->set("memory", memory);
    cached->set("disk", disk);
    return cached;
  }

  void TakeOrder(const received_request& request, reply& answer) {
    const received_order order = ParseOrder(*ParseObject(request.body));
    const bool dies = order.kind == order_kind::load_model &&
                      host_.faults().TakeDeathInLoad();
    order_result said = order_result::accepted;
    int64_t fence = 0;
    {
      const std::lock_guard lock(mutex_);
      said = run_->residents.Take(order, dies, boot_clock::now());
      fence = run_->residents.fence();
    }
    AnswerOrder(said, fence, answer);
  }

  static void AnswerOrder(order_result said, int64_t fence, reply& answer) {
    json_object body;
    switch (said) {
      case order_result::accepted:
        body.set("accepted", true);
        return answer.Send(kAcceptedStatus, ToText(body));
      case order_result::stale_epoch:
        body.set("error", "stale_epoch");
        body.set("epoch", fence);
        return answer.Send(kConflictStatus, ToText(body));
      case order_result::no_memory:
        return answer.Send(kNoMemoryStatus, ErrorText("no_memory"));
      case order_result::unloading:
        return answer.Send(kConflictStatus, ErrorText("unloading"));
      case order_result::no_such_model:
        return answer.Send(kConflictStatus, ErrorText("model_not_resident"));
    }
  }

  void ListEvents(const received_request& request, reply& answer) {
    const std::string after = request.Parameter("after");
    const int64_t seen = after.empty() ? 0 : Poco::NumberParser::parse64(after);
    json_object page;
    {
      const std::lock_guard lock(mutex_);
      page.set("incarnation", incarnation_);
      run_->cache.Describe(seen, boot_clock::now(), page);
    }
    answer.Send(kOkStatus, ToText(page));
  }

  const engine_options options_;
  std::mutex mutex_;
  std::string incarnation_;
  std::optional<engine_run> run_;
  std::deque<load_sample> samples_;
  std::set<std::string> cached_on_disk_;
  time_point dead_until_{};
  int64_t crashes_ = 0;
  int64_t overcommits_before_ = 0;
  std::thread ticker_;
  std::thread store_watcher_;
  http_host host_;
};

engine_standin::engine_standin(const engine_options& options)
    : impl_(std::make_unique<impl>(options)) {}

engine_standin::~engine_standin() = default;

uint16_t engine_standin::port() const {
  return impl_->port();
}

}  // namespace jasminepath::standin
