#include "caller.h"

#include <algorithm>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

// Pause between two calls of the crowd.
constexpr duration kCallInterval = Milliseconds(10);
// Interval of the balancer's checks, and misses that take a node out.
constexpr duration kCheckInterval = Seconds(1);
constexpr int kMissesToLeave = 2;
// Callers use idle connections again up to four fifths of the site's limit.
constexpr duration kReuse = Milliseconds(7200);
constexpr std::size_t kClientsPerNode = 4;
// One caller in so many leaves early.
constexpr int64_t kLeavesOneIn = 40;
constexpr int64_t kLeavesWithinMs = 60;

http::request MessageOf(const planned_call& call) {
  http::request message;
  message.method = "POST";
  message.target = call.target;
  message.headers = {
      {"Host", "h"},
      {"Attempt-Id", call.id},
      {"Deadline-Ms", std::to_string(ToMilliseconds(call.patience))},
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
  options.head_timeout = call.patience + Seconds(2);
  options.max_idle_time = max_idle_time;
  call_ = client.Send(http::Serialize(MessageOf(call)), false, options, *this);
  timer_.Start(call.patience + kAnswerSlack, [this] {
    end_.was_held = true;
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
  end_.is_whole = true;
  Finish();
}

void running_call::OnFailure(http::call_failure failure) {
  end_.failure = failure;
  Finish();
}

void running_call::Finish() {
  timer_.Cancel();
  // Destroys this object.
  const callback done = std::move(done_);
  done(call_end(end_));
}

caller_crowd::caller_crowd(http::event_loop& loop,
                           soak_site& site,
                           promise_ledger& ledger,
                           random_engine random)
    : loop_(loop),
      site_(site),
      ledger_(ledger),
      random_(random),
      call_timer_(loop),
      check_timer_(loop) {
  for (const site_node& node : site.nodes()) {
    route made;
    for (std::size_t i = 0; i < kClientsPerNode; ++i)
      made.clients.push_back(std::make_unique<http::client>(
          loop, http::ParseEndpoint(node.callers->address()).value()));
    made.balancer = std::make_unique<http::client>(
        loop,
        http::ParseEndpoint(node.process->plan().readiness_address()).value());
    routes_.push_back(std::move(made));
  }
}

void caller_crowd::Start() {
  CheckReadiness();
  ScheduleCall();
}

int64_t caller_crowd::Below(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

void caller_crowd::ScheduleCall() {
  call_timer_.Start(kCallInterval, [this] {
    if (stopped_)
      return;
    SendCall();
    ScheduleCall();
  });
}

planned_call caller_crowd::Draw() {
  planned_call call;
  call.id = "c" + std::to_string(++last_call_);
  const bool is_small = Below(4) == 0;
  call.team = is_small ? "small" : "beads";
  call.key = is_small ? "key2" : "key1";
  call.tokens = 10;
  call.patience = Seconds(4);
  switch (Below(5)) {
    case 0:
    case 1:
      call.kind = call_kind::once;
      call.target = "/order/" + call.id;
      break;
    case 2:
      call.kind = call_kind::repeatable;
      call.target = "/look/" + call.id + "?q=1";
      break;
    default:
      call.kind = call_kind::resumable;
      call.target = "/write/" + call.id;
      call.model = "m" + std::to_string(1 + std::min(Below(4), Below(4)));
      if (Below(3) == 0)
        call.model += "/a" + std::to_string(1 + Below(6));
      call.tokens = 20;
      call.patience = Seconds(6);
  }
  return call;
}

std::size_t caller_crowd::PickNode() {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    if (routes_[i].misses < kMissesToLeave)
      ready.push_back(i);
  }
  const auto drawn = static_cast<std::size_t>(random_());
  return ready.empty() ? drawn % routes_.size() : ready[drawn % ready.size()];
}

void caller_crowd::SendCall() {
  calls_.emplace_back();
  const auto place = std::prev(calls_.end());
  place->plan = Draw();
  place->sent_at = boot_clock::now();
  ledger_.OnSent(place->plan, place->sent_at);
  route& through = routes_[PickNode()];
  http::client& client =
      *through.clients[static_cast<std::size_t>(random_()) % kClientsPerNode];
  place->running = std::make_unique<running_call>(
      loop_, client, place->plan, kReuse, [this, place](const call_end& end) {
        const time_point now = boot_clock::now();
        const open_call ended = std::move(*place);
        calls_.erase(place);
        ledger_.OnEnd(ended.plan, end, site_.WasCalm(ended.sent_at), now);
        if (ended.plan.team == "beads")
          outcomes_.push_back({now, end.is_whole && end.status == 200});
      });
  if (Below(kLeavesOneIn) != 0)
    return;
  place->leaving = std::make_unique<http::timer>(loop_);
  place->leaving->Start(Milliseconds(Below(kLeavesWithinMs)), [this, place] {
    ledger_.OnLeft();
    const open_call left = std::move(*place);
    calls_.erase(place);
  });
}

void caller_crowd::CheckReadiness() {
  for (route& each : routes_) {
    // A check without an answer is a miss.
    if (each.check)
      ++each.misses;
    each.check = std::make_unique<http::buffered_call>(
        loop_, *each.balancer,
        http::request{"GET", "/readyz", {{"Host", "h"}}, ""}, kCheckInterval,
        [&each](const http::response* answer, http::call_failure) {
          const bool is_ready = answer != nullptr && answer->head.status == 200;
          each.misses = is_ready ? 0 : each.misses + 1;
          const auto done = std::move(each.check);
        });
  }
  check_timer_.Start(kCheckInterval, [this] {
    if (!stopped_)
      CheckReadiness();
  });
}

int64_t caller_crowd::ended_since(time_point since) const {
  return std::count_if(
      outcomes_.begin(), outcomes_.end(),
      [since](const outcome& each) { return each.at >= since; });
}

int64_t caller_crowd::answered_since(time_point since) const {
  return std::count_if(outcomes_.begin(), outcomes_.end(),
                       [since](const outcome& each) {
                         return each.at >= since && each.answered;
                       });
}

}  // namespace jasminepath::soak
