#ifndef JASMINEPATH_GATEWAY_GATEWAY_SETTINGS_H_
#define JASMINEPATH_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// Limits that the site sets for all nodes.
struct fleet_bounds {
  // Validity of the placement authority without renewal.
  duration lease = Seconds(3);
  // Engines reject orders that carry an outdated fencing token.
  bool engines_check_fencing = true;
  // Time from the stop signal until the process is killed.
  duration grace = Seconds(8);
  // Retry budget: retries as a share of first attempts, plus a fixed reserve.
  double retry_share = 0.2;
  int64_t retry_reserve = 50;

  friend bool operator==(const fleet_bounds&, const fleet_bounds&) = default;
};

// Settings of one node, read at its start.
struct gateway_settings {
  vm_id node;
  zone_id zone;
  std::string ip;
  // Addresses in the form IP:PORT, for callers and for the load balancer's
  // readiness checks.
  std::string caller_address;
  std::string readiness_address;
  std::string store_address;
  // Port range for messages between nodes, metrics and table copies.
  uint16_t first_free_port = 0;
  uint16_t last_free_port = 0;
  // Time from the stop signal until the node accepts no new connections. The
  // load balancer probes once a second and needs two failed probes in a row to
  // take the node out of rotation.
  duration lame_duck = Milliseconds(2600);
  // CPU available to the node, in thousandths of a core. The nodes of a zone
  // with the most CPU take on the zone's duties.
  int64_t cpu_millicores = 1000;
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
