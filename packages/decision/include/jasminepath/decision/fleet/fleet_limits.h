#ifndef JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_
#define JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::decision {

// Timing and bounds of the fleet duties.
struct fleet_limits {
  duration heartbeat_period = Seconds(1);
  // A link whose peer has not confirmed a heartbeat for this long is redialled.
  duration redial_after = Milliseconds(2500);
  // A linked instance not heard for this long is suspected.
  duration suspect_after = Seconds(4);
  // A view that nothing has confirmed for this long makes the node unready.
  duration view_lifetime = Seconds(5);
  // Fleets up to this size use a full mesh of links.
  int64_t max_full_mesh_instances = 16;
  // Peers that an instance chooses in a larger fleet.
  int64_t chosen_peer_count = 6;
  // Links beyond those chosen, opened to answer others.
  int64_t max_answering_links = 24;
  // Instances that poll the platform on behalf of all.
  int64_t poller_count = 2;
  duration poll_period = Seconds(1);
  duration vm_poll_period = Seconds(5);
  // A node polls by itself when its rows were not confirmed by the platform for
  // this long, later the lower it ranks among pollers.
  duration fallback_poll_after = Seconds(2);
  duration fallback_rank_step = Milliseconds(250);
  duration max_poll_backoff = Seconds(8);
  // A call to the platform without a reported end is given up after this.
  duration platform_call_expiry = Seconds(10);
  // A VM counts as gone when it is missing from the list for this long.
  duration absence_confirmation = Seconds(15);
  // A request for rows is repeated elsewhere after this.
  duration row_request_timeout = Milliseconds(500);
  // Size of a page of rows; a single larger row travels alone.
  int64_t page_bytes = 48 * 1024;
  // Longest random delay before a change of shares.
  duration share_jitter = Seconds(1);
  duration share_retry = Seconds(3);

  friend bool operator==(const fleet_limits&, const fleet_limits&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_
