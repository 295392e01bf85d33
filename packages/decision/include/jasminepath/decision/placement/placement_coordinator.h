#ifndef JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_COORDINATOR_H_
#define JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_COORDINATOR_H_

#include <memory>
#include <utility>
#include <vector>

#include "jasminepath/decision/placement/keep_warm.h"
#include "jasminepath/decision/placement/placement_core.h"

namespace jasminepath::decision {

// Combines placement_core with a policy for how long idle models stay loaded.
// The events are documented at placement_core.
template <keep_warm_policy Policy>
class placement_coordinator {
 public:
  using action_list = placement_core::action_list;

  placement_coordinator(instance_id self,
                        zone_id zone,
                        random_engine random,
                        placement_limits limits,
                        Policy policy)
      : core_(std::move(self), std::move(zone), random, limits),
        policy_(std::move(policy)) {}

  void OnConfiguration(std::shared_ptr<const config::configuration> source,
                       time_point now,
                       action_list& actions) {
    core_.OnConfiguration(std::move(source), now, actions);
  }
  void OnLocalDemand(const std::vector<model_demand>& demands,
                     time_point now,
                     action_list& actions) {
    core_.OnLocalDemand(demands, now, actions);
    ConsultPolicy(now);
  }
  void OnAdapterNeeds(const std::vector<adapter_need>& needs,
                      time_point now,
                      action_list& actions) {
    core_.OnAdapterNeeds(needs, now, actions);
  }
  void OnPeers(const std::vector<instance_id>& live,
               time_point now,
               action_list& actions) {
    core_.OnPeers(live, now, actions);
  }
  void OnInstanceEnded(const instance_id& instance,
                       time_point now,
                       action_list& actions) {
    core_.OnInstanceEnded(instance, now, actions);
  }
  void OnInstanceSuspected(const instance_id& instance,
                           time_point now,
                           action_list& actions) {
    core_.OnInstanceSuspected(instance, now, actions);
  }
  void OnVmList(const std::vector<vm_id>& live,
                const std::vector<vm_id>& leaving,
                time_point now,
                action_list& actions) {
    core_.OnVmList(live, leaving, now, actions);
  }
  void OnEndpointStatus(const endpoint_status& status,
                        time_point now,
                        action_list& actions) {
    core_.OnEndpointStatus(status, now, actions);
  }
  void OnEndpointUnreachable(const endpoint_id& endpoint,
                             time_point now,
                             action_list& actions) {
    core_.OnEndpointUnreachable(endpoint, now, actions);
  }
  void OnOrderOutcome(const order_outcome& outcome,
                      time_point now,
                      action_list& actions) {
    core_.OnOrderOutcome(outcome, now, actions);
  }
  void OnAuthorityRow(const authority_row& row,
                      time_point now,
                      action_list& actions) {
    core_.OnAuthorityRow(row, now, actions);
  }
  void OnAuthorityReadFailed(const authority_key& key,
                             time_point now,
                             action_list& actions) {
    core_.OnAuthorityReadFailed(key, now, actions);
  }
  void OnAuthorityCommit(const authority_outcome& outcome,
                         time_point now,
                         action_list& actions) {
    core_.OnAuthorityCommit(outcome, now, actions);
  }
  void OnPlacementMessage(const instance_id& from,
                          const placement_message& message,
                          time_point now,
                          action_list& actions) {
    core_.OnPlacementMessage(from, message, now, actions);
    ConsultPolicy(now);
  }
  void OnDrain(time_point now, action_list& actions) {
    core_.OnDrain(now, actions);
  }
  void OnTick(time_point now, action_list& actions) {
    UpdateKeepWarm(now);
    core_.OnTick(now, actions);
  }
  time_point NextDeadline(time_point now) const {
    return core_.NextDeadline(now);
  }
  placement_status Status(time_point now) const { return core_.Status(now); }
  bool drained() const { return core_.drained(); }

 private:
  void ConsultPolicy(time_point now) {
    for (const model_arrivals& arrivals : core_.TakeArrivals())
      policy_.OnArrivals(arrivals.model, arrivals.count, now);
  }
  void UpdateKeepWarm(time_point now) {
    ConsultPolicy(now);
    for (const decided_model& entry : core_.DecidedModels())
      core_.SetKeepWarm(entry.model,
                        policy_.RetentionTime(entry.model, entry.price, now));
  }

  placement_core core_;
  Policy policy_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_COORDINATOR_H_
