#ifndef JASMINEPATH_DECISION_ROUTING_ROUTER_H_
#define JASMINEPATH_DECISION_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/placement_core.h"
#include "jasminepath/decision/routing/cache_event.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Numbers that govern routing.
struct routing_limits {
  // Failures in a row that take an endpoint out of rotation.
  int64_t failures_to_eject = 3;
  // First time out of rotation; doubles with each failed probe.
  duration first_ejection = Seconds(2);
  duration longest_ejection = Seconds(60);
  // Successful probes that bring an endpoint back.
  int64_t probes_to_return = 3;
  // An endpoint with the prefix may carry this many times the mean load.
  double affinity_load_factor = 1.25;
  // Load that a call in another zone counts extra.
  double other_zone_load = 2.0;
  // Load that an adapter which is not resident counts extra.
  double absent_adapter_load = 4.0;
  // Prefixes that are remembered for each endpoint.
  int64_t prefixes_per_endpoint = 4096;

  friend bool operator==(const routing_limits&,
                         const routing_limits&) = default;
};

// Rotation state of an endpoint.
enum class endpoint_rotation {
  in_use,   // Gets calls.
  ejected,  // Failed; gets calls only if its pool would be empty otherwise.
  probing,  // Gets one call at a time until it has answered enough of them.
  leaving,  // Its VM leaves or has left; gets nothing new.
};

// What the router knows of one endpoint, for the status page.
struct endpoint_routing_status {
  endpoint_id endpoint;
  endpoint_rotation rotation = endpoint_rotation::in_use;
  // This node's attempts that run there.
  int64_t outstanding = 0;
  // The reported load corrected by what this node has sent since.
  int64_t load = 0;
  std::vector<model_id> ready;

  friend bool operator==(const endpoint_routing_status&,
                         const endpoint_routing_status&) = default;
};

// Picks endpoints for attempts, by lagged load corrected by what was sent
// since, prefix affinity with bounded load, zone and resident adapters. Learns
// from the ends of attempts; never empties a pool by outlier detection. Not
// thread-safe. Satisfies endpoint_router.
class router {
 public:
  router(zone_id zone, random_engine random, routing_limits limits);
  ~router();
  router(router&&) noexcept;
  router& operator=(router&&) noexcept;

  void OnConfiguration(std::shared_ptr<const config::configuration> source,
                       time_point now);
  void OnEndpointStatus(const endpoint_status& status, time_point now);
  // A status poll has failed; counts as a failed attempt.
  void OnEndpointUnreachable(const endpoint_id& endpoint, time_point now);
  void OnVmList(const std::vector<vm_id>& leaving,
                const std::vector<vm_id>& live,
                time_point now);
  void OnCacheEvents(const std::vector<cache_event>& events, time_point now);
  // Placement's word that a replica is ready, ahead of the next status.
  void OnReplicaReady(const model_id& model,
                      const endpoint_id& endpoint,
                      time_point now);
  // Placement's word on how soon a replica can be ready; negative: not known.
  void OnLoadEstimate(const model_id& model, duration estimate, time_point now);

  routing_choice Pick(const routing_query& query, time_point now);
  void OnDispatched(const endpoint_id& endpoint,
                    const routing_query& query,
                    time_point now);
  void OnFinished(const endpoint_id& endpoint,
                  const routing_query& query,
                  attempt_end end,
                  time_point now);

  // Whether the next attempt must use a new connection, because one to this
  // endpoint has gone silent or was cut and no call has been answered since.
  bool WantsFreshConnection(const endpoint_id& endpoint) const;
  // Adapters that picked endpoints lack, since the last call; for placement.
  std::vector<adapter_need> TakeAdapterNeeds();
  // Whether a usable endpoint has the model resident.
  bool HasReadyReplica(const model_id& model) const;
  std::vector<endpoint_routing_status> Status(time_point now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_ROUTER_H_
