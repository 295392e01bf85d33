#ifndef JASMINEPATH_PLATFORM_CIRCUIT_BREAKER_H_
#define JASMINEPATH_PLATFORM_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"

namespace jasminepath::platform {

// When a circuit breaker opens and how long it stays open.
struct circuit_breaker_limits {
  // Number of consecutive failures that open the breaker.
  int64_t failures_to_open = 3;
  // Upper bound of the wait before the first probe; it doubles after each
  // failed probe, up to `longest_wait`.
  duration first_wait = Milliseconds(500);
  duration longest_wait = Seconds(4);

  friend bool operator==(const circuit_breaker_limits&,
                         const circuit_breaker_limits&) = default;
};

// Circuit breaker for calls to one service. While closed, it allows every call.
// While open, it allows one probe after a random wait between half and the
// whole of a doubling bound, so that nodes do not retry at the same time.
class circuit_breaker {
 public:
  circuit_breaker(circuit_breaker_limits limits, random_engine random);

  // Whether a call may be made now. While open, returning true starts a
  // probe; the caller reports its result with OnSuccess or OnFailure.
  bool TryAcquire(time_point now);
  void OnSuccess();
  void OnFailure(time_point now);

  bool is_open() const { return open_; }
  // Earliest time of the next probe while open.
  time_point next_probe() const { return next_probe_; }

 private:
  void ScheduleProbe(time_point now);

  circuit_breaker_limits limits_;
  random_engine random_;
  int64_t failures_ = 0;
  bool open_ = false;
  bool probing_ = false;
  duration wait_ = duration::zero();
  time_point next_probe_{};
  time_point probe_expiry_{};
};

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_CIRCUIT_BREAKER_H_
