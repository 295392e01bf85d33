#include "jasminepath/base/boot_time.h"

#include <time.h>

namespace jasminepath {

boot_clock::time_point boot_clock::now() {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) +
                    std::chrono::nanoseconds(value.tv_nsec));
}

}  // namespace jasminepath
