#ifndef JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_
#define JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::decision {

// Timeouts, periods and bounds of the fleet coordinator.
struct fleet_limits {
  duration heartbeat_period = Seconds(1);
  // A link is redialled if its peer has confirmed no heartbeat for this long.
  duration redial_after = Milliseconds(2500);
  // A linked instance is suspected if nothing was received from it for this
  // long.
  duration suspect_after = Seconds(4);
  // The node becomes unready if its view was not confirmed for this long.
  duration view_lifetime = Seconds(5);
  // Fleets with at most this many instances use a full mesh of links.
  int64_t max_full_mesh_instances = 16;
  // The number of peers to which an instance links in a larger fleet.
  int64_t chosen_peer_count = 6;
  // The maximum number of links that this instance did not choose and keeps
  // only to answer its peers.
  int64_t max_answering_links = 24;
  // The number of instances that poll the platform on behalf of the fleet.
  int64_t poller_count = 2;
  duration poll_period = Seconds(1);
  duration vm_poll_period = Seconds(5);
  // A node that is not a poller polls the platform itself if its rows were not
  // confirmed by the platform for this long. Each rank adds one
  // `fallback_rank_step`.
  duration fallback_poll_after = Seconds(2);
  duration fallback_rank_step = Milliseconds(250);
  duration max_poll_backoff = Seconds(8);
  // A call to the platform that has not ended after this time is treated as
  // failed.
  duration platform_call_expiry = Seconds(10);
  // A VM counts as gone if it was missing from the list for this long.
  duration absence_confirmation = Seconds(15);
  // An unanswered request for rows may be sent to another peer after this time.
  duration row_request_timeout = Milliseconds(500);
  // The maximum size of a page of rows. A single larger row is sent in a page
  // of its own.
  int64_t page_bytes = 48 * 1024;
  // The maximum random delay before a change of shares.
  duration share_jitter = Seconds(1);
  duration share_retry = Seconds(3);

  friend bool operator==(const fleet_limits&, const fleet_limits&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_LIMITS_H_
