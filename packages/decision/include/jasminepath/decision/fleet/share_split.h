#ifndef JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_
#define JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_

#include <cstdint>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/membership.h"
#include "jasminepath/decision/fleet/share_record.h"

namespace jasminepath::decision {

// The part of each instance if `instance_count` instances share a team's rate
// equally.
int64_t EqualPartPpm(std::size_t instance_count);

// Splits a team's full rate equally among `instances`.
share_record SplitEqually(const std::vector<instance_id>& instances);

// Returns the row committed at `version` without the parts of ended instances.
share_record WithoutEnded(const share_record& record,
                          revision version,
                          const membership& members);

// Returns `record` with the unassigned rate distributed to `instances`: the
// smallest parts are first raised up to the equal part, then all parts are
// raised evenly. No part is lowered.
share_record DistributeUnassigned(const share_record& record,
                                  const std::vector<instance_id>& instances);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_
