#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_VM_OWNER_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_VM_OWNER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/placement/messages.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "jasminepath/decision/placement/placement_core.h"
#include "placement/memory_accounting.h"
#include "placement/site_view.h"

namespace jasminepath::decision {

// Inputs and outputs of an owner during one event.
struct owner_context {
  const vm_view& vm;
  const site_view& site;
  // The node that limits concurrent loads from the weight store.
  const instance_id& limiter_node;
  time_point now;
  std::vector<placement_action>& actions;
};

// Holds the authority over one VM: it is the only sender of orders to the
// engine and accounts for the memory of the VM. It sends no load before it has
// raised the engine's fence (or waited until orders of the last owner can no
// longer take effect) and has read back which models are loaded. The caller has
// checked the epoch of each request against the row of the model.
class vm_owner {
 public:
  enum class phase {
    fencing,     // Waits for the engine to accept this owner's epoch.
    reading,     // Waits for a status that lists the loaded models.
    active,      // Accepts requests.
    superseded,  // The engine knows a higher epoch; no more orders are sent.
  };

  vm_owner(vm_id vm,
           epoch number,
           instance_id self,
           const placement_limits& limits);

  epoch number() const { return number_; }
  phase current_phase() const { return phase_; }
  bool is_active() const { return phase_ == phase::active; }
  // When the owner became active.
  time_point active_since() const { return active_since_; }
  // The highest fencing number that the engine has reported.
  epoch engine_fence() const { return engine_fence_; }
  const memory_accounting& accounting() const { return accounting_; }
  std::vector<model_id> Models() const;
  // Returns the last decider that sent a request for the model; empty if there
  // is none or if its last request is older than the decider timeout.
  instance_id DeciderOf(const model_id& model, time_point now) const;

  void Start(const owner_context& context);
  void OnStatus(const owner_context& context);
  // Returns false if this owner did not send the order.
  bool OnOutcome(const order_outcome& outcome, const owner_context& context);
  void OnTick(const owner_context& context);

  // Requests of deciders; called only while active.
  void OnPrepare(const instance_id& from,
                 const prepare_request& request,
                 const owner_context& context);
  void OnLoad(const instance_id& from,
              const load_request& request,
              const owner_context& context);
  void OnUnload(const instance_id& from,
                const unload_request& request,
                const owner_context& context);
  void OnAdapter(const adapter_request& request, const owner_context& context);
  // Returns false if this owner did not request the load.
  bool OnGrant(const store_grant& grant, const owner_context& context);

  // Whether a read of the table has to confirm that this owner is current. This
  // is the case if the engine does not confirm an accepted epoch in time, and
  // after a restart of the engine, which may have forgotten a higher fencing
  // number.
  bool NeedsTableConfirmation(time_point now) const;
  // A read that started at `asked_at` has returned a row that names this owner.
  void OnTableConfirmation(time_point asked_at, const owner_context& context);

  // Slots at the weight store that have to be released when this owner is
  // removed.
  std::vector<std::string> StoreLoads() const;

 private:
  // State of a load at the weight store.
  enum class store_use { none, waiting, running };

  // An adapter that is loaded, or may be loaded.
  struct adapter_entry {
    bool is_listed = false;
    std::string order;
    std::string load;
    store_use store = store_use::none;
    // A status that was taken after this time and does not list the adapter
    // proves its absence.
    time_point settled_at;
    time_point last_used;
  };

  // A replica that is loaded, or may be loaded.
  struct replica_entry {
    replica_state state = replica_state::loading;
    std::string version;
    bool is_listed = false;
    weight_source source = weight_source::remote;
    double urgency = 0;
    // Orders without an outcome; empty if there is none.
    std::string load_order;
    std::string unload_order;
    // Identifier of the load at the weight store.
    std::string load;
    store_use store = store_use::none;
    time_point store_requested_at;
    // A status that was taken after these times shows the result of the orders.
    time_point settled_at;
    time_point unload_settled_at;
    std::map<adapter_id, adapter_entry> adapters;
  };

  // Epoch and sequence number that this owner has accepted from a decider.
  struct accepted_epoch {
    epoch number;
    int64_t sequence = 0;
    instance_id decider;
    // The engine or the table has confirmed, after the epoch was accepted, that
    // this owner is current. Set at once if the engine ignores fencing numbers.
    bool is_confirmed = false;
    time_point accepted_at;
    time_point last_request_at;
  };

