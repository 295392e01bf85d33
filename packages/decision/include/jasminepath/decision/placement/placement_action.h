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

// Operation that an order requests from an engine. `fence` only raises the
// highest fencing number that the engine has accepted.
enum class order_kind {
  fence,
  load_model,
  unload_model,
  load_adapter,
  unload_adapter,
};

// An order to an engine. An engine that receives a load or an unload again
// treats it as completed.
struct endpoint_order {
  // Unique across the fleet.
  std::string id;
  // Epoch of the VM's owner, used as the fencing number.
  epoch number;
  order_kind kind = order_kind::fence;
  model_id model;
  std::string version;
  adapter_id adapter;
  weight_source source = weight_source::remote;

  friend bool operator==(const endpoint_order&,
                         const endpoint_order&) = default;
};

// Result of an order.
enum class order_end {
  accepted,     // The engine executes the order or has executed it.
  stale_epoch,  // Refused: the engine knows a higher fencing number.
  no_memory,    // Refused: not enough free memory.
  failed,       // Refused or not sent; the order has no effect.
  unknown,      // The order may still take effect.
};

// Outcome of one send_order action.
struct order_outcome {
  std::string id;
  order_end end = order_end::unknown;

  friend bool operator==(const order_outcome&, const order_outcome&) = default;
};

// Conditional write of an authority row; answered by OnAuthorityCommit.
struct commit_authority {
  authority_write write;

  friend bool operator==(const commit_authority&,
                         const commit_authority&) = default;
};

// Read of an authority row; answered by OnAuthorityRow or
// OnAuthorityReadFailed.
struct read_authority {
  authority_key key;

  friend bool operator==(const read_authority&,
                         const read_authority&) = default;
};

// Message to another node. It may be lost, delayed or duplicated.
struct send_placement_message {
  instance_id to;
  placement_message message;

  friend bool operator==(const send_placement_message&,
                         const send_placement_message&) = default;
};

// Order to an engine; answered by OnOrderOutcome.
struct send_order {
  endpoint_id endpoint;
  std::string address;
  endpoint_order order;
  // Incarnation of the engine that must receive the order; empty if any may.
  // The order is sent only on a connection on which the engine has reported
  // this incarnation, and fails with `failed` otherwise. A restarted engine may
  // have forgotten a higher fencing number.
  std::string incarnation;
  // The order must not be sent after this time; it fails with `failed` instead.
  // No copy of the order may take effect later than the order settle time after
  // this time.
  time_point expires;

  friend bool operator==(const send_order&, const send_order&) = default;
};

// Notifies the router of the time until a replica of the model can be ready;
// negative if unknown.
struct load_estimate {
  model_id model;
  duration estimate = duration::zero();

  friend bool operator==(const load_estimate&, const load_estimate&) = default;
};

// Notifies the router that a replica is ready, before the next status of the
// endpoint arrives.
struct replica_ready {
  model_id model;
  endpoint_id endpoint;

  friend bool operator==(const replica_ready&, const replica_ready&) = default;
};

// An action that placement requests from the node.
using placement_action = std::variant<commit_authority,
                                      read_authority,
                                      send_placement_message,
                                      send_order,
                                      load_estimate,
                                      replica_ready>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_PLACEMENT_ACTION_H_
