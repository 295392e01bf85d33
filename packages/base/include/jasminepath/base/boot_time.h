#ifndef JASMINEPATH_BASE_BOOT_TIME_H_
#define JASMINEPATH_BASE_BOOT_TIME_H_

#include <chrono>
#include <cstdint>

namespace jasminepath {

// A monotonic clock that continues to count while the VM is suspended
// (CLOCK_BOOTTIME). Only the code of the daemon reads this clock. Decision code
// receives the time as an argument.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

// Returns a duration of `count` milliseconds.
constexpr duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

// Returns a duration of `count` seconds.
constexpr duration Seconds(int64_t count) {
  return std::chrono::seconds(count);
}

// Converts a duration to milliseconds, truncated toward zero.
constexpr int64_t ToMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Converts a duration to seconds.
constexpr double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_BOOT_TIME_H_
