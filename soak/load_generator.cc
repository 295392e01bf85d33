#include "load_generator.h"

#include <algorithm>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

// Interval between two calls.
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
}

void load_generator::Start() {
  CheckReadiness();
  ScheduleCall();
}

int64_t load_generator::RandomBelow(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

void load_generator::ScheduleCall() {
  call_timer_.Start(kCallInterval, [this] {
    if (is_stopped_)
      return;
    SendCall();
    ScheduleCall();
  });
}

planned_call load_generator::DrawCall() {
  planned_call call;
  call.id = "c" + std::to_string(++last_call_);
  const bool is_small = RandomBelow(4) == 0;
  call.team = is_small ? "small" : "beads";
  call.key = is_small ? "key2" : "key1";
  call.tokens = 10;
  call.timeout = Seconds(4);
  switch (RandomBelow(5)) {
    case 0:
    case 1:
      call.kind = call_kind::non_idempotent;
      call.target = "/order/" + call.id;
      break;
    case 2:
      call.kind = call_kind::idempotent;
      call.target = "/look/" + call.id + "?q=1";
      break;
    default:
      call.kind = call_kind::resumable;
      call.target = "/write/" + call.id;
      call.model =
          "m" + std::to_string(1 + std::min(RandomBelow(4), RandomBelow(4)));
      if (RandomBelow(3) == 0)
        call.model += "/a" + std::to_string(1 + RandomBelow(6));
      call.tokens = 20;
      call.timeout = Seconds(6);
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

void load_generator::SendCall() {
  calls_.emplace_back();
  const auto entry = std::prev(calls_.end());
  entry->plan = DrawCall();
  entry->sent_at = boot_clock::now();
  checker_.OnSent(entry->plan, entry->sent_at);
  node_clients& node = nodes_[PickNode()];
  http::client& client =
      *node.clients[static_cast<std::size_t>(random_()) % kClientsPerNode];
  entry->running = std::make_unique<running_call>(
      loop_, client, entry->plan, kConnectionReuseLimit,
      [this, entry](const call_end& end) {
        const time_point now = boot_clock::now();
        const open_call ended = std::move(*entry);
        calls_.erase(entry);
        checker_.OnEnd(ended.plan, end, site_.WasUndisturbed(ended.sent_at),
                       now);
        if (ended.plan.team == "beads")
          outcomes_.push_back({now, end.is_complete && end.status == 200});
      });
  if (RandomBelow(kCancelOneCallIn) != 0)
    return;
  entry->cancel_timer = std::make_unique<http::timer>(loop_);
  entry->cancel_timer->Start(Milliseconds(RandomBelow(kMaxCancelDelayMs)),
                             [this, entry] {
                               checker_.OnCancelled();
                               const open_call cancelled = std::move(*entry);
                               calls_.erase(entry);
                             });
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
