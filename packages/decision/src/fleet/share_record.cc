#include "jasminepath/decision/fleet/share_record.h"

#include <algorithm>

namespace jasminepath::decision {
namespace {

bool HasLowerInstanceId(const share_part& a, const share_part& b) {
  return a.instance < b.instance;
}

}  // namespace

int64_t PartPpm(const share_record& record, const instance_id& instance) {
  for (const share_part& part : record.parts) {
    if (part.instance == instance)
      return part.ppm;
  }
  return 0;
}

int64_t TotalPpm(const share_record& record) {
  int64_t total = 0;
  for (const share_part& part : record.parts)
    total += part.ppm;
  return total;
}

void SetPart(share_record& record, const instance_id& instance, int64_t ppm) {
  const share_part updated{.instance = instance, .ppm = ppm};
  auto place = std::lower_bound(record.parts.begin(), record.parts.end(),
                                updated, HasLowerInstanceId);
  const bool exists =
      place != record.parts.end() && place->instance == instance;
  if (exists && ppm > 0)
    place->ppm = ppm;
  else if (exists)
    record.parts.erase(place);
  else if (ppm > 0)
    record.parts.insert(place, updated);
}

bool IsValid(const share_record& record) {
  int64_t total = 0;
  const instance_id* previous = nullptr;
  for (const share_part& part : record.parts) {
    if (part.ppm <= 0 || part.ppm > kWholeSharePpm)
      return false;
    if (previous && !(*previous < part.instance))
      return false;
    previous = &part.instance;
    total += part.ppm;
    if (total > kWholeSharePpm)
      return false;
  }
  return true;
}

}  // namespace jasminepath::decision
