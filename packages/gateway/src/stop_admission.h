#ifndef JASMINEPATH_GATEWAY_SRC_STOP_ADMISSION_H_
#define JASMINEPATH_GATEWAY_SRC_STOP_ADMISSION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/decision/admission/answer_time_estimate.h"
#include "jasminepath/gateway/site.h"
#include "stop_schedule.h"

namespace jasminepath::gateway {

// Decides which calls a stopping node still sends to endpoints. A connection
// can outlive the start of the stop, because the head of an answer that began
// earlier allowed its caller to keep it.
class stop_admission {
 public:
  // Records how long the endpoints took for an answer on the route.
  void RecordAnswer(const std::string& route, duration time);
  // Records that endpoints have worked for `time` on an answer that did not
  // come or was not complete. Counts only if answers usually take less.
  void RecordMissingAnswer(const std::string& route, duration time);
  // Forgets routes that no longer exist.
  void SetRoutes(const std::vector<route>& routes);

  // Starts the stop, or changes its times.
  void SetSchedule(const stop_schedule& schedule) { schedule_ = schedule; }
  const stop_schedule& schedule() const { return schedule_; }
  bool is_stopping() const { return schedule_ != stop_schedule{}; }

  // Whether a call that is sent to an endpoint at `now` can be completed before
  // the process exits. A call that had arrived as a whole while the load
  // balancer might still choose this node needs the usual time of its route's
  // answers; a later one must be certain to end. Where no answer is known, a
  // repeatable plain call is expected to need its objective, and any other one
  // its time limit.
  bool CanComplete(const route& route,
                   time_point arrived_at,
                   time_point deadline,
                   time_point now) const;

 private:
  std::optional<decision::answer_time_estimate> EstimateFor(
      const route& route) const;

  stop_schedule schedule_;
  std::map<std::string, decision::answer_time_estimate> answer_times_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_STOP_ADMISSION_H_
