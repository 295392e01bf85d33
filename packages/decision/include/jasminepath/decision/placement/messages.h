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

// Where a load takes the weights from; the nearest copy is the quickest.
enum class weight_source { memory, disk, remote };

// Kind of an authority row: over an endpoint VM or over a model.
enum class authority_kind { vm, model };

// What a node's callers ask for; goes to the decider of each model, or to the
// node that would become it.
struct demand_report {
  std::vector<model_demand> demands;

  friend bool operator==(const demand_report&, const demand_report&) = default;
};

// Tells peers who holds an authority; a higher epoch supersedes a lower one.
struct holder_notice {
  authority_kind kind = authority_kind::vm;
  // The VM's or the model's id.
  std::string id;
  // Empty when the authority was given back.
  instance_id holder;
  epoch number;
  // Version of the table row, for a conditional write; 0 if not known.
  revision version;

  friend bool operator==(const holder_notice&, const holder_notice&) = default;
};

// What a VM's owner knows of a model on that VM.
enum class replica_state {
  absent,    // Proven not to be there and not to be on its way.
  loading,   // Ordered or loading, or its outcome is unknown.
  resident,  // The engine lists it as ready.
  leaving,   // Being unloaded.
};

// Asks a VM's owner to accept no older epoch of the model and no earlier
// sequence number, and to report the replica's state.
struct prepare_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  // Rises with every request of one decider for one model.
  int64_t sequence = 0;

  friend bool operator==(const prepare_request&,
                         const prepare_request&) = default;
};

// Asks a VM's owner to load a replica.
struct load_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  int64_t sequence = 0;
  std::string version;
  weight_source source = weight_source::remote;
  // Price of making the waiting callers wait; the largest loads first.
  double urgency = 0;
  // Replicas that were decided when the request was made.
  int64_t decided = 0;

  friend bool operator==(const load_request&, const load_request&) = default;
};

// Asks a VM's owner to unload a replica.
struct unload_request {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  int64_t sequence = 0;

  friend bool operator==(const unload_request&,
                         const unload_request&) = default;
};

// Why a VM's owner reports on a replica.
enum class report_reason {
  answer,       // The request was accepted.
  changed,      // The state changed since the last report.
  stale_epoch,  // Refused: a higher epoch of the model is known.
  no_memory,    // Refused: the VM's ledger has no room.
  not_owner,    // Refused: the sender of this report does not own the VM.
  failed,       // The engine refused or lost the load.
};

// What a VM's owner says of one model, in answer to a request or on a change.
struct replica_report {
  model_id model;
  epoch model_epoch;
  vm_id vm;
  epoch vm_epoch;
  // The last request of the decider that the owner has taken in.
  int64_t sequence = 0;
  // Rises with every report of one owner.
  int64_t number = 0;
  replica_state state = replica_state::absent;
  std::string version;
  report_reason reason = report_reason::answer;

  friend bool operator==(const replica_report&,
                         const replica_report&) = default;
};

// A decider's word to the nodes with callers for the model.
struct model_notice {
  model_id model;
  epoch model_epoch;
  // Endpoints that are ready now.
  std::vector<endpoint_id> ready;
  // Earliest time from now that a replica can be ready; zero if one is, and
  // negative if none is being loaded.
  duration estimate = duration::zero();

  friend bool operator==(const model_notice&, const model_notice&) = default;
};

// Asks the decider of an idle model to unload it from a VM for another one.
struct eviction_request {
  model_id victim;
  vm_id vm;
  model_id beneficiary;
  double urgency = 0;

  friend bool operator==(const eviction_request&,
                         const eviction_request&) = default;
};

// Asks a VM's owner to bring an adapter to a resident model.
struct adapter_request {
  model_id model;
  adapter_id adapter;
  vm_id vm;

  friend bool operator==(const adapter_request&,
                         const adapter_request&) = default;
};

// What a load takes from the weight store.
enum class store_load { model, adapter };

// Asks the node that paces the weight store for a place among the loads that
// run at full speed; repeated until granted.
struct store_request {
  store_load kind = store_load::model;
  // Unique over the fleet.
  std::string load;
  double urgency = 0;

  friend bool operator==(const store_request&, const store_request&) = default;
};

// Lets a load start.
struct store_grant {
  std::string load;

  friend bool operator==(const store_grant&, const store_grant&) = default;
};

// Ends a load's use of the store, or withdraws its request.
struct store_release {
  std::string load;

  friend bool operator==(const store_release&, const store_release&) = default;
};

// Everything that nodes tell each other about placement.
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
