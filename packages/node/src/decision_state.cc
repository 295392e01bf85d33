#include "decision_state.h"

#include <algorithm>
#include <utility>

#include "jasminepath/report/event_log.h"
#include "node_metrics.h"
#include "node_view.h"
#include "platform_gateway.h"
#include "platform_throttle.h"
#include "status_writer.h"

namespace jasminepath::node {
namespace {

constexpr duration kWindowSaveInterval = Seconds(300);
constexpr duration kDemandUpdateInterval = Milliseconds(20);
// Longer than the period in which recording an answer is retried.
constexpr duration kAnswerRetention = Seconds(120);

random_engine DeriveEngine(random_engine& source) {
  return random_engine(source());
}

}  // namespace

decision_state::decision_state(const loop_settings& settings,
                               const loop_dependencies& dependencies,
                               random_engine random,
                               time_point now)
    : settings_(settings),
      dependencies_(dependencies),
      pending_answers_(kAnswerRetention),
      router_(settings.self.zone,
              DeriveEngine(random),
              decision::routing_limits{}),
      calls_(settings.self.id,
             router_,
             DeriveEngine(random),
             decision::coordinator_limits{}),
      placement_(settings.self.id,
                 settings.self.zone,
                 DeriveEngine(random),
                 decision::placement_limits{},
                 decision::adaptive_timeout{}),
      fleet_(settings.self,
             settings.seed_peers,
             settings.fleet,
             DeriveEngine(random),
             now),
      drain_(settings.drain),
      configuration_(std::make_shared<const config::configuration>()) {}

void decision_state::Handle(node_event event, time_point now) {
  std::visit([&](auto& value) { OnEvent(value, now); }, event);
  ExecuteActions(now);
}

void decision_state::Tick(time_point now) {
  QueueFleetActions(fleet_.OnTick(now));
  UpdatePlacementDemand(now);
  ApplyToPlacement(
      [&](auto& placement, auto& actions) { placement.OnTick(now, actions); });
  ApplyToCalls([&](auto& calls, auto& actions) { calls.OnTick(now, actions); });
  pending_answers_.EraseExpired(now);
  SaveWindows(now);
  AdvanceDrain(now);
  ExecuteActions(now);
}

time_point decision_state::NextDeadline(time_point now) const {
  time_point next = std::min(fleet_.NextDeadline(), next_demand_update_);
  next = std::min(next, placement_.NextDeadline(now));
  if (const auto calls = calls_.NextDeadline())
    next = std::min(next, *calls);
  return next;
}

void decision_state::AbortOpenCalls() {
  dependencies_.log.Write(
      log_level::warning, "calls_cut",
      {{"open_calls", static_cast<int64_t>(call_registry_.size())}});
  const time_point now = boot_clock::now();
  call_registry_.ForEach([&](const request_id& id, const open_call& call) {
    LogCallEnd(id, call, ToString(refusal_code::shutting_down), now);
  });
  call_registry_.AbortAll(
      refusal{refusal_code::shutting_down, run_state::unknown,
              "the node was stopped while the call was open", std::nullopt});
}

void decision_state::QueueFleetActions(decision::fleet_actions actions) {
  for (decision::fleet_action& action : actions)
    actions_.emplace_back(std::move(action));
}

void decision_state::ExecuteActions(time_point now) {
  while (!actions_.empty() || !unsubmitted_.empty()) {
    if (actions_.empty()) {
      platform_reply reply = std::move(unsubmitted_.front());
      unsubmitted_.pop_front();
      OnEvent(reply, now);
      continue;
    }
    pending_action next = std::move(actions_.front());
    actions_.pop_front();
    std::visit(
        [&](auto& kind) {
          std::visit([&](auto& action) { Execute(action, now); }, kind);
        },
        next);
  }
}

void decision_state::OnEvent(envelope_received& event, time_point now) {
  const instance_id& from = event.message.from;
  std::visit([&](const auto& message) { OnMessage(from, message, now); },
             event.message.message);
}

void decision_state::OnEvent(endpoint_polled& event, time_point now) {
  incarnations_[event.status.endpoint] = event.status.incarnation;
  router_.OnEndpointStatus(event.status, now);
  if (!event.cache_events.empty())
    router_.OnCacheEvents(event.cache_events, now);
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnEndpointStatus(event.status, now, actions);
  });
  NotifyRoutesChanged(now);
}

void decision_state::OnEvent(endpoint_unreachable& event, time_point now) {
  router_.OnEndpointUnreachable(event.id, now);
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnEndpointUnreachable(event.id, now, actions);
  });
}

