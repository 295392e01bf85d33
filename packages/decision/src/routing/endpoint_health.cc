#include "jasminepath/decision/routing/endpoint_health.h"

#include <algorithm>

namespace jasminepath::decision {

endpoint_health::stage endpoint_health::StageAt(time_point now) const {
  if (!is_out_of_rotation_)
    return stage::in_use;
  return now < out_of_rotation_until_ ? stage::ejected : stage::probing;
}

void endpoint_health::OnEnd(attempt_end end,
                            int64_t others,
                            time_point now,
                            const routing_limits& limits) {
  const bool on_old_connection = attempts_on_old_connections_ > 0;
  if (on_old_connection)
    --attempts_on_old_connections_;
  switch (end) {
    case attempt_end::answered:
      RecordSuccess(now, limits);
      return;
    case attempt_end::refused:
    case attempt_end::cancelled:
      return;
    case attempt_end::server_error:
    case attempt_end::connect_failed:
      RecordFailure(now, limits);
      return;
    case attempt_end::cut:
    case attempt_end::silent:
      break;
  }
  if (!is_path_suspected_) {
    is_path_suspected_ = true;
    attempts_on_old_connections_ = others;
    return;
  }
  if (!on_old_connection)
    RecordFailure(now, limits);
}

void endpoint_health::OnPollFailed(time_point now,
                                   const routing_limits& limits) {
  RecordFailure(now, limits);
}

void endpoint_health::Reset() {
  *this = endpoint_health();
}

void endpoint_health::RecordFailure(time_point now,
                                    const routing_limits& limits) {
  ++failures_;
  const bool probe_failed = StageAt(now) == stage::probing;
  if (probe_failed ||
      (!is_out_of_rotation_ && failures_ >= limits.failures_to_eject))
    Eject(now, limits);
}

void endpoint_health::Eject(time_point now, const routing_limits& limits) {
  constexpr int64_t kMaxEjectionDoublings = 20;
  const int64_t doublings = std::min(ejections_, kMaxEjectionDoublings);
  const duration time =
      limits.initial_ejection_time * (int64_t{1} << doublings);
  is_out_of_rotation_ = true;
  out_of_rotation_until_ = now + std::min(time, limits.max_ejection_time);
  ++ejections_;
  successful_probes_ = 0;
}

void endpoint_health::RecordSuccess(time_point now,
                                    const routing_limits& limits) {
  failures_ = 0;
  if (attempts_on_old_connections_ == 0)
    is_path_suspected_ = false;
  if (StageAt(now) != stage::probing)
    return;
  ++successful_probes_;
  if (successful_probes_ < limits.probes_to_return)
    return;
  is_out_of_rotation_ = false;
  ejections_ = 0;
}

}  // namespace jasminepath::decision
