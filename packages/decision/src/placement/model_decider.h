#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_MODEL_DECIDER_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_MODEL_DECIDER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/placement/keep_warm.h"
#include "jasminepath/decision/placement/messages.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "jasminepath/decision/placement/placement_core.h"
#include "placement/site_view.h"

namespace jasminepath::decision {

// Inputs and outputs of a decider during one event.
struct decider_context {
  const site_view& site;
  // Returns the owner of a VM, or the candidate for that role; empty if there
  // is none.
  const std::function<instance_id(const vm_id&)>& owner_of;
  // Returns the decider of another model, or the candidate for that role; empty
  // if there is none.
  const std::function<instance_id(const model_id&)>& decider_of;
  time_point now;
  std::vector<placement_action>& actions;
};

// Holds the authority over one model: decides how many replicas the model has
// and on which VMs. A VM whose owner has not accepted the epoch of this decider
// counts as holding a replica, and so does a VM with an unanswered load
// request. A load is requested only while the count is below the decided
// number.
class model_decider {
 public:
  model_decider(model_id model, epoch number, const placement_limits& limits);

  epoch number() const { return number_; }
  int64_t decided() const { return decided_; }
  int64_t waiting() const;
  int64_t running() const;
  // Number of replicas that are, or may be, loaded or loading.
  int64_t ReplicaCount() const;
  std::vector<replica_status> Replicas(const site_view& site) const;
  keep_warm_price ComputePrice(const site_view& site) const;
  void set_keep_warm(duration keep) { keep_warm_ = keep; }
  // Returns the arrivals since the last call.
  int64_t TakeArrivals();
  // Whether a request is unanswered or callers wait, so that Update is due
  // soon.
  bool IsBusy() const;

  void OnDemand(const instance_id& from,
                const model_demand& demand,
                time_point now);
  void OnInstanceEnded(const instance_id& instance);
  void OnReport(const instance_id& from,
                const replica_report& report,
                time_point now);
  // The owner of the VM reports a replica of the model, but knows of no
  // decider.
  void OnUndecidedReplica(const vm_id& vm, const decider_context& context);
  // Another model needs the memory of the VM.
  void OnEviction(const eviction_request& request,
                  const decider_context& context);
  // Recomputes the decision and sends the resulting requests; called after each
  // event and on ticks.
  void Update(const decider_context& context);

 private:
  enum class request_kind { none, prepare, load, unload };

  // State of the model on one VM as this decider knows it.
  struct vm_state {
    bool has_accepted_epoch = false;
    replica_state state = replica_state::absent;
    std::string version;
    // The unanswered request, the node it was last sent to, and its sequence
    // number.
    request_kind request = request_kind::none;
    instance_id recipient;
    int64_t sequence = 0;
    time_point sent_at;
    time_point first_sent_at;
    weight_source source = weight_source::remote;
    // The last accepted report.
    instance_id reporter;
    epoch vm_epoch;
    int64_t report_number = 0;
    time_point reported_at;
    // When an engine status first listed the model as loading.
    std::optional<time_point> loading_since;
    // The VM is the last choice for a load until this time.
    time_point last_choice_until;
    // No further eviction is requested before this time.
    time_point eviction_retry_at;
  };

  struct sender_demand {
    model_demand demand;
    time_point received_at;
  };

  // Replicas that the current demand requires.
  struct target {
    int64_t replicas = 0;
    bool is_idle = false;
  };

  // A VM for the next load, and the models to evict from it first.
  struct placement_choice {
    vm_id vm;
    weight_source source = weight_source::remote;
    double cost = 0;
    std::vector<model_id> victims;
  };

  // Whether the VM counts as holding a replica: loaded, loading, or not known
  // to be absent.
  bool IsCounted(const vm_state& entry) const;
  // Whether the replica is resident, or is loading and not slow, at a reachable
  // VM that stays.
  bool IsUsable(const vm_id& vm,
                const vm_state& entry,
                const decider_context& context) const;
  // Whether the replica is resident at a reachable VM that stays.
  bool IsReady(const vm_id& vm,
               const vm_state& entry,
               const decider_context& context) const;
  // Whether the load takes longer than the slow load factor allows.
  bool IsSlow(const vm_id& vm,
              const vm_state& entry,
              const decider_context& context) const;
  bool HasOldVersion(const vm_state& entry,
                     const decider_context& context) const;
  void ExpireDemand(time_point now);
  void SyncVmStates(const decider_context& context);
  void RecordLoadStarts(const decider_context& context);
  void SendDueRequests(const decider_context& context);
  target ComputeTarget(const decider_context& context) const;
  void UpdateDecision(const target& goal, const decider_context& context);
  void StartLoads(const target& goal, const decider_context& context);
  void UnloadReplicas(const target& goal, const decider_context& context);
  void CancelSlowLoads(const decider_context& context);
  std::optional<placement_choice> ChooseVm(
      const decider_context& context) const;
  std::optional<placement_choice> EvaluateVm(
      const vm_id& vm,
      const vm_state& entry,
      const decider_context& context) const;
  void RequestEvictions(const placement_choice& choice,
                        const decider_context& context);
  void StartRequest(const vm_id& vm,
                    vm_state& entry,
                    request_kind kind,
                    const decider_context& context);
  void SendRequest(const vm_id& vm,
                   vm_state& entry,
                   const decider_context& context);
  duration EstimateReadyTime(const decider_context& context) const;
  void SendNotices(const decider_context& context);
  double ComputeUrgency(const decider_context& context) const;

  model_id model_;
  epoch number_;
  placement_limits limits_;
  duration keep_warm_;
  int64_t decided_ = 0;
  int64_t last_sequence_ = 0;
  std::map<vm_id, vm_state> vm_states_;
  std::map<instance_id, sender_demand> demands_;
  int64_t arrivals_ = 0;
  std::optional<time_point> last_use_;
  std::optional<time_point> surplus_since_;
  // The last notice, and the nodes that it was sent to.
  std::optional<model_notice> notice_;
  std::map<instance_id, time_point> notified_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_MODEL_DECIDER_H_
