#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_

#include <set>
#include <string_view>

#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// The instance with the highest hash of `key` and its id, leaving out
// `excluded`; empty if none is left. All nodes with the same view agree.
instance_id RendezvousChoice(std::string_view key,
                             const std::set<instance_id>& candidates,
                             const std::set<instance_id>& excluded);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_
