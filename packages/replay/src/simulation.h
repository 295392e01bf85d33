#ifndef JASMINEPATH_REPLAY_SIMULATION_H_
#define JASMINEPATH_REPLAY_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "endpoint_model.h"
#include "event_queue.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/config/configuration_index.h"
#include "jasminepath/decision/admission/call_coordinator.h"
#include "jasminepath/decision/placement/placement_coordinator.h"
#include "jasminepath/decision/routing/router.h"
#include "jasminepath/replay/replay_runner.h"
#include "keep_warm_choice.h"
#include "replay_metrics.h"
#include "store_model.h"
#include "table_model.h"

namespace jasminepath::replay {

// The start of virtual time. It is not zero, so that no time of the
// simulation equals the default value of time_point.
inline constexpr time_point kReplayStart = time_point(Seconds(100'000));

// Replays one trace with nodes that run the aggregates of the decision package
// and simple models of everything else. Membership is modelled too: nodes are
// notified of unresponsive, ended and new nodes after fixed delays, and each
// holds an equal, fixed share of the rate of every team.
template <typename EscrowPolicy>
class simulation {
 public:
  simulation(const trace& source, const replay_options& options);

  replay_report Run();

 private:
  using calls_type = decision::call_coordinator<decision::router, EscrowPolicy>;
  using placement_type = decision::placement_coordinator<keep_warm_choice>;

  // One run of one node.
  struct node_state {
    node_state(const instance_id& self,
               const zone_id& own_zone,
               const replay_options& options,
               uint64_t seed);

    instance_id id;
    int64_t index = 0;
    decision::router router;
    calls_type calls;
    placement_type placement;
    bool is_alive = true;
    time_point paused_until{};
    // The time of the earliest scheduled tick.
    time_point next_tick_at = time_point::max();
    bool is_demand_report_scheduled = false;
    std::set<std::string> open_requests;
  };
  using node_pointer = std::shared_ptr<node_state>;
  using node_handler = std::function<void()>;

  // Setup.
  void AddEndpoints();
  void StartNode(int64_t index, int64_t run);
  void ScheduleTrace();

  // Time and delivery. Deliver runs the handler when the node is not paused,
  // and drops it if the node has ended.
  time_point now() const { return events_.now(); }
  void Deliver(const node_pointer& node, node_handler handler);
  void DeliverAfter(const node_pointer& node,
                    duration wait,
                    node_handler handler);
  void ScheduleTick(const node_pointer& node);
  void ScheduleDemandReport(const node_pointer& node, duration wait);
  void ReportDemand(const node_pointer& node);

  // Requests and faults of the trace.
  void HandleArrival(const trace_request& request);
  void Admit(const node_pointer& node, const trace_request& request);
  void StartCall(const node_pointer& node, const trace_request& request);
  void InjectFault(const trace_fault& fault);
  void KillNode(int64_t index, duration downtime);
  void PauseNode(int64_t index, duration length);
  void ReclaimVm(const std::string& vm, duration downtime);
  void MarkVmLeaving(const std::string& vm, duration notice);

  // Membership, VM list and endpoint status.
  void NotifyPeers();
  void NotifyVmList();
  void PollAllEndpoints(const node_pointer& node);
  void PollEndpoint(const node_pointer& node, endpoint_model& endpoint);
  void OnEndpointChange(const endpoint_id& id);
  void CheckReplicas(const endpoint_id& id);

  // Run `event` on an aggregate and execute the resulting actions.
  template <typename Event>
  void UpdateCalls(const node_pointer& node, Event event);
  template <typename Event>
  void UpdatePlacement(const node_pointer& node, Event event);
  void NotifyRoutesChanged(const node_pointer& node);

  void Execute(const node_pointer& node, const decision::refuse_call& action);
  void Execute(const node_pointer& node, const decision::cut_call& action);
  void Execute(const node_pointer& node, const decision::finish_call& action);
  void Execute(const node_pointer& node, const decision::replay_answer& action);
  void Execute(const node_pointer& node, const decision::dispatch_call& action);
  void Execute(const node_pointer& node, const decision::commit_claim& action);
  void Execute(const node_pointer& node, const decision::read_claim& action);
  void Execute(const node_pointer& node, const decision::record_answer& action);
  void Execute(const node_pointer& node,
               const decision::send_admission_message& action);
  void Execute(const node_pointer& node,
               const decision::publish_quarantine& action);
  void Execute(const node_pointer& node,
               const decision::commit_authority& action);
  void Execute(const node_pointer& node,
               const decision::read_authority& action);
  void Execute(const node_pointer& node,
               const decision::send_placement_message& action);
  void Execute(const node_pointer& node, const decision::send_order& action);
  void Execute(const node_pointer& node, const decision::load_estimate& action);
  void Execute(const node_pointer& node, const decision::replica_ready& action);

  void EndCall(const node_pointer& node, const std::string& id);
  void BroadcastQuarantine(const decision::quarantine_record& record,
                           revision version);
  tokens SizeOf(const trace_request& request) const;
  duration AllowedTime(const trace_request& request) const;
  static int64_t MaxTokensOf(const trace_request& request);

  const trace& source_;
  const replay_options options_;
  event_queue events_{kReplayStart};
  store_model model_store_;
  store_model adapter_store_;
  table_state table_{events_};
  table_model<decision::authority_key, decision::authority_record> authorities_{
      table_};
  table_model<std::string, decision::claim_record> claims_{table_};
  table_model<std::string, decision::quarantine_record> quarantine_{table_};
  std::set<std::string> answers_;
  replay_metrics metrics_;
  std::shared_ptr<const config::configuration> configuration_;
  std::map<endpoint_id, std::unique_ptr<endpoint_model>> endpoints_;
  std::map<endpoint_id, bool> change_scheduled_;
  std::vector<node_pointer> nodes_;
  std::map<instance_id, node_pointer> instances_;
  std::set<vm_id> leaving_vms_;
  // VMs that have been reclaimed and not yet replaced.
  std::set<vm_id> reclaimed_vms_;
  std::map<std::string, const trace_request*> requests_;
  std::map<team_id, rate_meter> table_meters_;
  int64_t message_count_ = 0;
  int64_t load_count_ = 0;
};

extern template class simulation<decision::peer_borrowing>;
extern template class simulation<decision::static_split>;

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_SIMULATION_H_
