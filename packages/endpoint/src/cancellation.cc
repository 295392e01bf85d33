#include "jasminepath/endpoint/cancellation.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace jasminepath::endpoint {

cancellation::cancellation()
    : descriptor_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

cancellation::~cancellation() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
}

void cancellation::Cancel() {
  cancelled_.store(true, std::memory_order_release);
  if (descriptor_ < 0)
    return;
  const uint64_t one = 1;
  // The write fails only if the counter is full; the waiting thread is then
  // already being woken.
  [[maybe_unused]] const auto written = ::write(descriptor_, &one, sizeof(one));
}

}  // namespace jasminepath::endpoint
