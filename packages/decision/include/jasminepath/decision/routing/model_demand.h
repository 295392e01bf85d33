#ifndef JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_
#define JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// Current demand of one node's callers for one model. Ages are durations, so
// that the nodes need no common clock.
struct model_demand {
  model_id model;
  // Calls that wait in the node's queue, and calls that run at endpoints.
  int64_t waiting = 0;
  int64_t running = 0;
  // Tokens requested by the waiting calls.
  tokens waiting_size;
  // Longest waiting time of a waiting call, and the least time to a deadline.
  duration oldest_wait = duration::zero();
  duration least_time_left = duration::zero();
  // Calls that have arrived since the node started.
  int64_t arrivals = 0;

  friend bool operator==(const model_demand&, const model_demand&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_
