#include "fault_injector.h"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

using platform_adapter::endpoint_behavior;

// The fault does not fit now.
constexpr std::nullopt_t kNothing = std::nullopt;
// Lengths of a storm, and of the planned work after the faults have passed.
constexpr duration kStorm = Seconds(8);
constexpr duration kPlannedWork = Seconds(10);
// Pauses between two faults of a storm, and between two pieces of planned work.
constexpr int64_t kMostStormPauseMs = 900;
constexpr int64_t kMostPlannedPauseMs = 2500;
// From leaving the list until the endpoint is back as a new one.
constexpr duration kAway = Seconds(3);
// An endpoint serves on for this long after it has announced that it leaves.
constexpr duration kServesOn = Seconds(4);

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

int64_t fault_injector::Below(int64_t bound) {
  return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

duration fault_injector::Between(int64_t low_ms, int64_t high_ms) {
  return Milliseconds(low_ms + Below(high_ms - low_ms + 1));
}

site_node& fault_injector::AnyNode() {
  auto& nodes = site_.nodes();
  return nodes[static_cast<std::size_t>(Below(std::ssize(nodes)))];
}

site_endpoint& fault_injector::AnyEndpoint() {
  auto& endpoints = site_.endpoints();
  return endpoints[static_cast<std::size_t>(Below(std::ssize(endpoints)))];
}

fault_proxy& fault_injector::AnyProxy() {
  switch (Below(3)) {
    case 0:
      return *AnyNode().callers;
    case 1:
      return *AnyNode().store;
    default:
      return *AnyEndpoint().proxy;
  }
}

void fault_injector::Later(duration delay, std::function<void()> step) {
  later_.emplace_back(loop_);
  later_.back().Start(delay, std::move(step));
}

void fault_injector::AddNodeFaults() {
  faults_.push_back({"node_kill", false, [this]() -> lasting {
                       site_node& node = AnyNode();
                       node.may_end = true;
                       node.process->Signal(SIGKILL);
                       return duration::zero();
                     }});
  faults_.push_back({"all_nodes_kill", false, [this]() -> lasting {
                       if (Below(3) != 0)
                         return kNothing;
                       for (site_node& node : site_.nodes()) {
                         node.may_end = true;
                         node.process->Signal(SIGKILL);
                       }
                       return duration::zero();
                     }});
  faults_.push_back({"node_pause", false, [this]() -> lasting {
                       site_node& node = AnyNode();
                       const duration length = Between(300, 4000);
                       node.process->Signal(SIGSTOP);
                       Later(length,
                             [&node] { node.process->Signal(SIGCONT); });
                       return length;
                     }});
}

void fault_injector::AddStoreFaults() {
  faults_.push_back({"store_down", false, [this]() -> lasting {
                       const duration length = Between(500, 5000);
                       site_.store().SetStatus(503);
                       Later(length, [this] { site_.store().SetStatus(0); });
                       return length;
                     }});
  faults_.push_back({"store_answer_lost", false, [this]() -> lasting {
                       site_.store().DropNextWriteAnswer();
                       return duration::zero();
                     }});
  faults_.push_back({"store_history_gone", false, [this]() -> lasting {
                       site_.store().DiscardHistory();
                       return duration::zero();
                     }});
}

void fault_injector::AddEndpointFaults() {
  faults_.push_back({"endpoint_crash", false, [this]() -> lasting {
                       site_endpoint& endpoint = AnyEndpoint();
                       if (!endpoint.listed || endpoint.draining_at)
                         return kNothing;
                       const duration length = Between(200, 3000);
                       endpoint.proxy->ResetOpen();
                       endpoint.proxy->Refuse();
                       endpoint.standin->Restart();
                       Later(length, [this, &endpoint] {
                         endpoint.proxy->Heal();
                         site_.Publish(endpoint);
                       });
                       return length;
                     }});
  faults_.push_back(
      {"endpoint_mood", false, [this]() -> lasting {
         constexpr endpoint_behavior kMoods[] = {
             endpoint_behavior::refuse, endpoint_behavior::fail,
             endpoint_behavior::drop, endpoint_behavior::cut_midway,
             endpoint_behavior::stray_answer};
         auto& standin = *AnyEndpoint().standin;
         standin.behavior = kMoods[Below(std::ssize(kMoods))];
         standin.behavior_requests_left = static_cast<int>(1 + Below(10));
         return duration::zero();
       }});
  faults_.push_back({"connections_reset", false, [this]() -> lasting {
                       AnyProxy().ResetOpen();
                       return duration::zero();
                     }});
  faults_.push_back({"connections_silent", false, [this]() -> lasting {
                       AnyProxy().SilenceOpen();
                       return duration::zero();
                     }});
  faults_.push_back({"link_slow", false, [this]() -> lasting {
                       fault_proxy& proxy = AnyProxy();
                       const duration length = Between(500, 4000);
                       proxy.SetDelay(Between(20, 1500));
                       Later(length, [&proxy] { proxy.Heal(); });
                       return length;
                     }});
  faults_.push_back({"link_cut_one_way", false, [this]() -> lasting {
                       fault_proxy& proxy = AnyProxy();
                       const duration length = Between(300, 4000);
                       proxy.Cut(Below(2) == 0 ? direction::to_target
                                               : direction::to_client);
                       Later(length, [&proxy] { proxy.Heal(); });
                       return length;
                     }});
}

void fault_injector::AddPlannedWork() {
  faults_.push_back({"node_stop", true, [this]() -> lasting {
                       site_node& node = AnyNode();
                       if (node.stopping_since || !node.process->running())
                         return kNothing;
                       node.may_end = true;
                       node.stopping_since = boot_clock::now();
                       node.process->Signal(SIGTERM);
                       return duration::zero();
                     }});
  faults_.push_back({"node_reload", true, [this]() -> lasting {
                       AnyNode().process->Signal(SIGHUP);
                       return duration::zero();
                     }});
  faults_.push_back({"configuration", true, [this]() -> lasting {
                       site_.ChangeConfiguration();
                       return duration::zero();
                     }});
  faults_.push_back({"endpoint_leaves", true, [this]() -> lasting {
                       site_endpoint& endpoint = AnyEndpoint();
                       if (!endpoint.listed || endpoint.draining_at)
                         return kNothing;
                       site_.Drain(endpoint);
                       Later(kServesOn,
                             [this, &endpoint] { site_.Leave(endpoint); });
                       Later(kServesOn + kAway,
                             [this, &endpoint] { site_.Return(endpoint); });
                       return duration::zero();
                     }});
}

void fault_injector::Start(duration length) {
  ends_at_ = boot_clock::now() + length;
  BeginPhase();
}

void fault_injector::BeginPhase() {
  is_storm_ = !is_storm_;
  const time_point now = boot_clock::now();
  if (is_storm_) {
    phase_ends_at_ = now + kStorm;
    return Step();
  }
  HealAll();
  phase_ends_at_ = now + kContact + kPlannedWork;
  step_timer_.Start(kContact, [this] { Step(); });
}

void fault_injector::HealAll() {
  site_.store().SetStatus(0);
  for (site_node& node : site_.nodes()) {
    node.process->Signal(SIGCONT);
    node.callers->Heal();
    node.store->Heal();
  }
  for (site_endpoint& endpoint : site_.endpoints()) {
    endpoint.proxy->Heal();
    endpoint.standin->behavior_requests_left = 0;
  }
  // What was silenced stays silent; whoever waits at it is disturbed still.
  site_.NoteDisturbance(boot_clock::now());
}

void fault_injector::Step() {
  const time_point now = boot_clock::now();
  if (now >= ends_at_)
    return HealAll();
  if (now >= phase_ends_at_)
    return BeginPhase();
  std::vector<const fault*> choices;
  for (const fault& each : faults_) {
    if (is_storm_ || each.planned)
      choices.push_back(&each);
  }
  Inject(*choices[static_cast<std::size_t>(Below(std::ssize(choices)))]);
  step_timer_.Start(
      Between(50, is_storm_ ? kMostStormPauseMs : kMostPlannedPauseMs),
      [this] { Step(); });
}

void fault_injector::Inject(const fault& chosen) {
  const lasting length = chosen.begin();
  if (!length)
    return;
  ++counts_[chosen.name];
  if (!chosen.planned)
    site_.NoteDisturbance(boot_clock::now() + *length);
}

}  // namespace jasminepath::soak
