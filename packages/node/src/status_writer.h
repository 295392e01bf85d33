#ifndef JASMINEPATH_NODE_STATUS_WRITER_H_
#define JASMINEPATH_NODE_STATUS_WRITER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/admission_status.h"
#include "jasminepath/decision/fleet/fleet_coordinator.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/placement/placement_core.h"
#include "jasminepath/decision/routing/router.h"
#include "jasminepath/mesh/link_set.h"

namespace jasminepath::node {

// This node's share of one team's rate, in parts per million.
struct share_view {
  team_id team;
  int64_t ppm = 0;

  friend bool operator==(const share_view&, const share_view&) = default;
};

// The status of one node and its view of the fleet.
struct status_view {
  decision::instance_record self;
  bool is_ready = false;
  bool is_draining = false;
  revision configuration;
  revision facts_through;
  std::vector<decision::instance_view> instances;
  decision::placement_status placement;
  std::vector<decision::endpoint_routing_status> endpoints;
  decision::admission_status calls;
  std::vector<share_view> shares;
  mesh::link_counters links;
  bool is_platform_breaker_open = false;
};

// Returns the JSON body of GET /admin/status.
std::string WriteStatus(const status_view& view);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_STATUS_WRITER_H_
