#ifndef JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_
#define JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/decision/fleet/fleet_limits.h"

namespace jasminepath::decision {

// Decides when this node polls one resource of the platform. The instances that
// rank first poll at a fixed period. Any other instance polls only if its rows
// have not been confirmed for longer than a delay that increases with its rank,
// so that the nodes do not all poll at the same time after the pollers or the
// platform have failed. After failures, the schedule waits for a random time
// with exponential backoff.
class poll_schedule {
 public:
  poll_schedule(duration period, fleet_limits limits, random_engine random);

  // Returns whether to poll now; if so, records the poll as sent.
  // `confirmed_at` is when the platform last confirmed the polled rows.
  bool TryStart(int64_t rank,
                std::optional<time_point> confirmed_at,
                time_point now);
  // Records that a poll was answered and returns when this poll was sent. If
  // several polls are outstanding, the answer is attributed to the oldest, so
  // that the returned time is never too late.
  std::optional<time_point> OnAnswered();
  void OnFailed(time_point now);
  // Requests a poll at the next opportunity, independently of the rank.
  void RequestPoll();

 private:
  bool IsDue(int64_t rank,
             std::optional<time_point> confirmed_at,
             time_point now) const;

  duration period_;
  fleet_limits limits_;
  random_engine random_;
  std::optional<time_point> sent_at_;
  // When an earlier poll was sent that expired without an answer.
  std::optional<time_point> expired_poll_sent_at_;
  time_point next_allowed_{};
  duration backoff_ = duration::zero();
  bool poll_requested_ = true;
  // Whether the outstanding poll was requested. If this poll fails, the request
  // remains.
  bool outstanding_poll_requested_ = false;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_POLL_SCHEDULE_H_
