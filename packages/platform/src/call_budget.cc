#include "jasminepath/platform/call_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminepath::platform {

call_budget::call_budget(call_rate rate, time_point now)
    : rate_(rate), tokens_(rate.burst), updated_at_(now) {}

bool call_budget::TryTake(time_point now) {
  tokens_ = TokensAt(now);
  updated_at_ = std::max(updated_at_, now);
  if (tokens_ < 1.0)
    return false;
  tokens_ -= 1.0;
  return true;
}

time_point call_budget::NextCallAt(time_point now) const {
  const double missing = 1.0 - TokensAt(now);
  if (missing <= 0.0)
    return now;
  const std::chrono::duration<double> wait(missing / rate_.per_second);
  // Rounded up, so that TryTake() succeeds at the returned time.
  return now + std::chrono::duration_cast<duration>(wait) + Milliseconds(1);
}

double call_budget::TokensAt(time_point now) const {
  if (now <= updated_at_)
    return tokens_;
  const double refill = ToSeconds(now - updated_at_) * rate_.per_second;
  return std::min(rate_.burst, tokens_ + refill);
}

}  // namespace jasminepath::platform
