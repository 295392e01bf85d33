#ifndef JASMINEPATH_DECISION_FLEET_SHARE_RECORD_H_
#define JASMINEPATH_DECISION_FLEET_SHARE_RECORD_H_

#include <cstdint>
#include <vector>

#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// A team's full rate, in parts per million.
inline constexpr int64_t kWholeSharePpm = 1'000'000;

// The part of a team's rate and burst that one instance may admit.
struct share_part {
  instance_id instance;
  int64_t ppm = 0;

  friend bool operator==(const share_part&, const share_part&) = default;
};

// The row of a team's shares. Each instance appears at most once, and the parts
// are ordered by instance id. The parts add up to at most `kWholeSharePpm`; the
// remainder is unassigned.
struct share_record {
  std::vector<share_part> parts;

  friend bool operator==(const share_record&, const share_record&) = default;
};

// The part of `instance`, or 0 if it has none.
int64_t PartPpm(const share_record& record, const instance_id& instance);

// The sum of all parts.
int64_t TotalPpm(const share_record& record);

// Sets the part of `instance`. A value of 0 removes the part.
void SetPart(share_record& record, const instance_id& instance, int64_t ppm);

// Whether the record satisfies its invariants: all parts are positive, the
// instances are ordered and unique, and the sum does not exceed
// `kWholeSharePpm`.
bool IsValid(const share_record& record);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SHARE_RECORD_H_
