#include "jasminepath/decision/routing/endpoint_health.h"

#include <algorithm>

namespace jasminepath::decision {

endpoint_health::stage endpoint_health::StageAt(time_point now) const {
  if (!out_)
    return stage::in_use;
  return now < out_until_ ? stage::ejected : stage::probing;
}

void endpoint_health::OnEnd(attempt_end end,
                            int64_t others,
                            time_point now,
                            const routing_limits& limits) {
  const bool on_old_connection = old_attempts_ > 0;
  if (on_old_connection)
    --old_attempts_;
  switch (end) {
    case attempt_end::answered:
      Succeed(now, limits);
      return;
    case attempt_end::refused:
    case attempt_end::cancelled:
      return;
    case attempt_end::server_error:
    case attempt_end::connect_failed:
      Fail(now, limits);
      return;
    case attempt_end::cut:
    case attempt_end::silent:
      break;
  }
  if (!path_suspected_) {
    path_suspected_ = true;
    old_attempts_ = others;
    return;
  }
  if (!on_old_connection)
    Fail(now, limits);
}

void endpoint_health::OnPollFailed(time_point now,
                                   const routing_limits& limits) {
  Fail(now, limits);
}

void endpoint_health::Reset() {
  *this = endpoint_health();
}

void endpoint_health::Fail(time_point now, const routing_limits& limits) {
  ++failures_;
  const bool probe_failed = StageAt(now) == stage::probing;
  if (probe_failed || (!out_ && failures_ >= limits.failures_to_eject))
    Eject(now, limits);
}

void endpoint_health::Eject(time_point now, const routing_limits& limits) {
  constexpr int64_t kMostDoublings = 20;
  const int64_t doublings = std::min(ejections_, kMostDoublings);
  const duration time = limits.first_ejection * (int64_t{1} << doublings);
  out_ = true;
  out_until_ = now + std::min(time, limits.longest_ejection);
  ++ejections_;
  probes_passed_ = 0;
}

void endpoint_health::Succeed(time_point now, const routing_limits& limits) {
  failures_ = 0;
  if (old_attempts_ == 0)
    path_suspected_ = false;
  if (StageAt(now) != stage::probing)
    return;
  ++probes_passed_;
  if (probes_passed_ < limits.probes_to_return)
    return;
  out_ = false;
  ejections_ = 0;
}

}  // namespace jasminepath::decision
