#ifndef JASMINEPATH_PLATFORM_CIRCUIT_BREAKER_H_
#define JASMINEPATH_PLATFORM_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"

namespace jasminepath::platform {

// When a circuit breaker opens and how long it stays open.
struct circuit_breaker_limits {
  // Failures in a row that open it.
  int64_t failures_to_open = 3;
  // Longest wait before the first probe; doubles up to `longest_wait`.
  duration first_wait = Milliseconds(500);
  duration longest_wait = Seconds(4);

  friend bool operator==(const circuit_breaker_limits&,
                         const circuit_breaker_limits&) = default;
};

// Circuit breaker of one service. Closed, it lets every call through; open, it
// lets one probe through after a wait that is drawn between half and the whole
// of a doubling bound, so that nodes do not return together.
class circuit_breaker {
 public:
  circuit_breaker(circuit_breaker_limits limits, random_engine random);

  // Whether a call may be made now. While open, a true answer claims the probe:
  // report its end with OnSuccess or OnFailure.
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
