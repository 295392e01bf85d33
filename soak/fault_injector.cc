#include "fault_injector.h"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

using platform_adapter::endpoint_behavior;

// The fault does not apply to the present state of the site.
constexpr std::nullopt_t kNotApplicable = std::nullopt;
// Lengths of a fault phase and of the phase of planned work that follows once
// the site has settled.
constexpr duration kFaultPhaseLength = Seconds(8);
constexpr duration kPlannedPhaseLength = Seconds(20);
// Maximum pauses between two faults of a fault phase, and between two pieces of
// planned work.
constexpr int64_t kMaxFaultPauseMs = 900;
constexpr int64_t kMaxPlannedPauseMs = 2500;
// From the removal of an endpoint from the list until it is listed again as a
// new instance, and the interval at which it then checks whether its last
// requests have ended.
constexpr duration kUnlistedTime = Seconds(3);
constexpr duration kOpenRequestsInterval = Milliseconds(200);
// Time after a return of the store in which the operator and the endpoints
// write again what it has lost.
constexpr int64_t kRewriteTimeMs = 1000;
// How long a draining endpoint continues to serve before it is unlisted.
constexpr duration kDrainTime = Seconds(4);

}  // namespace

fault_injector::fault_injector(http::event_loop& loop,
                               soak_site& site,
                               random_engine random)
    : loop_(loop), site_(site), random_(random), step_timer_(loop) {
  AddNodeFaults();
  AddStoreFaults();
  AddEndpointFaults();
  AddPlannedWork();
}

