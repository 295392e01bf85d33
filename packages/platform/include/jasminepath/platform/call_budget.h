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

// With 470 nodes these rates allow at most 235 writes and 1,410 reads per
// second; the table sustains several hundred writes and 2,000 reads per second.
inline constexpr call_rate kTableWriteRate{.per_second = 0.5, .burst = 32};
inline constexpr call_rate kTableReadRate{.per_second = 3.0, .burst = 48};

// Token bucket that limits the rate of calls; it starts full.
class call_budget {
 public:
  call_budget(call_rate rate, time_point now);

  // Consumes the token of one call; returns false if there is none.
  bool TryTake(time_point now);
  // Earliest time at which TryTake can succeed.
  time_point NextCallAt(time_point now) const;

 private:
  double TokensAt(time_point now) const;

  call_rate rate_;
  double tokens_;
  time_point updated_at_;
};

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_CALL_BUDGET_H_
