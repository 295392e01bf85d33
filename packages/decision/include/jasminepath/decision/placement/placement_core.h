#ifndef JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_CORE_H_
#define JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/placement/authority.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/keep_warm.h"
#include "jasminepath/decision/placement/messages.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "jasminepath/decision/routing/model_demand.h"

namespace jasminepath::decision {

// Timeouts, intervals and factors of placement.
struct placement_limits {
  // Delay between table calls after an outage or a lost answer.
  duration table_retry_interval = Seconds(1);
  // Delay before an unanswered message is sent again.
  duration message_retry_interval = Milliseconds(500);
  // Longest time that an order may wait in the node before it is sent.
  duration order_expiry = Seconds(2);
  // Longest time after the expiry of an order at which the order can still
  // reach the engine.
  duration order_settle_time = Seconds(10);
  // Interval between reports of unchanged demand, and time after which demand
  // that was not reported again is dropped.
  duration demand_refresh_interval = Seconds(1);
  duration demand_expiry = Seconds(5);
  // A holder that has been missing from the list of peers for this long is
  // treated as suspected.
  duration holder_absence_timeout = Seconds(10);
  // A configured VM that has been missing from the platform's list for this
  // long has ended or has not started yet.
  duration vm_list_lag = Seconds(30);
  // A load that takes more than this multiple of its expected time is slow.
  double slow_load_factor = 3.0;
  // A slot at the weight store that was not released is freed after this time.
  duration store_lease = Seconds(600);
  // An endpoint at which a load has failed is the last choice for this long.
  duration failed_load_backoff = Seconds(30);

  friend bool operator==(const placement_limits&,
                         const placement_limits&) = default;
};

// An adapter that callers at an endpoint wait for.
struct adapter_need {
  endpoint_id endpoint;
  model_id model;
  adapter_id adapter;

  friend bool operator==(const adapter_need&, const adapter_need&) = default;
};

// Calls for a model that have arrived since the last call of TakeArrivals.
struct model_arrivals {
  model_id model;
  int64_t count = 0;

  friend bool operator==(const model_arrivals&,
                         const model_arrivals&) = default;
};

// A model for which this node is the decider, with its cost for the keep-warm
// policy.
struct decided_model {
  model_id model;
  keep_warm_price price;

  friend bool operator==(const decided_model&, const decided_model&) = default;
};

// Authority and memory of a VM as this node knows them.
struct vm_placement_status {
  vm_id vm;
  instance_id owner;
  epoch number;
  // `is_held`: this node owns the VM. `is_active`: it has also read back which
  // models are loaded there.
  bool is_held = false;
  bool is_active = false;
  // Set if `is_held`.
  bytes charged;
  bytes capacity;
  std::vector<model_id> models;

  friend bool operator==(const vm_placement_status&,
                         const vm_placement_status&) = default;
};

// One replica that a decider counts.
struct replica_status {
  vm_id vm;
  endpoint_id endpoint;
  // False until the owner of the VM has accepted the epoch of the decider. The
  // replica counts in both cases.
  bool has_accepted_epoch = false;
  replica_state state = replica_state::absent;
  std::string version;

  friend bool operator==(const replica_status&,
                         const replica_status&) = default;
};

// Authority and replicas of a model as this node knows them.
struct model_placement_status {
  model_id model;
  instance_id decider;
  epoch number;
  bool is_held = false;
  // Set if `is_held`.
  int64_t decided = 0;
  int64_t waiting = 0;
  int64_t running = 0;
  std::vector<replica_status> replicas;

  friend bool operator==(const model_placement_status&,
                         const model_placement_status&) = default;
};

// Complete state of placement, for the status page.
struct placement_status {
  std::vector<vm_placement_status> vms;
  std::vector<model_placement_status> models;

  friend bool operator==(const placement_status&,
                         const placement_status&) = default;
};

// Placement on one node: owns VMs, decides on the replicas of models and limits
// concurrent loads from the weight store. The class does no I/O: each event
// appends actions that the node executes. Events may arrive in any order;
// messages may be lost, delayed or duplicated. Not thread-safe. Used through
// placement_coordinator, which adds the keep-warm policy.
class placement_core {
 public:
  using action_list = std::vector<placement_action>;

  placement_core(instance_id self,
                 zone_id zone,
                 random_engine random,
                 placement_limits limits);
  ~placement_core();
  placement_core(placement_core&&) noexcept;
  placement_core& operator=(placement_core&&) noexcept;

  void OnConfiguration(std::shared_ptr<const config::configuration> source,
                       time_point now,
                       action_list& actions);
  // `demands` is the complete demand of this node's callers. A model that is
  // not listed has no demand.
  void OnLocalDemand(const std::vector<model_demand>& demands,
                     time_point now,
                     action_list& actions);
  void OnAdapterNeeds(const std::vector<adapter_need>& needs,
                      time_point now,
                      action_list& actions);
  // `live` lists all live instances; it may or may not include this one.
  void OnPeers(const std::vector<instance_id>& live,
               time_point now,
               action_list& actions);
  // The instance is known to have ended.
  void OnInstanceEnded(const instance_id& instance,
                       time_point now,
                       action_list& actions);
  // The instance does not answer; it may be paused. The suspicion ends when the
  // instance is a peer again.
  void OnInstanceSuspected(const instance_id& instance,
                           time_point now,
                           action_list& actions);
  void OnVmList(const std::vector<vm_id>& live,
                const std::vector<vm_id>& leaving,
                time_point now,
                action_list& actions);
  void OnEndpointStatus(const endpoint_status& status,
                        time_point now,
                        action_list& actions);
  void OnEndpointUnreachable(const endpoint_id& endpoint,
                             time_point now,
                             action_list& actions);
  void OnOrderOutcome(const order_outcome& outcome,
                      time_point now,
                      action_list& actions);
  void OnAuthorityRow(const authority_row& row,
                      time_point now,
                      action_list& actions);
  void OnAuthorityReadFailed(const authority_key& key,
                             time_point now,
                             action_list& actions);
  void OnAuthorityCommit(const authority_outcome& outcome,
                         time_point now,
                         action_list& actions);
  void OnPlacementMessage(const instance_id& from,
                          const placement_message& message,
                          time_point now,
                          action_list& actions);
  // Releases every authority and acquires no new one.
  void OnDrain(time_point now, action_list& actions);
  void OnTick(time_point now, action_list& actions);
  // Returns the time at which OnTick has to be called next.
  time_point NextDeadline(time_point now) const;

  // Returns and resets the arrivals for the models that this node decides on.
  std::vector<model_arrivals> TakeArrivals();
  // Returns the models that this node decides on.
  std::vector<decided_model> DecidedModels() const;
  // Sets how long a replica of the model stays loaded after its last use.
  void SetKeepWarm(const model_id& model, duration keep);

  placement_status Status(time_point now) const;
  // Whether every authority has been released after OnDrain.
  bool drained() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_CORE_H_