int64_t fault_injector::RandomBelow(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

duration fault_injector::RandomDuration(int64_t low_ms, int64_t high_ms) {
  return Milliseconds(low_ms + RandomBelow(high_ms - low_ms + 1));
}

site_node& fault_injector::RandomNode() {
  auto& nodes = site_.nodes();
  return nodes[static_cast<std::size_t>(RandomBelow(std::ssize(nodes)))];
}

site_endpoint& fault_injector::RandomEndpoint() {
  auto& endpoints = site_.endpoints();
  return endpoints[static_cast<std::size_t>(
      RandomBelow(std::ssize(endpoints)))];
}

fault_proxy& fault_injector::RandomProxy() {
  switch (RandomBelow(3)) {
    case 0:
      return *RandomNode().caller_proxy;
    case 1:
      return *RandomNode().store_proxy;
    default:
      return *RandomEndpoint().proxy;
  }
}

void fault_injector::RunLater(duration delay, std::function<void()> step) {
  delayed_steps_.emplace_back(loop_);
  delayed_steps_.back().Start(delay, std::move(step));
}

void fault_injector::AddNodeFaults() {
  faults_.push_back({"node_kill", false, [this]() -> fault_duration {
                       site_node& node = RandomNode();
                       node.is_end_expected = true;
                       node.process->Signal(SIGKILL);
                       return duration::zero();
                     }});
  faults_.push_back({"all_nodes_kill", false, [this]() -> fault_duration {
                       if (RandomBelow(3) != 0)
                         return kNotApplicable;
                       for (site_node& node : site_.nodes()) {
                         node.is_end_expected = true;
                         node.process->Signal(SIGKILL);
                       }
                       return duration::zero();
                     }});
  faults_.push_back({"node_pause", false, [this]() -> fault_duration {
                       site_node& node = RandomNode();
                       const duration length = RandomDuration(300, 4000);
                       node.process->Signal(SIGSTOP);
                       RunLater(length,
                                [&node] { node.process->Signal(SIGCONT); });
                       return length;
                     }});
}

void fault_injector::AddStoreFaults() {
  faults_.push_back({"store_down", false, [this]() -> fault_duration {
                       const duration length = RandomDuration(500, 5000);
                       site_.store().SetStatus(503);
                       RunLater(length, [this] { site_.store().SetStatus(0); });
                       return length;
                     }});
  faults_.push_back({"store_answer_lost", false, [this]() -> fault_duration {
                       site_.store().DropNextWriteAnswer();
                       return duration::zero();
                     }});
  faults_.push_back({"store_history_gone", false, [this]() -> fault_duration {
                       site_.store().DiscardHistory();
                       return duration::zero();
                     }});
  faults_.push_back({"store_returned", false, [this]() -> fault_duration {
                       const duration age = RandomDuration(500, 5000);
                       const duration away = RandomDuration(100, 1000);
                       ReturnStore(age, away);
                       return age + away + Milliseconds(kRewriteTimeMs);
                     }});
}

void fault_injector::ReturnStore(duration age, duration away) {
  site_.store().SaveCopy();
  RunLater(age, [this] { site_.store().SetStatus(503); });
  RunLater(age + away, [this] {
    site_.store().ReturnFromCopy();
    site_.store().SetStatus(0);
  });
  const duration back = age + away;
  RunLater(back + RandomDuration(0, kRewriteTimeMs),
           [this] { site_.RewriteConfiguration(); });
  for (const site_endpoint& endpoint : site_.endpoints())
    RunLater(back + RandomDuration(0, kRewriteTimeMs),
             [this, &endpoint] { site_.RewriteEntry(endpoint); });
}

void fault_injector::AddEndpointFaults() {
  faults_.push_back({"endpoint_crash", false, [this]() -> fault_duration {
                       site_endpoint& endpoint = RandomEndpoint();
                       if (!endpoint.is_listed || endpoint.draining_at)
                         return kNotApplicable;
                       const duration length = RandomDuration(200, 3000);
                       soak_site::Crash(endpoint);
                       RunLater(length, [this, &endpoint] {
                         endpoint.proxy->ClearFaults();
                         site_.Publish(endpoint);
                       });
                       return length;
                     }});
  faults_.push_back(
      {"endpoint_mood", false, [this]() -> fault_duration {
         constexpr endpoint_behavior kFaultModes[] = {
             endpoint_behavior::refuse, endpoint_behavior::fail,
             endpoint_behavior::drop, endpoint_behavior::cut_midway,
             endpoint_behavior::stray_answer};
         auto& standin = *RandomEndpoint().standin;
         standin.behavior = kFaultModes[RandomBelow(std::ssize(kFaultModes))];
         standin.behavior_requests_left = static_cast<int>(1 + RandomBelow(10));
         return duration::zero();
       }});
  faults_.push_back({"connections_reset", false, [this]() -> fault_duration {
                       RandomProxy().ResetOpenConnections();
                       return duration::zero();
                     }});
  faults_.push_back({"connections_silent", false, [this]() -> fault_duration {
                       RandomProxy().SilenceOpenConnections();
                       return duration::zero();
                     }});
  faults_.push_back({"link_slow", false, [this]() -> fault_duration {
                       fault_proxy& proxy = RandomProxy();
                       const duration length = RandomDuration(500, 4000);
                       proxy.SetDelay(RandomDuration(20, 1500));
                       RunLater(length, [&proxy] { proxy.ClearFaults(); });
                       return length;
                     }});
  faults_.push_back({"link_cut_one_way", false, [this]() -> fault_duration {
                       fault_proxy& proxy = RandomProxy();
                       const duration length = RandomDuration(300, 4000);
                       proxy.Block(RandomBelow(2) == 0 ? direction::to_target
                                                       : direction::to_client);
                       RunLater(length, [&proxy] { proxy.ClearFaults(); });
                       return length;
                     }});
}

void fault_injector::AddPlannedWork() {
  faults_.push_back({"node_stop", true, [this]() -> fault_duration {
                       if (!soak_site::Stop(RandomNode()))
                         return kNotApplicable;
                       return duration::zero();
                     }});
  faults_.push_back({"nodes_stop_in_turn", true, [this]() -> fault_duration {
                       StopInTurn();
                       return duration::zero();
                     }});
  faults_.push_back({"node_reload", true, [this]() -> fault_duration {
                       soak_site::Reload(RandomNode());
                       return duration::zero();
                     }});
  faults_.push_back({"configuration", true, [this]() -> fault_duration {
                       site_.ChangeConfiguration();
                       for (int64_t more = RandomBelow(3); more > 0; --more)
                         RunLater(RandomDuration(0, 500),
                                  [this] { site_.ChangeConfiguration(); });
                       return duration::zero();
                     }});
  faults_.push_back(
      {"endpoint_leaves", true, [this]() -> fault_duration {
         site_endpoint& endpoint = RandomEndpoint();
         if (!endpoint.is_listed || endpoint.draining_at)
           return kNotApplicable;
         site_.Drain(endpoint);
         RunLater(kDrainTime, [this, &endpoint] { site_.Unlist(endpoint); });
         RunLater(kDrainTime + kUnlistedTime,
                  [this, &endpoint] { RelistOnceIdle(endpoint); });
         return duration::zero();
       }});
}

void fault_injector::RelistOnceIdle(site_endpoint& endpoint) {
  if (endpoint.standin->open_requests() == 0)
    return site_.Relist(endpoint);
  RunLater(kOpenRequestsInterval,
           [this, &endpoint] { RelistOnceIdle(endpoint); });
}

void fault_injector::StopInTurn() {
  auto& nodes = site_.nodes();
  const int64_t count = std::max<int64_t>(
      1, std::ssize(nodes) / 2 -
             RandomBelow(std::max<int64_t>(1, std::ssize(nodes) / 4)));
  const int64_t first = RandomBelow(std::ssize(nodes));
  duration delay{};
  for (int64_t i = 0; i < count; ++i) {
    site_node& node =
        nodes[static_cast<std::size_t>((first + i) % std::ssize(nodes))];
    if (RandomBelow(2) == 0)
      RunLater(delay, [&node] { soak_site::Reload(node); });
    delay += RandomDuration(0, 400);
    RunLater(delay, [&node] { soak_site::Stop(node); });
    delay += RandomDuration(100, 1800);
  }
}

void fault_injector::Start(duration length) {
  ends_at_ = boot_clock::now() + length;
  BeginPhase();
}

void fault_injector::BeginPhase() {
  is_fault_phase_ = !is_fault_phase_;
  const time_point now = boot_clock::now();
  if (is_fault_phase_) {
    phase_ends_at_ = now + kFaultPhaseLength;
    return Step();
  }
  ClearAllFaults();
  phase_ends_at_ = now + kSettlingTime + kPlannedPhaseLength;
  // Stops first, so that the whole grace periods fall into this phase.
  step_timer_.Start(kSettlingTime, [this] {
    StopInTurn();
    ScheduleStep();
  });
}

void fault_injector::ClearAllFaults() {
  site_.store().SetStatus(0);
  for (site_node& node : site_.nodes()) {
    node.process->Signal(SIGCONT);
    node.caller_proxy->ClearFaults();
    // A pooled connection of a caller may be idle for longer than the settling
    // time, so that the fault would reach into undisturbed time.
    node.caller_proxy->ResetSilencedConnections();
    node.store_proxy->ClearFaults();
  }
  for (site_endpoint& endpoint : site_.endpoints()) {
    endpoint.proxy->ClearFaults();
    endpoint.standin->behavior_requests_left = 0;
  }
  // Silenced connections stay silent, so calls that wait on one are still
  // disturbed.
  site_.NoteDisturbance(boot_clock::now());
}

void fault_injector::Step() {
  const time_point now = boot_clock::now();
  if (now >= ends_at_ && !is_fault_phase_)
    return;
  if (now >= ends_at_)
    return ClearAllFaults();
  if (now >= phase_ends_at_)
    return BeginPhase();
  std::vector<const fault*> choices;
  for (const fault& each : faults_) {
    if (is_fault_phase_ || each.is_planned)
      choices.push_back(&each);
  }
  Inject(*choices[static_cast<std::size_t>(RandomBelow(std::ssize(choices)))]);
  ScheduleStep();
}

void fault_injector::ScheduleStep() {
  step_timer_.Start(RandomDuration(50, is_fault_phase_ ? kMaxFaultPauseMs
                                                       : kMaxPlannedPauseMs),
                    [this] { Step(); });
}

void fault_injector::Inject(const fault& chosen) {
  const fault_duration length = chosen.begin();
  if (!length)
    return;
  ++counts_[chosen.name];
  if (!chosen.is_planned)
    site_.NoteDisturbance(boot_clock::now() + *length);
}

}  // namespace jasminepath::soak
