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

// Parameters of routing.
struct routing_limits {
  // Consecutive failures after which an endpoint is ejected.
  int64_t failures_to_eject = 3;
  // Duration of the first ejection; doubles with each failed probe.
  duration initial_ejection_time = Seconds(2);
  duration max_ejection_time = Seconds(60);
  // Successful probes after which an endpoint returns to rotation.
  int64_t probes_to_return = 3;
  // Maximum load of an endpoint with a cached prefix, as a multiple of the mean
  // load plus one.
  double affinity_load_factor = 1.25;
  // Load added to the score of an endpoint in another zone.
  double other_zone_penalty = 2.0;
  // Load added to the score of an endpoint without the requested adapter.
  double missing_adapter_penalty = 4.0;
  // Maximum number of prefixes remembered for each endpoint.
  int64_t prefixes_per_endpoint = 4096;

  friend bool operator==(const routing_limits&,
                         const routing_limits&) = default;
};

// Rotation state of an endpoint.
enum class endpoint_rotation {
  in_use,   // Receives calls.
  ejected,  // Failed; receives calls only if its pool is empty otherwise.
  probing,  // Receives one call at a time until enough have been answered.
  leaving,  // Its VM leaves or has left; receives no new calls.
};

// Routing state of one endpoint for the status page.
struct endpoint_routing_status {
  endpoint_id endpoint;
  endpoint_rotation rotation = endpoint_rotation::in_use;
  // Attempts of this node that run there.
  int64_t outstanding = 0;
  // The reported load, corrected by what this node has sent since the report.
  int64_t load = 0;
  std::vector<model_id> ready;

  friend bool operator==(const endpoint_routing_status&,
                         const endpoint_routing_status&) = default;
};

// Picks endpoints for attempts by load (lagged reports corrected by what was
// sent since), prefix affinity with bounded load, zone and resident adapters.
// Uses the ends of attempts for outlier detection, which never empties a pool.
// Not thread-safe. Satisfies endpoint_router.
class router {
 public:
  router(zone_id zone, random_engine random, routing_limits limits);
  ~router();
  router(router&&) noexcept;
  router& operator=(router&&) noexcept;

  void OnConfiguration(std::shared_ptr<const config::configuration> source,
                       time_point now);
  void OnEndpointStatus(const endpoint_status& status, time_point now);
  // A status poll has failed; counted as a failed attempt.
  void OnEndpointUnreachable(const endpoint_id& endpoint, time_point now);
  void OnVmList(const std::vector<vm_id>& leaving,
                const std::vector<vm_id>& live,
                time_point now);
  void OnCacheEvents(const std::vector<cache_event>& events, time_point now);
  // Placement reports that a replica is ready, before the next status arrives.
  void OnReplicaReady(const model_id& model,
                      const endpoint_id& endpoint,
                      time_point now);
  // Placement reports the time until a replica can be ready; negative if
  // unknown.
  void OnLoadEstimate(const model_id& model, duration estimate, time_point now);

  routing_choice Pick(const routing_query& query, time_point now);
  void OnDispatched(const endpoint_id& endpoint,
                    const routing_query& query,
                    time_point now);
  void OnFinished(const endpoint_id& endpoint,
                  const routing_query& query,
                  attempt_end end,
                  time_point now);

  // Whether the next attempt must use a new connection, because a connection to
  // this endpoint has become silent or was cut and no call has been answered
  // since.
  bool ShouldUseNewConnection(const endpoint_id& endpoint) const;
  // Returns the adapters that were missing at picked endpoints since the last
  // call, for placement.
  std::vector<adapter_need> TakeAdapterNeeds();
  // Whether the model is resident at an endpoint that is configured and not
  // leaving.
  bool HasReadyReplica(const model_id& model) const;
  std::vector<endpoint_routing_status> Status(time_point now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_ROUTER_H_
