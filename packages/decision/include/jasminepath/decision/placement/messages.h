#ifndef JASMINEPATH_DECISION_PLACEMENT_MESSAGES_H_
#define JASMINEPATH_DECISION_PLACEMENT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/routing/model_demand.h"

namespace jasminepath::decision {

// Where a load reads the weights from, from the fastest source to the slowest.
enum class weight_source { memory, disk, remote };

// Kind of an authority row: authority over an endpoint VM or over a model.
enum class authority_kind { vm, model };

// Demand of the callers of one node. It is sent to the decider of each model,
// or to the candidate for that role.
struct demand_report {
  std::vector<model_demand> demands;

  friend bool operator==(const demand_report&, const demand_report&) = default;
};

// Notifies peers of the holder of an authority. A higher epoch supersedes a
// lower one.
struct holder_notice {
  authority_kind kind = authority_kind::vm;
  // The VM's or the model's id.
  std::string id;
  // Empty if the authority was released.
  instance_id holder;
  epoch number;
  // Version of the table row, for a conditional write; 0 if unknown.
  revision version;

  friend bool operator==(const holder_notice&, const holder_notice&) = default;
};

// State of a model on a VM, as the owner of the VM knows it.
enum class replica_state {
  absent,    // Proven to be neither loaded nor loading.
  loading,   // Ordered or loading, or the outcome of the order is unknown.
  resident,  // The engine lists it as ready.
  leaving,   // Being unloaded.
};

// Asks the owner of a VM to refuse older epochs of the model and earlier
// sequence numbers from now on, and to report the state of the replica.
struct prepare_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  // Increases with every request of one decider for one model.
  int64_t sequence = 0;

  friend bool operator==(const prepare_request&,
                         const prepare_request&) = default;
};

// Asks the owner of a VM to load a replica.
struct load_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  int64_t sequence = 0;
  std::string version;
  weight_source source = weight_source::remote;
  // Cost of letting the waiting callers wait. The load with the highest value
  // starts first.
  double urgency = 0;
  // Number of replicas decided on when the request was created.
  int64_t decided = 0;

  friend bool operator==(const load_request&, const load_request&) = default;
};

// Asks the owner of a VM to unload a replica.
struct unload_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  int64_t sequence = 0;

  friend bool operator==(const unload_request&,
                         const unload_request&) = default;
};

// Why the owner of a VM sends a report on a replica.
enum class report_reason {
  answer,       // The request was accepted.
  changed,      // The state changed since the last report.
  stale_epoch,  // Refused: the owner knows a higher epoch of the model.
  no_memory,    // Refused: the VM has not enough free memory.
  not_owner,    // Refused: the sender of this report does not own the VM.
  failed,       // The engine refused the load, or the load failed.
};

// Report of the owner of a VM on one model, sent in answer to a request or
// after a change.
struct replica_report {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  epoch vm_epoch;
  // Sequence number of the last request of the decider that the owner has
  // accepted.
  int64_t sequence = 0;
  // Increases with every report of one owner.
  int64_t number = 0;
  replica_state state = replica_state::absent;
  std::string version;
  report_reason reason = report_reason::answer;

  friend bool operator==(const replica_report&,
                         const replica_report&) = default;
};

// Informs the nodes that have callers for a model about its replicas.
struct model_notice {
  model_id model;
  epoch model_epoch;
  // Endpoints that are ready to serve the model.
  std::vector<endpoint_id> ready;
  // Shortest time until a replica can be ready. Zero if a replica is ready,
  // negative if the time is unknown.
  duration estimate = duration::zero();

  friend bool operator==(const model_notice&, const model_notice&) = default;
};

// Asks the decider of an idle model to unload it from a VM, so that another
// model can be loaded there.
struct eviction_request {
  model_id victim;
  vm_id vm;
  model_id beneficiary;
  double urgency = 0;

  friend bool operator==(const eviction_request&,
                         const eviction_request&) = default;
};

// Asks the owner of a VM to load an adapter for a resident model.
struct adapter_request {
  model_id model;
  adapter_id adapter;
  vm_id vm;

  friend bool operator==(const adapter_request&,
                         const adapter_request&) = default;
};

// What a load reads from the weight store.
enum class store_load { model, adapter };

// Requests a slot from the node that limits concurrent loads from the weight
// store. The request is repeated until it is granted.
struct store_request {
  store_load kind = store_load::model;
  // Identifier of the load, unique across the fleet.
  std::string load;
  double urgency = 0;

  friend bool operator==(const store_request&, const store_request&) = default;
};

// Grants a slot, so that the load may start.
struct store_grant {
  std::string load;

  friend bool operator==(const store_grant&, const store_grant&) = default;
};

// Releases the slot of a load, or withdraws its request.
struct store_release {
  std::string load;

  friend bool operator==(const store_release&, const store_release&) = default;
};

// Every message about placement between nodes.
using placement_message = std::variant<demand_report,
                                       holder_notice,
                                       prepare_request,
                                       load_request,
                                       unload_request,
                                       replica_report,
                                       model_notice,
                                       eviction_request,
                                       adapter_request,
                                       store_request,
                                       store_grant,
                                       store_release>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_MESSAGES_H_
