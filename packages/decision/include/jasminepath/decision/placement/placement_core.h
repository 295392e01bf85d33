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

// Times that govern placement.
struct placement_limits {
  // Between attempts at the table after an outage or a lost answer.
  duration table_retry_interval = Seconds(1);
  // Between repeats of a message that was not answered.
  duration message_retry_interval = Milliseconds(500);
  // How long an order may wait in the node before it is sent.
  duration order_expiry = Seconds(2);
  // Longest time after its expiry that an order can still reach the engine.
  duration order_settle_time = Seconds(10);
  // Between reports of a demand that has not changed, and until one that was
  // not repeated no longer counts.
  duration demand_refresh_interval = Seconds(1);
  duration demand_expiry = Seconds(5);
  // A holder that is not among the peers for this long counts as suspected.
  duration holder_absence_timeout = Seconds(10);
  // A configured VM that the platform's list lacks for this long has ended, or
  // has not started.
  duration vm_list_lag = Seconds(30);
  // A load that takes this many times its expected time counts as slow.
  double slow_load_factor = 3.0;
  // A place at the weight store that was not released is free after this.
  duration store_lease = Seconds(600);
  // An endpoint that failed a load is tried last for this long.
  duration failed_load_backoff = Seconds(30);

  friend bool operator==(const placement_limits&,
                         const placement_limits&) = default;
};

// An adapter that callers wait for at an endpoint.
struct adapter_need {
  endpoint_id endpoint;
  model_id model;
  adapter_id adapter;

  friend bool operator==(const adapter_need&, const adapter_need&) = default;
};

// Arrivals of a model's calls since the last time they were taken.
struct model_arrivals {
  model_id model;
  int64_t count = 0;

  friend bool operator==(const model_arrivals&,
                         const model_arrivals&) = default;
};

// A model that this node decides, as the keep-warm policy sees it.
struct decided_model {
  model_id model;
  keep_warm_price price;

  friend bool operator==(const decided_model&, const decided_model&) = default;
};

// A VM's authority and ledger as this node knows them.
struct vm_placement_status {
  vm_id vm;
  instance_id owner;
  epoch number;
  // This node owns the VM, and has read back what is loaded there.
  bool is_held = false;
  bool is_active = false;
  // Set if held.
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
  // False while the VM's owner has not promised the epoch; it counts anyway.
  bool has_accepted_epoch = false;
  replica_state state = replica_state::absent;
  std::string version;

  friend bool operator==(const replica_status&,
                         const replica_status&) = default;
};

// A model's authority and replicas as this node knows them.
struct model_placement_status {
  model_id model;
  instance_id decider;
  epoch number;
  bool is_held = false;
  // Set if held.
  int64_t decided = 0;
  int64_t waiting = 0;
  int64_t running = 0;
  std::vector<replica_status> replicas;

  friend bool operator==(const model_placement_status&,
                         const model_placement_status&) = default;
};

// Everything that placement knows, for the status page.
struct placement_status {
  std::vector<vm_placement_status> vms;
  std::vector<model_placement_status> models;

  friend bool operator==(const placement_status&,
                         const placement_status&) = default;
};

// Placement on one node: owns VMs, decides models, paces the weight store.
// Does no I/O: each event appends actions that the node's duties carry out.
// Events may come in any order; messages may be lost, late or doubled. Not
// thread-safe. Use it through placement_coordinator, which adds the keep-warm
// policy.
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
  // The whole demand of this node's callers; a model that is left out has none.
  void OnLocalDemand(const std::vector<model_demand>& demands,
                     time_point now,
                     action_list& actions);
  void OnAdapterNeeds(const std::vector<adapter_need>& needs,
                      time_point now,
                      action_list& actions);
  // Every live instance, with or without this one.
  void OnPeers(const std::vector<instance_id>& live,
               time_point now,
               action_list& actions);
  // The instance is known to have ended.
  void OnInstanceEnded(const instance_id& instance,
                       time_point now,
                       action_list& actions);
  // The instance is silent; it may be paused. Cleared when it is a peer again.
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
  // Gives every authority back and takes no new one.
  void OnDrain(time_point now, action_list& actions);
  void OnTick(time_point now, action_list& actions);
  // When OnTick is due next.
  time_point NextDeadline(time_point now) const;

  // Arrivals at models that this node decides, since the last call.
  std::vector<model_arrivals> TakeArrivals();
  // The models that this node decides.
  std::vector<decided_model> DecidedModels() const;
  // How long a replica of the model stays loaded after its last use.
  void SetKeepWarm(const model_id& model, duration keep);

  placement_status Status(time_point now) const;
  // Whether a drain has given every authority back.
  bool drained() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_CORE_H_
