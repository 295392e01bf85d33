#ifndef JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_
#define JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_

#include <cstdint>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/membership.h"
#include "jasminepath/decision/fleet/share_record.h"

namespace jasminepath::decision {

// The equal part of each of `instance_count` instances.
int64_t EqualPartPpm(std::size_t instance_count);

// The whole, in equal parts.
share_record SplitEqually(const std::vector<instance_id>& instances);

// The row committed at `version` without the parts of ended instances.
share_record WithoutEnded(const share_record& record,
                          revision version,
                          const membership& members);

// Raises the smallest parts of `instances` with what is missing to the whole,
// each up to the equal part, then all of them evenly. Lowers none.
share_record DistributeUnassigned(const share_record& record,
                                  const std::vector<instance_id>& instances);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SHARE_SPLIT_H_
