#ifndef JASMINEPATH_BASE_BOOT_TIME_H_
#define JASMINEPATH_BASE_BOOT_TIME_H_

#include <chrono>
#include <cstdint>

namespace jasminepath {

// Monotonic clock that keeps counting while the VM is suspended
// (CLOCK_BOOTTIME). Only the daemon's duties read it; decision code takes the
// time as an argument.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  // Reads the clock.
  static time_point now();
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

// Whole milliseconds as a duration.
constexpr duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

// Whole seconds as a duration.
constexpr duration Seconds(int64_t count) {
  return std::chrono::seconds(count);
}

// A duration in milliseconds, rounded down.
constexpr int64_t ToMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// A duration in seconds.
constexpr double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_BOOT_TIME_H_
