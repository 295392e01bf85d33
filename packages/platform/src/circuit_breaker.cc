#include "jasminepath/platform/circuit_breaker.h"

#include <algorithm>
#include <random>

namespace jasminepath::platform {
namespace {

// Time after which a probe without a reported result no longer blocks the next
// probe.
constexpr duration kProbeExpiry = Seconds(30);

}  // namespace

circuit_breaker::circuit_breaker(circuit_breaker_limits limits,
                                 random_engine random)
    : limits_(limits), random_(random) {}

bool circuit_breaker::TryAcquire(time_point now) {
  if (!open_)
    return true;
  const bool is_probe_pending = probing_ && now < probe_expiry_;
  if (is_probe_pending || now < next_probe_)
    return false;
  probing_ = true;
  probe_expiry_ = now + kProbeExpiry;
  return true;
}

void circuit_breaker::OnSuccess() {
  failures_ = 0;
  open_ = false;
  probing_ = false;
  wait_ = duration::zero();
}

void circuit_breaker::OnFailure(time_point now) {
  ++failures_;
  probing_ = false;
  if (failures_ < limits_.failures_to_open)
    return;
  open_ = true;
  ScheduleProbe(now);
}

void circuit_breaker::ScheduleProbe(time_point now) {
  wait_ = wait_ == duration::zero() ? limits_.first_wait : wait_ * 2;
  wait_ = std::min(wait_, limits_.longest_wait);
  std::uniform_int_distribution<duration::rep> jitter(wait_.count() / 2,
                                                      wait_.count());
  next_probe_ = now + duration(jitter(random_));
}

}  // namespace jasminepath::platform
