#ifndef JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_
#define JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/decision/routing/router.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Outlier detection for one endpoint: ejects it after failures in a row, lets
// single probes through after a growing time, and returns it after some have
// succeeded. A first silent or cut connection is put down to the path and not
// to the endpoint; calls that ran on connections of that time are not counted
// either.
class endpoint_health {
 public:
  // Whether the endpoint may get calls, and how many.
  enum class stage { in_use, ejected, probing };

  // The stage at the time; an ejection that is over has become probing.
  stage StageAt(time_point now) const;
  // Ejected or probing.
  bool out_of_rotation() const { return out_; }
  bool wants_fresh_connection() const { return path_suspected_; }

  // An attempt has ended; `others` attempts still run there.
  void OnEnd(attempt_end end,
             int64_t others,
             time_point now,
             const routing_limits& limits);
  // A status poll was not answered.
  void OnPollFailed(time_point now, const routing_limits& limits);
  // The endpoint's process has restarted.
  void Reset();

 private:
  void Fail(time_point now, const routing_limits& limits);
  void Eject(time_point now, const routing_limits& limits);
  void Succeed(time_point now, const routing_limits& limits);

  bool out_ = false;
  time_point out_until_;
  int64_t failures_ = 0;
  int64_t ejections_ = 0;
  int64_t probes_passed_ = 0;
  bool path_suspected_ = false;
  // Attempts that may run on connections as old as the suspected one.
  int64_t old_attempts_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_
