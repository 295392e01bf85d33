#ifndef JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_
#define JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/decision/fleet/fleet_limits.h"

namespace jasminepath::decision {

// When this node reads one thing from the platform. The instances that rank
// first poll with the period; the others only when nothing has confirmed their
// rows for longer than their rank demands, so that after the loss of the
// pollers, or of the platform, the nodes do not come all at once. Failures are
// followed by doubling, random waits.
class poll_schedule {
 public:
  poll_schedule(duration period, fleet_limits limits, random_engine random);

  // Whether to poll now; true counts the poll as sent. `confirmed_at` is when
  // the platform last confirmed what is polled.
  bool TryStart(int64_t rank,
                std::optional<time_point> confirmed_at,
                time_point now);
  // A poll was answered; returns when it was sent at the latest. Of several
  // outstanding polls the answer counts for the oldest.
  std::optional<time_point> OnAnswered();
  void OnFailed(time_point now);
  // Asks for a poll at the next opportunity, whatever the rank.
  void RequestPoll();

 private:
  bool IsDue(int64_t rank,
             std::optional<time_point> confirmed_at,
             time_point now) const;

  duration period_;
  fleet_limits limits_;
  random_engine random_;
  std::optional<time_point> sent_at_;
  // An earlier poll that was given up without an answer.
  std::optional<time_point> expired_poll_sent_at_;
  time_point next_allowed_{};
  duration backoff_ = duration::zero();
  bool poll_requested_ = true;
  // The outstanding poll was demanded; if it fails, the demand stands.
  bool outstanding_poll_requested_ = false;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_
