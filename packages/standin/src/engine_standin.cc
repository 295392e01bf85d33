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
#include "generation_registry.h"
#include "http_host.h"
#include "jasminepath/base/random.h"
#include "json_text.h"
#include "prompt_cache.h"
#include "resident_models.h"
#include "store_client.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kAcceptedStatus = 202;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kNoMemoryStatus = 507;
constexpr int kCrashExitCode = 3;
constexpr std::size_t kIncarnationBytes = 8;
constexpr duration kTickInterval = Milliseconds(2);
constexpr duration kStorePollInterval = Milliseconds(20);
constexpr duration kMaxTokenSleep = Milliseconds(20);
// The factor by which a cached prefix shortens the time to the first token.
constexpr int kCachedPrefixSpeedup = 4;
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
    ticker_ = std::thread([this] { RunTicker(); });
    store_poller_ = std::thread([this] { PollStoreLoads(); });
    host_.Start();
  }

  ~impl() {
    host_.Stop();
    ticker_.join();
    store_poller_.join();
  }

  uint16_t port() const { return host_.port(); }

 private:
  // The state of one run of the engine, which a crash discards.
  struct engine_run {
    engine_run(const engine_options& options, const std::string& incarnation)
        : models(options, incarnation),
          generations(options.max_running),
          cache(options.cache_bytes,
                options.event_lag,
                options.event_gap_every) {}
    resident_models models;
    generation_registry generations;
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
      run_->models.HandleOrder(order, false, now);
    }
    run_->models.Advance(now);
  }

  // Requires the lock.
  void Crash(time_point now) {
    if (options_.exit_on_crash)
      ::_exit(kCrashExitCode);
    ++crashes_;
    const auto& fetched = run_->models.fetched();
    cached_on_disk_.insert(fetched.begin(), fetched.end());
    earlier_overcommits_ += run_->models.overcommits();
    restart_done_at_ = now + options_.restart_time;
    BeginRun();
  }

  void RunTicker() {
    while (host_.stop().SleepFor(kTickInterval))
      AdvanceTo(boot_clock::now());
  }

  void AdvanceTo(time_point now) {
    const std::lock_guard lock(mutex_);
    run_->generations.Advance(now);
    if (!run_->models.Advance(now))
      Crash(now);
    RecordSample(now);
  }

  // Requires the lock. Keeps the newest sample that is at least `load_lag` old
  // and all newer ones.
  void RecordSample(time_point now) {
    samples_.push_back({now, run_->generations.running(),
                        run_->generations.waiting(), run_->cache.bytes_used()});
    while (samples_.size() > 1 && samples_[1].taken + options_.load_lag <= now)
      samples_.pop_front();
  }

  void PollStoreLoads() {
    if (options_.store_host.empty())
      return;
    while (host_.stop().SleepFor(kStorePollInterval)) {
      const std::string incarnation = Incarnation();
      const store_client store(options_.store_host, options_.store_port,
                               incarnation + "-");
      for (const pending_load& load : PendingStoreLoads()) {
        if (store.IsComplete(load))
          CompleteStoreLoad(incarnation, load.id);
      }
    }
  }

  std::string Incarnation() {
    const std::lock_guard lock(mutex_);
    return incarnation_;
  }

  std::vector<pending_load> PendingStoreLoads() {
    const std::lock_guard lock(mutex_);
    return run_->models.PendingStoreLoads();
  }

  void CompleteStoreLoad(const std::string& incarnation,
                         const std::string& id) {
    const std::lock_guard lock(mutex_);
    if (incarnation == incarnation_)
      run_->models.CompleteStoreLoad(id);
  }

  bool IsRestarting() {
    const std::lock_guard lock(mutex_);
    return boot_clock::now() < restart_done_at_;
  }

  void Handle(const received_request& request, reply& answer) {
    const std::string path = request.PathOnly();
    if (path == "/standin/violations")
      return ListViolations(answer);
    if (IsRestarting())
      return answer.CloseConnection();
    if (path == "/v1/chat/completions")
      return HandleCompletion(request, true, answer);
    if (path == "/v1/completions")
      return HandleCompletion(request, false, answer);
    if (path.starts_with(kStreamPrefix) && request.method == "DELETE")
      return CancelStream(request, answer);
    if (path.starts_with(kStreamPrefix))
      return ResumeStream(request, answer);
    if (path == "/engine/status")
      return ReportStatus(answer);
    if (path == "/engine/orders")
      return HandleOrder(request, answer);
    if (path == "/engine/events")
      return ListEvents(request, answer);
    answer.Send(kNotFoundStatus, ErrorText("no such path"));
  }

  void ListViolations(reply& answer) {
    const std::lock_guard lock(mutex_);
    json_object response;
    response.set("overcommits",
                 earlier_overcommits_ + run_->models.overcommits());
    response.set("crashes", crashes_);
    answer.Send(kOkStatus, ToText(response));
  }

  // Crashes the engine if the request's body contains the text of that fault.
  // True if it crashed.
  bool CrashOnMatchingBody(const received_request& request) {
    const std::string text = host_.faults().persistent().crash_text;
    if (text.empty() || request.body.find(text) == std::string::npos)
      return false;
    const std::lock_guard lock(mutex_);
    Crash(boot_clock::now());
    return true;
  }

  void HandleCompletion(const received_request& request,
                        bool chat,
                        reply& answer) {
    if (CrashOnMatchingBody(request))
      return answer.CloseConnection();
    std::string id = request.Header("X-Request-Id");
    if (id.empty())
      id = SecureRandomHex(kIncarnationBytes);
    const chat_request completion = ParseChatRequest(id, chat, request.body);
    const auto incarnation = BeginGeneration(completion);
    if (!incarnation) {
      return answer.Send(
          kNotFoundStatus,
          R"({"error":{"code":"model_not_resident"},"run":"not_run"})");
    }
    if (completion.stream)
      return SendEvents(completion, 0, *incarnation, answer);
    if (!WaitForToken(completion, completion.max_tokens - 1, *incarnation,
                      answer))
      return answer.CloseConnection();
    answer.Send(kOkStatus, AnswerText(completion));
  }

  // Begins a generation. Returns the incarnation that runs it, or nothing if
  // the model is not resident.
  std::optional<std::string> BeginGeneration(const chat_request& completion) {
    const std::lock_guard lock(mutex_);
    if (!run_->models.CanRun(completion.model, completion.adapter))
      return std::nullopt;
    const time_point now = boot_clock::now();
    stream_timing timing{options_.first_token, options_.per_token};
    if (run_->cache.Use(completion.requested_model, completion.prompt, now))
      timing.first_token /= kCachedPrefixSpeedup;
    run_->generations.BeginGeneration(completion.id, completion, timing, now);
    return incarnation_;
  }

  token_state TokenAt(const std::string& id,
                      int64_t index,
                      const std::string& incarnation) {
    const std::lock_guard lock(mutex_);
    if (incarnation != incarnation_)
      return {};
    return run_->generations.TokenAt(id, index);
  }

  // Waits until the token is available. False if the generation was cancelled
  // or lost, or if the stand-in stops.
  bool WaitForToken(const chat_request& completion,
                    int64_t index,
                    const std::string& incarnation,
                    reply& answer) {
    while (true) {
      const token_state state = TokenAt(completion.id, index, incarnation);
      const time_point now = boot_clock::now();
      duration sleep = kTickInterval;
      if (state.at == token_state::kind::due_at) {
        if (state.due <= now)
          return true;
        sleep = std::min(state.due - now, kMaxTokenSleep);
      } else if (state.at != token_state::kind::waiting) {
        return false;
      }
      if (!answer.stop().SleepFor(sleep))
        return false;
    }
  }

  void SendEvents(const chat_request& completion,
                  int64_t first,
                  const std::string& incarnation,
                  reply& answer) {
    answer.BeginEvents();
    const int64_t count = EventCount(completion);
    for (int64_t index = first; index < count; ++index) {
      const int64_t token = std::min(index, completion.max_tokens - 1);
      if (!WaitForToken(completion, token, incarnation, answer))
        return answer.CloseConnection();
      if (!answer.SendEvent(EventText(completion, index)))
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
      run_->generations.Cancel(StreamId(request));
    }
    answer.Send(kOkStatus, "{}");
  }

  void ResumeStream(const received_request& request, reply& answer) {
    const std::string from = request.Parameter("from");
    const int64_t first = from.empty() ? 0 : Poco::NumberParser::parse64(from);
    std::optional<chat_request> completion;
    std::string incarnation;
    {
      const std::lock_guard lock(mutex_);
      completion = run_->generations.Find(StreamId(request));
      incarnation = incarnation_;
    }
    if (!completion)
      return answer.Send(kNotFoundStatus, ErrorText("no such stream"));
    SendEvents(*completion, first, incarnation, answer);
  }

  void ReportStatus(reply& answer) {
    json_object status;
    {
      const std::lock_guard lock(mutex_);
      run_->models.Describe(status);
      status.set("load", DescribeLoad(boot_clock::now()));
      status.set("cached", DescribeCached());
    }
    answer.Send(kOkStatus, ToText(status));
  }

  // Requires the lock.
  json_object::Ptr DescribeLoad(time_point now) const {
    const load_sample& sample = samples_.front();
    json_object::Ptr load = new json_object;
    load->set("running", sample.running);
    load->set("waiting", sample.waiting);
    load->set("cache_used_bytes", sample.cache_used);
    load->set("age_ms", ToMilliseconds(now - sample.taken));
    return load;
  }

  // Requires the lock.
  json_object::Ptr DescribeCached() const {
    json_array::Ptr memory = new json_array;
    for (const std::string& model : run_->models.cached_in_memory())
      memory->add(model);
    std::set<std::string> on_disk = cached_on_disk_;
    const auto& fetched = run_->models.fetched();
    on_disk.insert(fetched.begin(), fetched.end());
    json_array::Ptr disk = new json_array;
    for (const std::string& model : on_disk)
      disk->add(model);
    json_object::Ptr cached = new json_object;
    cached->set("memory", memory);
    cached->set("disk", disk);
    return cached;
  }

  void HandleOrder(const received_request& request, reply& answer) {
    const received_order order = ParseOrder(*ParseObject(request.body));
    const bool should_crash = order.kind == order_kind::load_model &&
                              host_.faults().ConsumeCrashDuringLoad();
    order_result outcome = order_result::accepted;
    int64_t fence = 0;
    {
      const std::lock_guard lock(mutex_);
      outcome =
          run_->models.HandleOrder(order, should_crash, boot_clock::now());
      fence = run_->models.fence();
    }
    AnswerOrder(outcome, fence, answer);
  }

  static void AnswerOrder(order_result outcome, int64_t fence, reply& answer) {
    json_object body;
    switch (outcome) {
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
  time_point restart_done_at_{};
  int64_t crashes_ = 0;
  int64_t earlier_overcommits_ = 0;
  std::thread ticker_;
  std::thread store_poller_;
  http_host host_;
};

engine_standin::engine_standin(const engine_options& options)
    : impl_(std::make_unique<impl>(options)) {}

engine_standin::~engine_standin() = default;

uint16_t engine_standin::port() const {
  return impl_->port();
}

}  // namespace jasminepath::standin
