#ifndef JASMINEPATH_MESH_ENVELOPE_H_
#define JASMINEPATH_MESH_ENVELOPE_H_

#include <cstdint>
#include <variant>

#include "jasminepath/base/ids.h"
#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::mesh {

// What one node can say to another. New kinds are added at the end.
using node_message = std::variant<decision::fleet_message,
                                  decision::admission_message,
                                  decision::placement_message>;

// A message between two instances.
struct envelope {
  instance_id from;
  // Empty when the sender knows only the address, not who listens there.
  instance_id to;
  // Rises with each envelope of the sender on this link, from 1.
  int64_t sequence = 0;
  node_message message;

  friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_ENVELOPE_H_
