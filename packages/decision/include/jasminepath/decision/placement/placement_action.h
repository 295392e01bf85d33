#ifndef JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_ACTION_H_
#define JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_ACTION_H_

#include <string>
#include <variant>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/placement/authority.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::decision {

// What an order asks of an engine. `fence` changes nothing but the engine's
// highest accepted fencing number.
enum class order_kind {
  fence,
  load_model,
  unload_model,
  load_adapter,
  unload_adapter,
};

// An order to an engine. Engines treat a repeated load or unload as done.
struct endpoint_order {
  // Unique over the fleet.
  std::string id;
  // Epoch of the VM's owner: the fencing number.
  epoch number;
  order_kind kind = order_kind::fence;
  model_id model;
  std::string version;
  adapter_id adapter;
  weight_source source = weight_source::remote;

  friend bool operator==(const endpoint_order&,
                         const endpoint_order&) = default;
};

// How an order ended.
enum class order_end {
  accepted,     // The engine does it or has done it.
  stale_epoch,  // Refused: the engine knows a higher fencing number.
  no_memory,    // Refused: no room.
  failed,       // Refused or not sent: it has no effect.
  unknown,      // It may take effect.
};

// Outcome of one send_order action.
struct order_outcome {
  std::string id;
  order_end end = order_end::unknown;

  friend bool operator==(const order_outcome&, const order_outcome&) = default;
};

// Write an authority row under a condition; answered by OnAuthorityCommit.
struct commit_authority {
  authority_write write;

  friend bool operator==(const commit_authority&,
                         const commit_authority&) = default;
};

// Read an authority row; answered by OnAuthorityRow or OnAuthorityReadFailed.
struct read_authority {
  authority_key key;

  friend bool operator==(const read_authority&,
                         const read_authority&) = default;
};

// Send a message to another node; it may be lost, late or doubled.
struct send_placement_message {
  instance_id to;
  placement_message message;

  friend bool operator==(const send_placement_message&,
                         const send_placement_message&) = default;
};

// Send an order to an engine; answered by OnOrderOutcome.
struct send_order {
  endpoint_id endpoint;
  std::string address;
  endpoint_order order;
  // Unless empty: the run of the engine that the order is for. Send it only on
  // a connection on which the engine has said that this is its run, and report
  // `failed` otherwise; a new run may have forgotten a higher fencing number.
  std::string incarnation;
  // The order must not be sent after this; report `failed` instead. No copy of
  // it may take effect later than the settle time after this.
  time_point expires;

  friend bool operator==(const send_order&, const send_order&) = default;
};

// Tell the router how soon a replica of the model can be ready; negative if
// that is not known.
struct load_estimate {
  model_id model;
  duration estimate = duration::zero();

  friend bool operator==(const load_estimate&, const load_estimate&) = default;
};

// Tell the router that a replica is ready, ahead of the endpoint's next status.
struct replica_ready {
  model_id model;
  endpoint_id endpoint;

  friend bool operator==(const replica_ready&, const replica_ready&) = default;
};

// What the node's duties shall do for the placement.
using placement_action = std::variant<commit_authority,
                                      read_authority,
                                      send_placement_message,
                                      send_order,
                                      load_estimate,
                                      replica_ready>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_ACTION_H_
