#ifndef JASMINEPATH_PLATFORM_CALL_BUDGET_H_
#define JASMINEPATH_PLATFORM_CALL_BUDGET_H_

#include "jasminepath/base/boot_time.h"

namespace jasminepath::platform {

// Rate and burst of calls that one node may make to a service.
struct call_rate {
  double per_second = 1.0;
  double burst = 1.0;

  friend bool operator==(const call_rate&, const call_rate&) = default;
};

// At 470 nodes these make at most 235 writes and 1,410 reads a second, under
// the several hundred writes and two thousand reads that the table takes.
inline constexpr call_rate kTableWriteRate{.per_second = 0.5, .burst = 32};
inline constexpr call_rate kTableReadRate{.per_second = 3.0, .burst = 48};

// Token bucket over calls; starts full.
class call_budget {
 public:
  call_budget(call_rate rate, time_point now);

  // Takes one call from the budget, or returns false and takes nothing.
  bool TryTake(time_point now);
  // Earliest time at which TryTake can succeed.
  time_point NextCallAt(time_point now) const;

 private:
  double LevelAt(time_point now) const;

  call_rate rate_;
  double level_;
  time_point updated_;
};

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_CALL_BUDGET_H_
