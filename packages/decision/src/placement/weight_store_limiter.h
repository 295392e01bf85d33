#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_WEIGHT_STORE_LIMITER_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_WEIGHT_STORE_LIMITER_H_

#include <map>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::decision {

// Paces the weight store: lets as many loads run as it serves at full speed,
// the most urgent first. Only speed hangs on it: should two nodes pace at once
// for a time, loads are slower, but no promise breaks.
class weight_store_limiter {
 public:
  // A load that may start, and the node that asked for it.
  struct granted_load {
    instance_id to;
    std::string load;
  };

  explicit weight_store_limiter(duration lease) : lease_(lease) {}

  void SetLimits(const config::weight_store& limits) { limits_ = limits; }
  // Queues the load; repeats the grant if it was granted already.
  void OnRequest(const instance_id& from,
                 const store_request& request,
                 time_point now);
  void OnRelease(const store_release& release);
  void OnInstanceEnded(const instance_id& instance);
  // Loads that may start now.
  std::vector<granted_load> TakeGrants(time_point now);
  // Model loads that run or wait now.
  int64_t ModelLoadCount() const;

 private:
  struct entry {
    instance_id from;
    store_load kind = store_load::model;
    double urgency = 0;
    time_point requested_at;
    bool is_running = false;
    bool needs_grant = false;
    time_point started_at;
  };

  int64_t RunningCount(store_load kind) const;
  int64_t MaxRunning(store_load kind) const;
  void StartLoads(store_load kind, time_point now);

  duration lease_;
  config::weight_store limits_;
  std::map<std::string, entry> entries_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_WEIGHT_STORE_LIMITER_H_
