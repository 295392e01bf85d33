#include "jasminepath/platform/call_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminepath::platform {

call_budget::call_budget(call_rate rate, time_point now)
    : rate_(rate), level_(rate.burst), updated_(now) {}

bool call_budget::TryTake(time_point now) {
  level_ = LevelAt(now);
  updated_ = std::max(updated_, now);
  if (level_ < 1.0)
    return false;
  level_ -= 1.0;
  return true;
}

time_point call_budget::NextCallAt(time_point now) const {
  const double missing = 1.0 - LevelAt(now);
  if (missing <= 0.0)
    return now;
  const std::chrono::duration<double> wait(missing / rate_.per_second);
  // Rounded up, so that TryTake succeeds at the time returned.
  return now + std::chrono::duration_cast<duration>(wait) + Milliseconds(1);
}

double call_budget::LevelAt(time_point now) const {
  if (now <= updated_)
    return level_;
  const double refill = ToSeconds(now - updated_) * rate_.per_second;
  return std::min(rate_.burst, level_ + refill);
}

}  // namespace jasminepath::platform
