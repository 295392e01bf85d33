#include "jasminepath/decision/fleet/share_split.h"

#include <algorithm>

namespace jasminepath::decision {

int64_t EqualPartPpm(std::size_t instance_count) {
  if (instance_count == 0)
    return 0;
  return kWholeSharePpm / static_cast<int64_t>(instance_count);
}

share_record SplitEqually(const std::vector<instance_id>& instances) {
  share_record record;
  const int64_t part = EqualPartPpm(instances.size());
  for (const instance_id& id : instances)
    SetPart(record, id, part);
  return record;
}

share_record WithoutEnded(const share_record& record,
                          revision version,
                          const membership& members) {
  share_record remaining;
  for (const share_part& part : record.parts) {
    if (!members.HasEnded(part.instance, version))
      remaining.parts.push_back(part);
  }
  return remaining;
}

share_record DistributeUnassigned(const share_record& record,
                                  const std::vector<instance_id>& instances) {
  share_record raised = record;
  int64_t unassigned = kWholeSharePpm - TotalPpm(record);
  std::vector<share_part> parts;
  for (const instance_id& id : instances)
    parts.push_back({.instance = id, .ppm = PartPpm(record, id)});
  std::stable_sort(
      parts.begin(), parts.end(),
      [](const share_part& a, const share_part& b) { return a.ppm < b.ppm; });
  const int64_t equal = EqualPartPpm(instances.size());
  for (share_part& part : parts) {
    const int64_t added = std::clamp<int64_t>(equal - part.ppm, 0, unassigned);
    part.ppm += added;
    unassigned -= added;
  }
  const int64_t rest =
      parts.empty() ? 0 : unassigned / static_cast<int64_t>(parts.size());
  for (const share_part& part : parts)
    SetPart(raised, part.instance, part.ppm + rest);
  return raised;
}

}  // namespace jasminepath::decision
