#ifndef JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_
#define JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/fleet_limits.h"

namespace jasminepath::decision {

// The peers to which `self` links: all other instances in a fleet of up to
// `max_full_mesh_instances`, otherwise `chosen_peer_count` peers selected by
// rendezvous hashing, so that one added or removed instance changes few links.
// The result is ordered by id.
std::vector<instance_id> ChoosePeers(const instance_id& self,
                                     const std::vector<instance_id>& instances,
                                     const fleet_limits& limits);

// The rank of `self` (from 0) among `instances` for a duty, by rendezvous
// hashing. If `self` is not one of `instances`, it ranks after all of them.
int64_t RendezvousRank(std::string_view duty,
                       const instance_id& self,
                       const std::vector<instance_id>& instances);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_
