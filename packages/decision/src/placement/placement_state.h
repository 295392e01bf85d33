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

// State of placement_core: the claims on authority rows, the owners and
// deciders that act under them, and the demand of this node. Messages that this
// node sends to itself are delivered without leaving the node.
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

  // Starts an event: sets the time and the list that receives the actions.
  void BeginEvent(time_point now, action_list& actions);
  // Ends an event: processes its consequences within this node.
  void FinishEvent();

  time_point NextDeadline(time_point now) const;
  std::vector<model_arrivals> TakeArrivals();
  std::vector<decided_model> DecidedModels() const;
  void SetKeepWarm(const model_id& model, duration keep);
  placement_status Status() const;
  bool drained() const;

 private:
  // A request of a decider to the owner of a VM, kept until the owner can
  // process it.
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

  // State of a model as this node knows it.
  struct model_entry {
    authority_claim claim;
    std::optional<model_decider> decider;
    // Holder and epoch as reported by the holder itself, without the version of
    // the row.
    instance_id hinted_holder;
    epoch hinted_epoch;
    // Demand that arrived before this node became the decider.
    std::map<instance_id, model_demand> early_demand;
    // Nodes that have sent demand; they are notified when the authority is
    // released.
    std::set<instance_id> senders;
  };

  // State of a VM as this node knows it.
  struct vm_entry {
    authority_claim claim;
    std::optional<vm_owner> owner;
  };

  // Demand of this node's own callers for a model.
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

  // Whether the instance is a live peer that is neither ended nor suspected, or
  // this node while it does not drain.
  bool IsAvailable(const instance_id& instance) const;
  bool HasEnded(const instance_id& instance) const;
  // Whether the instance is suspected or has been missing from the peers for
  // the holder absence timeout.
  bool IsUnresponsive(const instance_id& instance) const;
  // Returns the instance that the rendezvous hash assigns to the key.
  instance_id CandidateFor(const std::string& key) const;
  // Return the known holder if it is available, otherwise the candidate.
  instance_id OwnerOf(const vm_id& vm) const;
  instance_id DeciderOf(const model_id& model) const;
  instance_id LimiterNode() const;
  // Records since when a holder has been missing from the peers.
  void RecordAbsentHolder(const instance_id& holder);
  // Updates the members of the rendezvous hash.
  void UpdateMembers();
  // Updates the list of VMs that this node is the candidate to own.
  void UpdateCandidateVms();

  void Send(const instance_id& to, placement_message message);
  void SendNotice(const instance_id& to, const authority_claim& claim);
  owner_context OwnerContext(const vm_view& vm);
  decider_context DeciderContext();
  void MarkDirty(const model_id& model) { dirty_models_.insert(model); }
  void MarkAllDirty();
  // Makes the claim send its next table call at the end of the event.
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
  // Reports replicas without an available decider to the node that is, or would
  // become, their decider.
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
  // Returns false if the request has to stay pending.
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
  // Moves the messages to this node from the actions to the local queue.
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
  // Rendezvous hash over the available instances.
  rendezvous members_;
  // VMs that this node is the candidate to own.
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

  // State of the current event.
  time_point now_;
  action_list* actions_ = nullptr;
  std::size_t first_action_ = 0;
  std::function<instance_id(const vm_id&)> owner_of_;
  std::function<instance_id(const model_id&)> decider_of_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_PLACEMENT_STATE_H_
