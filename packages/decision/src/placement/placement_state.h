#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_PLACEMENT_STATE_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_PLACEMENT_STATE_H_

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jasminepath/decision/placement/placement_core.h"
#include "placement/model_decider.h"
#include "placement/rendezvous.h"
#include "placement/site_view.h"
#include "placement/vm_owner.h"
#include "placement/weight_store_limiter.h"

namespace jasminepath::decision {

// What placement_core holds: the claims on authority rows, the owners and
// deciders that act under them, and this node's own demand. Messages to this
// node itself are taken in without leaving it.
class placement_core::state {
 public:
  state(instance_id self, zone_id zone, random_engine random, placement_limits);

  void OnConfiguration(const config::configuration& source);
  void OnLocalDemand(const std::vector<model_demand>& demands);
  void OnAdapterNeeds(const std::vector<adapter_need>& needs);
  void OnPeers(const std::vector<instance_id>& live);
  void OnInstanceEnded(const instance_id& instance);
  void OnInstanceSuspected(const instance_id& instance);
  void OnVmList(const std::vector<vm_id>& live,
                const std::vector<vm_id>& leaving);
  void OnEndpointStatus(const endpoint_status& status);
  void OnEndpointUnreachable(const endpoint_id& endpoint);
  void OnOrderOutcome(const order_outcome& outcome);
  void OnAuthorityRow(const authority_row& row);
  void OnAuthorityReadFailed(const authority_key& key);
  void OnAuthorityCommit(const authority_outcome& outcome);
  void OnMessage(const instance_id& from, const placement_message& message);
  void OnDrain();
  void OnTick();

  // Starts an event: sets the time and where actions go.
  void BeginEvent(time_point now, action_list& actions);
  // Ends an event: carries out what follows from it within this node.
  void FinishEvent();

  time_point NextDeadline(time_point now) const;
  std::vector<model_arrivals> TakeArrivals();
  std::vector<decided_model> DecidedModels() const;
  void SetKeepWarm(const model_id& model, duration keep);
  placement_status Status() const;
  bool drained() const;

 private:
  // A request of a decider to an owner, kept until the owner can take it.
  using vm_request =
      std::variant<prepare_request, load_request, unload_request>;
  struct pending_request {
    instance_id from;
    vm_request request;
  };
  struct request_key {
    vm_id vm;
    model_id model;
    friend auto operator<=>(const request_key&, const request_key&) = default;
  };

  // A model as this node knows it.
  struct model_entry {
    authority_claim claim;
    std::optional<model_decider> decider;
    // Holder and epoch by its own word, without the row's version.
    instance_id hinted_holder;
    epoch hinted_epoch;
    // Demand that came before this node became the decider.
    std::map<instance_id, model_demand> early_demand;
    // Nodes that are told when the authority is given back.
    std::set<instance_id> senders;
  };

  // A VM as this node knows it.
  struct vm_entry {
    authority_claim claim;
    std::optional<vm_owner> owner;
  };

  // This node's own callers' demand for a model.
  struct local_demand {
    model_demand demand;
    bool is_present = false;
    bool is_dirty = false;
    time_point sent_at;
    instance_id sent_to;
  };

  vm_entry& GetOrCreateVm(const vm_id& vm);
  model_entry& GetOrCreateModel(const model_id& model);
  authority_claim& GetClaim(const authority_key& key);

  bool IsAvailable(const instance_id& instance) const;
  bool HasEnded(const instance_id& instance) const;
  bool IsUnresponsive(const instance_id& instance) const;
  instance_id CandidateFor(const std::string& key) const;
  instance_id OwnerOf(const vm_id& vm) const;
  instance_id DeciderOf(const model_id& model) const;
  instance_id LimiterNode() const;
  void RecordAbsentHolder(const instance_id& holder);
  // The members of the rendezvous hash have changed.
  void UpdateMembers();
  // The VMs that this node would own have changed.
  void UpdateCandidateVms();

  void Send(const instance_id& to, placement_message message);
  void SendNotice(const instance_id& to, const authority_claim& claim);
  owner_context OwnerContext(const vm_view& vm);
  decider_context DeciderContext();
  void MarkDirty(const model_id& model) { dirty_models_.insert(model); }
  void MarkAllDirty();
  void ScheduleClaim(const authority_key& key) {
    scheduled_claims_.insert(key);
  }

  bool CanAcquireVm(const vm_id& vm, const authority_claim& claim) const;
  bool CanAcquireModel(const authority_claim& claim) const;
  void TryAcquireVm(const vm_id& vm);
  void AcquireCandidateVms();
  void OnClaimChanged(const authority_key& key);
  void OnVmClaimChanged(const vm_id& vm);
  void OnModelClaimChanged(const model_id& model);
  void RemoveOwner(vm_entry& entry);
  void ReacquireIfSuperseded(const vm_id& vm);
  void RequestTableConfirmation(vm_entry& entry);
  void ReportUndecidedReplicas(const vm_id& vm);

  void Handle(const instance_id& from, const demand_report& message);
  void Handle(const instance_id& from, const holder_notice& message);
  void Handle(const instance_id& from, const prepare_request& message);
  void Handle(const instance_id& from, const load_request& message);
  void Handle(const instance_id& from, const unload_request& message);
  void Handle(const instance_id& from, const replica_report& message);
  void Handle(const instance_id& from, const model_notice& message);
  void Handle(const instance_id& from, const eviction_request& message);
  void Handle(const instance_id& from, const adapter_request& message);
  void Handle(const instance_id& from, const store_request& message);
  void Handle(const instance_id& from, const store_grant& message);
  void Handle(const instance_id& from, const store_release& message);

  void OnDemand(const instance_id& from, const model_demand& demand);
  template <typename Request>
  void OnVmRequest(const instance_id& from, const Request& request);
  bool TryDeliver(const request_key& key, const pending_request& pending);
  void DeliverPending();
  void SendStaleRefusal(const instance_id& to,
                        const request_key& key,
                        epoch model_epoch,
                        int64_t sequence);
  void SendLocalDemand(const model_id& model, local_demand& entry);
  void RefreshLocalDemand();
  void RunScheduledClaims();
  void SendStoreGrants();
  void ExtractSelfMessages();

  instance_id self_;
  zone_id zone_;
  random_engine random_;
  placement_limits limits_;
  site_view site_;
  bool is_configured_ = false;
  bool is_draining_ = false;
  std::set<instance_id> peers_;
  std::set<instance_id> suspected_;
  std::set<instance_id> ended_;
  // Over the available instances.
  rendezvous members_;
  // VMs whose candidate is this node.
  std::vector<vm_id> candidate_vms_;
  std::map<instance_id, time_point> absent_since_;
  std::map<vm_id, vm_entry> vms_;
  std::map<model_id, model_entry> models_;
  std::map<model_id, local_demand> local_;
  std::map<request_key, pending_request> pending_;
  weight_store_limiter limiter_;
  instance_id limiter_node_;

  std::set<model_id> dirty_models_;
  std::set<authority_key> scheduled_claims_;
  std::deque<placement_message> self_messages_;

  // Of the event under way.
  time_point now_;
  action_list* actions_ = nullptr;
  std::size_t first_action_ = 0;
  std::function<instance_id(const vm_id&)> owner_of_;
  std::function<instance_id(const model_id&)> decider_of_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_PLACEMENT_STATE_H_
