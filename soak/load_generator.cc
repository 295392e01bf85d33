#include "load_generator.h"

#include <algorithm>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

// Interval between two calls of occasional callers.
constexpr duration kCallInterval = Milliseconds(10);
// Interval of the readiness checks, and the number of consecutive failed checks
// after which a node receives no calls.
constexpr duration kCheckInterval = Seconds(1);
constexpr int kFailedChecksToRemove = 2;
constexpr std::size_t kMaxReadinessAnswerBytes = 1024;
// Callers reuse connections that have been idle for at most 80% of the site's
// idle timeout.
constexpr duration kConnectionReuseLimit = Milliseconds(7200);
constexpr std::size_t kClientsPerNode = 4;
// One occasional call in this many opens a new connection.
constexpr int64_t kNewConnectionForOneCallIn = 4;
constexpr std::size_t kPersistentCallersPerNode = 12;
// Bounds of the pause of a persistent caller between two calls. The maximum is
// below kSettlingTime, so that a caller learns of a connection that a fault has
// silenced before undisturbed time begins.
constexpr int64_t kMinThinkTimeMs = 10;
constexpr int64_t kMaxThinkTimeMs = 1500;
constexpr int64_t kStreamPercentageOfOccasionalCalls = 40;
constexpr int64_t kStreamPercentageOfPersistentCallers = 80;
// Half of the streams have few events in quick succession; the others last from
// one second to nine.
constexpr duration kShortEventInterval = Milliseconds(15);
constexpr duration kLongEventInterval = Milliseconds(150);
constexpr int64_t kMinLongStreamMs = 1000;
constexpr int64_t kStreamLengthRangeMs = 8000;
// One stream in this many waits in the endpoint's queue before it begins.
constexpr int64_t kQueueOneStreamIn = 16;
constexpr int64_t kMaxQueueTimeMs = 11000;
// The timeouts of the routes.
constexpr duration kPlainTimeout = Seconds(4);
constexpr duration kStreamTimeout = Seconds(12);
// One call in this many is cancelled by its caller before it ends.
constexpr int64_t kCancelOneCallIn = 40;
constexpr int64_t kMaxCancelDelayMs = 60;

http::request MakeRequest(const planned_call& call) {
  http::request message;
  message.method = "POST";
  message.target = call.target;
  message.headers = {
      {"Host", "h"},
      {"Attempt-Id", call.id},
      {"Deadline-Ms", std::to_string(ToMilliseconds(call.timeout))},
      {"X-Api-Key", call.key}};
  if (!call.model.empty()) {
    message.headers.Add("Model", call.model);
    message.headers.Add("Token-Count",
                        "10," + std::to_string(call.tokens - 10));
  }
  message.body = "body of " + call.id;
  return message;
}

}  // namespace

running_call::running_call(http::event_loop& loop,
                           http::client& client,
                           const planned_call& call,
                           duration max_idle_time,
                           callback done)
    : done_(std::move(done)), timer_(loop) {
  http::call_options options;
  options.head_timeout = call.timeout + Seconds(2);
  options.max_idle_time = max_idle_time;
  call_ =
      client.Send(http::Serialize(MakeRequest(call)), false, options, *this);
  timer_.Start(call.timeout + kAnswerSlack, [this] {
    end_.has_timed_out = true;
    call_.reset();
    Finish();
  });
}

running_call::~running_call() = default;

bool running_call::uses_reused_connection() const {
  return call_->uses_reused_connection();
}

bool running_call::OnHead(const http::response_head& head) {
  end_.status = head.status;
  end_.is_sealed = head.headers.Find("Server-Seal") != nullptr;
  return true;
}

void running_call::OnBody(std::string_view piece) {
  end_.body.append(piece);
}

void running_call::OnEnd() {
  end_.is_complete = true;
  Finish();
}

void running_call::OnFailure(http::call_failure failure) {
  end_.failure = failure;
  Finish();
}

void running_call::Finish() {
  timer_.Cancel();
  // The callback may destroy this object, so it is moved to the stack first.
  const callback done = std::move(done_);
  done(call_end(end_));
}

