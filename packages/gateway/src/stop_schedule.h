#ifndef JASMINEPATH_GATEWAY_SRC_STOP_SCHEDULE_H_
#define JASMINEPATH_GATEWAY_SRC_STOP_SCHEDULE_H_

#include "jasminepath/base/boot_time.h"

namespace jasminepath::gateway {

// Times of a node's planned stop. A node that isn't stopping has a schedule in
// which nothing ever happens.
struct stop_schedule {
  time_point began_at = time_point::max();
  // The load balancer sends no new connections from this time on.
  time_point last_connection_at = time_point::max();
  // All calls must be answered by this time because the process exits.
  time_point ends_at = time_point::max();

  friend bool operator==(const stop_schedule&, const stop_schedule&) = default;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_STOP_SCHEDULE_H_
