#ifndef JASMINEPATH_MESH_ENVELOPE_H_
#define JASMINEPATH_MESH_ENVELOPE_H_

#include <cstdint>
#include <variant>

#include "jasminepath/base/ids.h"
#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::mesh {

// Any message between nodes. New kinds are added at the end.
using node_message = std::variant<decision::fleet_message,
                                  decision::admission_message,
                                  decision::placement_message>;

// A message between two instances.
struct envelope {
  instance_id from;
  // Empty if the sender knows the address but not the instance at that address.
  instance_id to;
  // Starts at 1 and increases with each envelope that the sender sends on this
  // link.
  int64_t sequence = 0;
  node_message message;

  friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_ENVELOPE_H_