load_generator::load_generator(http::event_loop& loop,
                               soak_site& site,
                               invariant_checker& checker,
                               random_engine random)
    : loop_(loop),
      site_(site),
      checker_(checker),
      random_(random),
      call_timer_(loop),
      check_timer_(loop) {
  for (const site_node& node : site.nodes()) {
    node_clients added;
    for (std::size_t i = 0; i < kClientsPerNode; ++i)
      added.clients.push_back(std::make_unique<http::client>(
          loop, http::ParseEndpoint(node.caller_proxy->address()).value()));
    added.readiness_client = std::make_unique<http::client>(
        loop,
        http::ParseEndpoint(node.process->plan().readiness_address()).value());
    nodes_.push_back(std::move(added));
  }
  for (std::size_t i = 0; i < kPersistentCallersPerNode * nodes_.size(); ++i)
    persistent_callers_.emplace_back(loop);
}

void load_generator::Start() {
  CheckReadiness();
  ScheduleCall();
  for (persistent_caller& caller : persistent_callers_)
    ScheduleNextCall(caller);
}

int64_t load_generator::RandomBelow(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

void load_generator::ScheduleCall() {
  call_timer_.Start(kCallInterval, [this] {
    if (is_stopped_)
      return;
    SendOccasionalCall();
    ScheduleCall();
  });
}

platform_adapter::stream_shape load_generator::DrawStream() {
  platform_adapter::stream_shape out;
  if (RandomBelow(kQueueOneStreamIn) == 0)
    out.queue_time = Milliseconds(RandomBelow(kMaxQueueTimeMs));
  out.event_interval = kShortEventInterval;
  if (RandomBelow(2) == 0)
    return out;
  // The square prefers short streams.
  const int64_t drawn = RandomBelow(kStreamLengthRangeMs);
  const int64_t length_ms =
      kMinLongStreamMs + drawn * drawn / kStreamLengthRangeMs;
  out.event_interval = kLongEventInterval;
  out.events = length_ms / ToMilliseconds(kLongEventInterval);
  return out;
}

planned_call load_generator::DrawCall(int64_t stream_percentage) {
  planned_call call;
  call.id = "c" + std::to_string(++last_call_);
  const bool is_small = RandomBelow(4) == 0;
  call.team = is_small ? "small" : "beads";
  call.key = is_small ? "key2" : "key1";
  if (RandomBelow(100) < stream_percentage) {
    const bool is_resumable = RandomBelow(2) == 0;
    call.kind = is_resumable ? call_kind::resumable : call_kind::non_idempotent;
    call.target = (is_resumable ? "/write/" : "/chat/") + call.id;
    call.model =
        "m" + std::to_string(1 + std::min(RandomBelow(4), RandomBelow(4)));
    if (RandomBelow(3) == 0)
      call.model += "/a" + std::to_string(1 + RandomBelow(6));
    call.stream = DrawStream();
    call.tokens = 20;
    call.timeout = kStreamTimeout;
    return call;
  }
  call.tokens = 10;
  call.timeout = kPlainTimeout;
  if (RandomBelow(3) == 0) {
    call.kind = call_kind::idempotent;
    call.target = "/look/" + call.id + "?q=1";
  } else {
    call.kind = call_kind::non_idempotent;
    call.target = "/order/" + call.id;
  }
  return call;
}

std::size_t load_generator::PickNode() {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].failed_checks < kFailedChecksToRemove)
      ready.push_back(i);
  }
  const auto drawn = static_cast<std::size_t>(random_());
  return ready.empty() ? drawn % nodes_.size() : ready[drawn % ready.size()];
}

void load_generator::SendOccasionalCall() {
  const std::size_t node = PickNode();
  http::client& client =
      *nodes_[node]
           .clients[static_cast<std::size_t>(random_()) % kClientsPerNode];
  const duration max_idle_time = RandomBelow(kNewConnectionForOneCallIn) == 0
                                     ? duration::zero()
                                     : kConnectionReuseLimit;
  SendCall(DrawCall(kStreamPercentageOfOccasionalCalls), node, client,
           max_idle_time, [] {});
}

