#ifndef JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_
#define JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/fleet_limits.h"

namespace jasminepath::decision {

// The peers that `self` links to: everyone in a fleet of up to
// `max_full_mesh_instances`, else `chosen_peer_count` by rendezvous hash, so
// that a change of one instance changes few links.
std::vector<instance_id> ChoosePeers(const instance_id& self,
                                     const std::vector<instance_id>& instances,
                                     const fleet_limits& limits);

// The place of `self` (from 0) among `instances` for a duty, by rendezvous
// hash. If `self` is not among them, it comes after all of them.
int64_t RendezvousRank(std::string_view duty,
                       const instance_id& self,
                       const std::vector<instance_id>& instances);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_PEER_CHOICE_H_
