#ifndef JASMINEPATH_NODE_DECISION_STATE_H_
#define JASMINEPATH_NODE_DECISION_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "decision_loop.h"
#include "drain_sequence.h"
#include "jasminepath/base/random.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/admission/call_actions.h"
#include "jasminepath/decision/admission/call_coordinator.h"
#include "jasminepath/decision/fleet/fleet_coordinator.h"
#include "jasminepath/decision/placement/keep_warm.h"
#include "jasminepath/decision/placement/placement_coordinator.h"
#include "jasminepath/decision/routing/router.h"
#include "jasminepath/mesh/link_set.h"
#include "node_event.h"
#include "open_call_registry.h"
#include "pending_answer_store.h"

namespace jasminepath::node {

// The decision aggregates of one node and the queue of their actions. Each
// event is applied to an aggregate; the resulting actions are executed in order
// and may apply further events to other aggregates. Used by the decision thread
// only.
class decision_state {
 public:
  decision_state(const loop_settings& settings,
                 const loop_dependencies& dependencies,
                 random_engine random,
                 time_point now);

  // Processes one event and executes all resulting actions.
  void Handle(node_event event, time_point now);

  // Processes the timers that are due.
  void Tick(time_point now);

  // When Tick() must be called next.
  time_point NextDeadline(time_point now) const;

  // Ends all open calls at once, because the process is about to end.
  void AbortOpenCalls();

  bool is_fenced() const { return is_fenced_; }
  bool is_drained() const { return drain_.phase() == drain_phase::stopped; }
  int64_t open_calls() const { return calls_.open_calls(); }

 private:
  using router_type = decision::router;
  using calls_type = decision::call_coordinator<router_type>;
  using placement_type =
      decision::placement_coordinator<decision::adaptive_timeout>;
  using pending_action = std::variant<decision::call_action,
                                      decision::placement_action,
                                      decision::fleet_action>;

  // Events.
  void OnEvent(call_arrived& event, time_point now);
  void OnEvent(first_byte_received& event, time_point now);
  void OnEvent(attempt_ended& event, time_point now);
  void OnEvent(caller_disconnected& event, time_point now);
  void OnEvent(platform_reply& event, time_point now);
  void OnEvent(envelope_received& event, time_point now);
  void OnEvent(endpoint_polled& event, time_point now);
  void OnEvent(endpoint_unreachable& event, time_point now);
  void OnEvent(order_ended& event, time_point now);
  void OnEvent(facts_pushed& event, time_point now);
  void OnEvent(status_requested& event, time_point now);
  void OnEvent(drain_requested& event, time_point now);

  // Messages of other nodes.
  void OnMessage(const instance_id& from,
                 const decision::fleet_message& message,
                 time_point now);
  void OnMessage(const instance_id& from,
                 const decision::admission_message& message,
                 time_point now);
  void OnMessage(const instance_id& from,
                 const decision::placement_message& message,
                 time_point now);

  // Apply an event to an aggregate and queue its actions.
  template <typename Event>
  void ApplyToCalls(Event event);
  template <typename Event>
  void ApplyToPlacement(Event event);
  void QueueFleetActions(decision::fleet_actions actions);

  void ExecuteActions(time_point now);

  // Actions of the call coordinator.
  void Execute(decision::refuse_call& action, time_point now);
  void Execute(decision::dispatch_call& action, time_point now);
  void Execute(decision::replay_answer& action, time_point now);
  void Execute(decision::commit_claim& action, time_point now);
  void Execute(decision::read_claim& action, time_point now);
  void Execute(decision::record_answer& action, time_point now);
  void Execute(decision::send_admission_message& action, time_point now);
  void Execute(decision::cut_call& action, time_point now);
  void Execute(decision::publish_quarantine& action, time_point now);
  void Execute(decision::finish_call& action, time_point now);

  // Actions of the placement coordinator.
  void Execute(decision::commit_authority& action, time_point now);
  void Execute(decision::read_authority& action, time_point now);
  void Execute(decision::send_placement_message& action, time_point now);
  void Execute(decision::send_order& action, time_point now);
  void Execute(decision::load_estimate& action, time_point now);
  void Execute(decision::replica_ready& action, time_point now);