  struct pending_order {
    order_kind kind = order_kind::fence;
    model_id model;
    adapter_id adapter;
    time_point expires;
  };

  std::string SendOrder(endpoint_order order, const owner_context& context);
  void SendFence(const owner_context& context);
  void Send(const instance_id& to,
            placement_message message,
            const owner_context& context);
  void SendLoadOrder(const model_id& model,
                     replica_entry& replica,
                     const owner_context& context);
  void SendAdapterOrder(const model_id& model,
                        const adapter_id& adapter,
                        adapter_entry& entry,
                        const owner_context& context);
  void RequestStoreSlot(store_load kind,
                        const std::string& load,
                        double urgency,
                        const owner_context& context);
  void ReleaseStoreSlot(std::string& load,
                        store_use& store,
                        const owner_context& context);
  void SendReport(const model_id& model,
                  report_reason reason,
                  const owner_context& context);
  void SendRefusal(const instance_id& to,
                   const model_id& model,
                   epoch model_epoch,
                   int64_t sequence,
                   report_reason reason,
                   const owner_context& context);
  // Checks the epoch and the sequence number of a request. Returns false if the
  // request is refused or was answered before.
  bool AcceptRequest(const instance_id& from,
                     const model_id& model,
                     epoch model_epoch,
                     int64_t sequence,
                     const owner_context& context);
  // Asks the engine to confirm that this owner is current, before the accepted
  // epoch of the model is reported.
  void RequestConfirmation(const model_id& model, const owner_context& context);
  void Supersede(epoch fence);
  bool HasRestarted(const owner_context& context) const;
  // The current incarnation of the engine does not know the epoch of this
  // owner, although the engine had accepted it before.
  bool HasLostFence(const owner_context& context) const;
  void Revalidate(const owner_context& context);
  void ResendFence(const owner_context& context);
  bool IsValidated(const owner_context& context) const;
  void Activate(const owner_context& context);
  void Reconcile(const owner_context& context);
  void ReconcileListed(const resident_model& listed,
                       const owner_context& context);
  void ReconcileAdapters(const resident_model& listed,
                         replica_entry& replica,
                         const owner_context& context);
  void ReconcileAbsent(const std::set<model_id>& listed,
                       const owner_context& context);
  void RemoveReplica(const model_id& model,
                     report_reason reason,
                     const owner_context& context);
  bool EvictAdapter(bytes size, const owner_context& context);
  void OnFenceOutcome(order_end end, const owner_context& context);
  void OnLoadOutcome(const pending_order& order,
                     order_end end,
                     const owner_context& context);
  void OnUnloadOutcome(const pending_order& order,
                       order_end end,
                       const owner_context& context);
  void OnAdapterOutcome(const pending_order& order,
                        order_end end,
                        const owner_context& context);
  void ReportConfirmed(const std::set<model_id>& models,
                       const owner_context& context);
  bool HonoursFencing(const owner_context& context) const;
  std::string NextId(const char* kind);

  vm_id vm_;
  epoch number_;
  instance_id self_;
  placement_limits limits_;
  phase phase_ = phase::fencing;
  time_point min_status_time_;
  // The incarnation of the engine that was fenced last and that receives the
  // orders; empty until the owner is active for the first time. After a restart
  // of the engine, the owner has to be validated again; `revalidating_since_`
  // is the time at which the last restart was detected.
  std::string incarnation_;
  bool is_revalidating_ = false;
  time_point revalidating_since_;
  time_point confirmed_by_table_at_ = time_point::min();
  time_point active_since_;
  epoch engine_fence_;
  memory_accounting accounting_;
  std::map<model_id, replica_entry> replicas_;
  std::map<model_id, accepted_epoch> accepted_epochs_;
  std::map<std::string, pending_order> orders_;
  int64_t last_id_ = 0;
  int64_t last_report_ = 0;
  // The fence order in flight, the models whose accepted epoch it confirms, and
  // the models that the next fence order has to confirm.
  std::string fence_order_;
  time_point fence_retry_at_;
  std::set<model_id> confirming_models_;
  std::set<model_id> unconfirmed_models_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_VM_OWNER_H_
