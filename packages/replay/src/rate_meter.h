#ifndef JASMINEPATH_REPLAY_RATE_METER_H_
#define JASMINEPATH_REPLAY_RATE_METER_H_

#include <algorithm>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/units.h"

namespace jasminepath::replay {

// A single token bucket for the whole rate and burst of a team. It is the
// reference for wrongful refusals and the limiter of the table_write baseline.
class rate_meter {
 public:
  rate_meter(tokens rate_per_second, tokens burst, time_point now)
      : rate_(static_cast<double>(rate_per_second.count())),
        burst_(static_cast<double>(burst.count())),
        level_(burst_),
        updated_(now) {}

  bool HasTokens(tokens amount, time_point now) {
    Update(now);
    return level_ >= static_cast<double>(amount.count());
  }
  void Take(tokens amount, time_point now) {
    Update(now);
    level_ -= static_cast<double>(amount.count());
  }
  void Refund(tokens amount, time_point now) {
    Update(now);
    level_ = std::min(burst_, level_ + static_cast<double>(amount.count()));
  }

 private:
  void Update(time_point now) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - updated_));
    updated_ = now;
  }

  double rate_;
  double burst_;
  double level_;
  time_point updated_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_RATE_METER_H_