void load_generator::ScheduleNextCall(persistent_caller& caller) {
  // The cube prefers short pauses.
  const double drawn = static_cast<double>(RandomBelow(1000)) / 1000;
  const auto pause_ms = static_cast<int64_t>(
      static_cast<double>(kMaxThinkTimeMs - kMinThinkTimeMs) * drawn * drawn *
      drawn);
  caller.timer.Start(Milliseconds(kMinThinkTimeMs + pause_ms), [this, &caller] {
    if (!is_stopped_)
      SendNextCall(caller);
  });
}

void load_generator::SendNextCall(persistent_caller& caller) {
  if (!caller.client || caller.client->idle_connections() == 0) {
    caller.node = PickNode();
    caller.client = std::make_unique<http::client>(
        loop_,
        http::ParseEndpoint(site_.nodes()[caller.node].caller_proxy->address())
            .value());
  }
  SendCall(DrawCall(kStreamPercentageOfPersistentCallers), caller.node,
           *caller.client, kConnectionReuseLimit,
           [this, &caller] { ScheduleNextCall(caller); });
}

void load_generator::SendCall(planned_call plan,
                              std::size_t node,
                              http::client& client,
                              duration max_idle_time,
                              std::function<void()> done) {
  calls_.emplace_back();
  const auto entry = std::prev(calls_.end());
  entry->plan = std::move(plan);
  entry->node = node;
  entry->sent_at = boot_clock::now();
  entry->done = std::move(done);
  checker_.OnSent(entry->plan, entry->sent_at);
  entry->running = std::make_unique<running_call>(
      loop_, client, entry->plan, max_idle_time,
      [this, entry](const call_end& end) { OnCallEnd(entry, end); });
  entry->is_first_on_connection = !entry->running->uses_reused_connection();
  if (RandomBelow(kCancelOneCallIn) != 0)
    return;
  entry->cancel_timer = std::make_unique<http::timer>(loop_);
  entry->cancel_timer->Start(Milliseconds(RandomBelow(kMaxCancelDelayMs)),
                             [this, entry] {
                               checker_.OnCancelled();
                               const open_call cancelled = std::move(*entry);
                               calls_.erase(entry);
                               cancelled.done();
                             });
}

void load_generator::OnCallEnd(std::list<open_call>::iterator entry,
                               const call_end& end) {
  const time_point now = boot_clock::now();
  const open_call ended = std::move(*entry);
  calls_.erase(entry);
  checker_.OnEnd(ended.plan, end,
                 site_.ConditionsOf(site_.nodes()[ended.node], ended.sent_at,
                                    ended.is_first_on_connection),
                 now);
  if (ended.plan.team == "beads")
    outcomes_.push_back({now, end.is_complete && end.status == 200});
  ended.done();
}

void load_generator::CheckReadiness() {
  for (node_clients& each : nodes_) {
    // A check that is still pending after a whole interval counts as failed.
    if (each.readiness_check)
      ++each.failed_checks;
    each.readiness_check = std::make_unique<http::buffered_call>(
        loop_, *each.readiness_client,
        http::request{"GET", "/readyz", {{"Host", "h"}}, ""}, kCheckInterval,
        kMaxReadinessAnswerBytes,
        [&each](const http::response* answer, http::call_failure) {
          const bool is_ready = answer != nullptr && answer->head.status == 200;
          each.failed_checks = is_ready ? 0 : each.failed_checks + 1;
          const auto done = std::move(each.readiness_check);
        });
  }
  check_timer_.Start(kCheckInterval, [this] {
    if (!is_stopped_)
      CheckReadiness();
  });
}

int64_t load_generator::CountEndedSince(time_point since) const {
  return std::count_if(
      outcomes_.begin(), outcomes_.end(),
      [since](const outcome& each) { return each.at >= since; });
}

int64_t load_generator::CountAnsweredSince(time_point since) const {
  return std::count_if(outcomes_.begin(), outcomes_.end(),
                       [since](const outcome& each) {
                         return each.at >= since && each.is_answered;
                       });
}

}  // namespace jasminepath::soak