  // Actions of the fleet coordinator.
  void Execute(decision::send_fleet_message& action, time_point now);
  void Execute(decision::set_links& action, time_point now);
  void Execute(decision::redial_link& action, time_point now);
  void Execute(decision::poll_facts& action, time_point now);
  void Execute(decision::poll_instances& action, time_point now);
  void Execute(decision::poll_vms& action, time_point now);
  void Execute(decision::write_instance& action, time_point now);
  void Execute(decision::remove_instance& action, time_point now);
  void Execute(decision::commit_share& action, time_point now);
  void Execute(decision::read_share& action, time_point now);
  void Execute(decision::apply_fact& action, time_point now);
  void Execute(decision::instance_ended& action, time_point now);
  void Execute(decision::instance_suspected& action, time_point now);
  void Execute(decision::peers_changed& action, time_point now);
  void Execute(decision::share_changed& action, time_point now);
  void Execute(decision::readiness_changed& action, time_point now);
  void Execute(decision::instance_fenced& action, time_point now);
  void Execute(decision::drain_finished& action, time_point now);

  // Replies of the platform, by purpose.
  void OnFactPoll(const platform_reply& reply, time_point now);
  void OnInstancePoll(const platform_reply& reply, time_point now);
  void OnVmPoll(const platform_reply& reply, time_point now);
  void OnInstanceWrite(const platform_reply& reply, time_point now);
  void OnShareCommit(const platform_reply& reply, time_point now);
  void OnShareRead(const platform_reply& reply, time_point now);
  void OnClaimCommit(const platform_reply& reply, time_point now);
  void OnClaimRead(const platform_reply& reply, time_point now);
  void OnQuarantineCommit(const platform_reply& reply, time_point now);
  void OnAuthorityCommit(decision::authority_kind kind,
                         const platform_reply& reply,
                         time_point now);
  void OnAuthorityRead(decision::authority_kind kind,
                       const platform_reply& reply,
                       time_point now);
  void OnAnswerRecord(const platform_reply& reply, time_point now);
  void OnWindowSaved(const platform_reply& reply);
  void OnAnswerRead(const platform_reply& reply, time_point now);

  // Facts by kind.
  void ApplyConfiguration(const decision::fact& fact, time_point now);
  void ApplyTeamKey(const decision::fact& fact, time_point now);
  void ApplyQuarantine(const decision::fact& fact, time_point now);

  void Submit(platform_request request);
  void SendTo(const instance_id& peer, mesh::node_message message);
  void EndCall(const request_id& id,
               call_command last,
               std::optional<refusal_code> refused,
               time_point now);
  void LogCallEnd(const request_id& id,
                  const open_call& call,
                  std::string_view outcome,
                  time_point now) const;
  void UpdatePlacementDemand(time_point now);
  void SaveWindows(time_point now);
  void AdvanceDrain(time_point now);
  void UpdateReadiness(time_point now);
  void NotifyRoutesChanged(time_point now);

  const loop_settings settings_;
  const loop_dependencies dependencies_;
  open_call_registry call_registry_;
  pending_answer_store pending_answers_;
  router_type router_;
  calls_type calls_;
  placement_type placement_;
  decision::fleet_coordinator fleet_;
  drain_sequence drain_;
  std::deque<pending_action> actions_;
  // Failure replies for platform calls that could not be submitted.
  std::deque<platform_reply> unsubmitted_;
  std::shared_ptr<const config::configuration> configuration_;
  // Records of the authority writes in progress.
  std::map<decision::authority_key, decision::authority_record>
      pending_authorities_;
  std::unordered_map<endpoint_id, std::string> incarnations_;
  std::unordered_map<instance_id, std::string> mesh_addresses_;
  time_point next_demand_update_;
  time_point next_window_save_;
  bool is_fleet_ready_ = false;
  refusal_code unready_reason_ = refusal_code::isolated;
  bool has_fleet_drained_ = false;
  bool is_fenced_ = false;
};

template <typename Event>
void decision_state::ApplyToCalls(Event event) {
  decision::call_coordinator<router_type>::action_list actions;
  event(calls_, actions);
  for (decision::call_action& action : actions)
    actions_.emplace_back(std::move(action));
}

template <typename Event>
void decision_state::ApplyToPlacement(Event event) {
  placement_type::action_list actions;
  event(placement_, actions);
  for (decision::placement_action& action : actions)
    actions_.emplace_back(std::move(action));
}

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_DECISION_STATE_H_
