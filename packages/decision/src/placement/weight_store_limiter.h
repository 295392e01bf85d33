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

// Limits the loads from the weight store to the number that the store serves at
// full speed, and starts the most urgent load first. Only the speed of loads
// depends on this class: if two nodes act as limiter at the same time, loads
// are slower, but no invariant is violated.
class weight_store_limiter {
 public:
  // A load that may start, and the node that requested it.
  struct granted_load {
    instance_id to;
    std::string load;
  };

  explicit weight_store_limiter(duration lease) : lease_(lease) {}

  void SetLimits(const config::weight_store& limits) { limits_ = limits; }
  // Queues the load. If the load was granted already, the grant is repeated.
  void OnRequest(const instance_id& from,
                 const store_request& request,
                 time_point now);
  void OnRelease(const store_release& release);
  void OnInstanceEnded(const instance_id& instance);
  // Returns the loads that may start now.
  std::vector<granted_load> TakeGrants(time_point now);
  // Number of model loads that run or wait.
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
