#ifndef JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_
#define JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/decision/routing/router.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Outlier detection for one endpoint. Ejects the endpoint after consecutive
// failures, admits one probe at a time after an increasing time, and returns
// the endpoint to rotation after enough probes have succeeded. The first silent
// or cut connection is attributed to the network path and not to the endpoint;
// failures on other connections that existed at that time are not counted
// either.
class endpoint_health {
 public:
  // Whether the endpoint may receive calls, and how many.
  enum class stage { in_use, ejected, probing };

  // The stage at `now`; `ejected` becomes `probing` when the ejection time is
  // over.
  stage StageAt(time_point now) const;
  // Whether the endpoint is ejected or probing.
  bool IsOutOfRotation() const { return is_out_of_rotation_; }
  bool ShouldUseNewConnection() const { return is_path_suspected_; }

  // An attempt has ended; `others` is the number of attempts still running
  // there.
  void OnEnd(attempt_end end,
             int64_t others,
             time_point now,
             const routing_limits& limits);
  // The endpoint did not answer a status poll.
  void OnPollFailed(time_point now, const routing_limits& limits);
  // The endpoint's process has restarted.
  void Reset();

 private:
  void RecordFailure(time_point now, const routing_limits& limits);
  void Eject(time_point now, const routing_limits& limits);
  void RecordSuccess(time_point now, const routing_limits& limits);

  bool is_out_of_rotation_ = false;
  time_point out_of_rotation_until_;
  int64_t failures_ = 0;
  int64_t ejections_ = 0;
  int64_t successful_probes_ = 0;
  bool is_path_suspected_ = false;
  // Running attempts that may use connections as old as the suspected one.
  int64_t attempts_on_old_connections_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_ENDPOINT_HEALTH_H_