void decision_state::OnEvent(order_ended& event, time_point now) {
  dependencies_.log.Write(log_level::info, "order_ended",
                          {{"order", event.outcome.id},
                           {"end", static_cast<int64_t>(event.outcome.end)}});
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnOrderOutcome(event.outcome, now, actions);
  });
}

void decision_state::OnEvent(facts_pushed& event, time_point now) {
  QueueFleetActions(fleet_.OnPushedFacts(event.facts, now));
  ExecuteActions(now);
  event.in_force->set_value();
}

void decision_state::OnEvent(status_requested& event, time_point now) {
  status_view view;
  view.self = settings_.self;
  view.is_ready = dependencies_.view.is_ready();
  view.is_draining = dependencies_.view.is_draining();
  view.configuration = configuration_->version;
  view.facts_through = fleet_.FactsCompleteThrough();
  view.instances = fleet_.Instances();
  view.placement = placement_.Status(now);
  view.endpoints = router_.Status(now);
  view.calls = calls_.Status(now);
  for (const config::team& team : configuration_->teams)
    view.shares.push_back({team.id, fleet_.SharePpm(team.id)});
  view.links = dependencies_.links.counters();
  view.is_platform_breaker_open = dependencies_.throttle.is_breaker_open();
  event.answer->set_value(WriteStatus(view));
}

void decision_state::OnEvent(drain_requested&, time_point now) {
  dependencies_.log.Write(log_level::info, "drain_begun", {});
  dependencies_.view.SetDraining();
  drain_.Begin(now);
}

// Bounds the rate of demand updates to placement independently of the call
// rate.
void decision_state::UpdatePlacementDemand(time_point now) {
  if (now < next_demand_update_)
    return;
  next_demand_update_ = now + kDemandUpdateInterval;
  const auto demand = calls_.Demand(now);
  const auto needs = router_.TakeAdapterNeeds();
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnLocalDemand(demand, now, actions);
    if (!needs.empty())
      placement.OnAdapterNeeds(needs, now, actions);
  });
}

// The first save happens one interval after the start; a planned stop saves the
// remaining windows.
void decision_state::SaveWindows(time_point now) {
  const bool first = next_window_save_ == time_point();
  const bool due = !first && now >= next_window_save_;
  if (first || due)
    next_window_save_ = now + kWindowSaveInterval;
  if (!due)
    return;
  for (report::stored_windows& windows : dependencies_.metrics.TakeChanged()) {
    Submit({{platform_purpose::window_save, windows.name, {}, {}},
            put_object{windows.name, std::move(windows.body)}});
  }
}

void decision_state::AdvanceDrain(time_point now) {
  const drain_progress progress{calls_.open_calls(),
                                has_fleet_drained_ && placement_.drained()};
  if (!drain_.Advance(progress, now))
    return;
  dependencies_.log.Write(log_level::info, "drain_advanced",
                          {{"phase", static_cast<int64_t>(drain_.phase())},
                           {"open_calls", progress.open_calls}});
  if (drain_.phase() == drain_phase::finishing)
    UpdateReadiness(now);
  if (drain_.phase() == drain_phase::releasing) {
    next_window_save_ = now;
    SaveWindows(now);
    ApplyToPlacement([&](auto& placement, auto& actions) {
      placement.OnDrain(now, actions);
    });
    QueueFleetActions(fleet_.OnDrain(now));
  }
}

void decision_state::UpdateReadiness(time_point now) {
  const bool stopping = drain_.phase() >= drain_phase::finishing;
  const bool accepting = is_fleet_ready_ && !stopping;
  const refusal_code reason =
      stopping ? refusal_code::shutting_down : unready_reason_;
  dependencies_.view.SetReady(accepting);
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnReadiness(accepting, reason, now, actions);
  });
}

void decision_state::NotifyRoutesChanged(time_point now) {
  ApplyToCalls(
      [&](auto& calls, auto& actions) { calls.OnRoutesChanged(now, actions); });
}

void decision_state::Submit(platform_request request) {
  if (!dependencies_.platform.TrySubmit(request))
    unsubmitted_.push_back(UnreachableReply(request));
}

void decision_state::SendTo(const instance_id& peer,
                            mesh::node_message message) {
  const auto address = mesh_addresses_.find(peer);
  if (address == mesh_addresses_.end())
    return;
  dependencies_.links.Send({peer, address->second}, message);
}

}  // namespace jasminepath::node
