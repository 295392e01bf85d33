#ifndef JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_
#define JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// What one node's callers ask of one model now. Ages are durations, so that
// nodes need no common clock.
struct model_demand {
  model_id model;
  // Calls that wait in the node's queue, and those that run at endpoints.
  int64_t waiting = 0;
  int64_t running = 0;
  // Tokens that the waiting calls ask for.
  tokens waiting_size;
  // How long the oldest call has waited, and the least time left to any.
  duration oldest_wait = duration::zero();
  duration least_time_left = duration::zero();
  // Calls that have arrived since the node started.
  int64_t arrivals = 0;

  friend bool operator==(const model_demand&, const model_demand&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_MODEL_DEMAND_H_
