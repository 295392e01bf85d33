#ifndef JASMINEPATH_DECISION_SRC_ROUTING_ROUTER_STATE_H_
#define JASMINEPATH_DECISION_SRC_ROUTING_ROUTER_STATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminepath/decision/routing/endpoint_health.h"
#include "jasminepath/decision/routing/router.h"
#include "routing/load_tracker.h"
#include "routing/prefix_index.h"

namespace jasminepath::decision {

// State of the router: endpoints by number, and the pools of endpoints that can
// take calls of a model or a plain service. The members of a pool are rebuilt
// only when residence, rotation or the VM list has changed, so that the cost of
// a pick does not depend on the number of endpoints.
class router::state {
 public:
  state(zone_id zone, random_engine random, routing_limits limits);

  void OnConfiguration(const config::configuration& source);
  void OnEndpointStatus(const endpoint_status& status, time_point now);
  void OnEndpointUnreachable(const endpoint_id& endpoint, time_point now);
  void OnVmList(const std::vector<vm_id>& leaving,
                const std::vector<vm_id>& live);
  void OnCacheEvents(const std::vector<cache_event>& events);
  void OnReplicaReady(const model_id& model,
                      const endpoint_id& endpoint,
                      time_point now);
  void OnLoadEstimate(const model_id& model, duration estimate, time_point now);
  routing_choice Pick(const routing_query& query, time_point now);
  void OnDispatched(const endpoint_id& endpoint,
                    const routing_query& query,
                    time_point now);
  void OnFinished(const endpoint_id& endpoint, attempt_end end, time_point now);
  bool ShouldUseNewConnection(const endpoint_id& endpoint) const;
  std::vector<adapter_need> TakeAdapterNeeds();
  bool HasReadyReplica(const model_id& model) const;
  std::vector<endpoint_routing_status> Status(time_point now) const;

 private:
  // A model that is ready at an endpoint.
  struct ready_model {
    model_id model;
    std::string version;
    std::vector<adapter_id> adapters;
  };

  struct endpoint_entry {
    config::endpoint endpoint;
    service_id service;
    int64_t concurrency = 1;
    bool is_configured = false;
    bool is_leaving = false;
    bool is_same_zone = false;
    std::string incarnation;
    time_point observed_at = time_point::min();
    std::vector<ready_model> ready;
    load_tracker load;
    endpoint_health health;
    std::string cache_incarnation;
    int64_t cache_sequence = 0;
  };

  // Endpoints for the calls of one model or plain service.
  struct pool {
    service_id service;
    bool is_plain = false;
    model_id model;
    std::string version;
    std::vector<uint32_t> endpoints;
    // Rebuilt from `endpoints`: members that can take calls, and members that
    // are out of rotation but could otherwise take calls.
    std::vector<uint32_t> in_rotation;
    std::vector<uint32_t> out_of_rotation;
    bool is_stale = true;
    // Earliest time at which a replica can be ready.
    std::optional<time_point> ready_at;
  };

  // The best endpoint found so far.
  struct candidate {
    uint32_t number = prefix_index::kNone;
    double score = 0;
  };

  uint32_t FindNumber(const endpoint_id& endpoint) const;
  pool* FindPool(const routing_query& query);
  const ready_model* FindReady(const endpoint_entry& entry,
                               const model_id& model) const;
  void MarkStale(const endpoint_entry& entry);
  void RebuildRotation(pool& members);
  bool CanServe(const endpoint_entry& entry, const pool& members) const;
  bool CanAccept(uint32_t number,
                 const routing_query& query,
                 time_point now) const;
  double Score(uint32_t number, const routing_query& query) const;
  uint32_t PickByPrefix(const pool& members,
                        const routing_query& query,
                        time_point now) const;
  uint32_t PickProbe(const pool& members,
                     const routing_query& query,
                     time_point now) const;
  uint32_t PickByLoad(const std::vector<uint32_t>& members,
                      const routing_query& query,
                      time_point now);
  uint32_t PickOutOfRotation(const pool& members,
                             const routing_query& query) const;
  void Consider(uint32_t number,
                const routing_query& query,
                time_point now,
                candidate& best) const;
  routing_verdict ExplainNoChoice(const pool& members,
                                  const routing_query& query,
                                  time_point now) const;
  routing_choice MakeChoice(uint32_t number,
                            const routing_query& query,
                            time_point now);
  void RequestAdapter(const endpoint_entry& entry,
                      const routing_query& query,
                      time_point now);
  double MeanLoad(const pool& members) const;

  zone_id zone_;
  random_engine random_;
  routing_limits limits_;
  std::vector<endpoint_entry> endpoints_;
  std::unordered_map<endpoint_id, uint32_t> numbers_;
  std::vector<pool> pools_;
  std::unordered_map<model_id, uint32_t> model_pools_;
  std::unordered_map<service_id, uint32_t> service_pools_;
  std::set<vm_id> listed_vms_;
  std::set<vm_id> leaving_vms_;
  std::set<vm_id> removed_vms_;
  prefix_index prefixes_;
  std::vector<adapter_need> adapter_needs_;
  // Time at which each adapter may be requested again.
  std::unordered_map<adapter_id, time_point> adapter_retry_at_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_ROUTING_ROUTER_STATE_H_
