#ifndef JASMINEPATH_GATEWAY_GATEWAY_SETTINGS_H_
#define JASMINEPATH_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// Bounds that the site sets for all nodes together.
struct fleet_bounds {
  // How long an authority lasts without renewal.
  duration lease = Seconds(3);
  // Engines refuse orders with an old fencing token.
  bool engines_check_fencing = true;
  // From the order to stop until the process is ended.
  duration grace = Seconds(8);
  // Repeated sends, as a share of first ones, and the fixed part on top of it.
  double retry_share = 0.2;
  int64_t retry_reserve = 50;

  friend bool operator==(const fleet_bounds&, const fleet_bounds&) = default;
};

// What one node is told at its start.
struct gateway_settings {
  vm_id node;
  zone_id zone;
  std::string ip;
  // IP:PORT for callers and for the balancer's readiness checks.
  std::string caller_address;
  std::string readiness_address;
  std::string store_address;
  // Free for the nodes' own messages, for metrics and for facts.
  uint16_t first_free_port = 0;
  uint16_t last_free_port = 0;
  // From the order to stop until no new connection is taken: the balancer asks
  // every second and needs two answers in a row to see that the node stops.
  duration lame_duck = Milliseconds(2600);
  // Processor that the node may use, in thousandths of a core. Of the nodes of
  // a zone, those with most take on duties for the others.
  int64_t processor = 1000;
  fleet_bounds bounds;

  std::string peer_address() const {
    return ip + ":" + std::to_string(first_free_port);
  }
  std::string metrics_address() const {
    return ip + ":" + std::to_string(first_free_port + 1);
  }

  friend bool operator==(const gateway_settings&,
                         const gateway_settings&) = default;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_GATEWAY_SETTINGS_H_
