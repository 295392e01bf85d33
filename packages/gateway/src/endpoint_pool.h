#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_list.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/decision/routing/endpoint_health.h"
#include "jasminepath/decision/routing/routing_choice.h"
#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/site.h"
#include "jasminepath/http/client.h"
#include "software_versions.h"

namespace jasminepath::gateway {

// Requirements of a request on its endpoint.
struct endpoint_query {
  service_id service;
  model_id model;
  adapter_id adapter;
  // Stable hash of the prompt parts that requests share, so that they benefit
  // from the same engine's cache; 0 if there are none.
  uint64_t affinity = 0;
  // Prompt tokens that the preferred engine has in its cache.
  int64_t shared_tokens = 0;
  // Hash that differs between requests, so that concurrent requests, and nodes
  // with the same load information, do not all choose the same endpoint.
  uint64_t tie_break_seed = 0;
  // Set if only endpoints of this version can continue the stream.
  std::optional<software_version> version;
  // Endpoints that recently failed this request.
  std::vector<endpoint_id> avoid;

  friend bool operator==(const endpoint_query&,
                         const endpoint_query&) = default;
};

// Time of the last notice of the placement authority for each model or adapter.
using notice_times = std::map<std::pair<model_id, adapter_id>, time_point>;

// This node's view of one endpoint.
struct pooled_endpoint {
  endpoint_entry entry;
  std::unique_ptr<http::client> client;
  decision::endpoint_health health;
  // Requests that run at the endpoint, of this node and of its peers.
  int64_t running = 0;
  int64_t running_from_peers = 0;
  // Running requests of this node by model.
  std::map<model_id, int64_t> running_by_model;
  // A connection attempt failed; the endpoint is not used before this time.
  time_point unreachable_until{};
  // Models and adapters that are being unloaded, until the entry shows it.
  notice_times closing_notices;
  // Models and adapters announced as ready before the entry shows them.
  notice_times ready_notices;

  int64_t total_running() const { return running + running_from_peers; }
};

// How long an entry that disappears at `now` is kept. `store_failed_at` is the
// end of the last failed store call: entries that expire during an outage of
// the store come back after it.
duration MissingEntryGrace(time_point store_failed_at, time_point now);

// Reason why no endpoint was picked.
enum class pick_miss {
  none,         // An endpoint was picked.
  no_endpoint,  // The service has no usable endpoint.
  not_loaded,   // No usable endpoint has the model or adapter ready.
  full,         // All suitable endpoints are full.
  no_version,   // Only endpoints of other versions take requests.
};

// The listed endpoints, with their connections, load and health. Picks an
// endpoint for each attempt. Runs on the event loop.
class endpoint_pool {
 public:
  endpoint_pool(http::event_loop& loop, zone_id zone);

  // Applies changes of the endpoint list. Removed endpoints are kept for
  // `grace`, in which their entries may come back.
  void Apply(const endpoint_changes& changes, duration grace, time_point now);
  void OnNotice(const load_notice& notice, time_point now);
  void OnDigest(const peer_digest& digest);
  void ForgetPeer(const vm_id& node);
  // Removes endpoints whose entries have not come back within their grace
  // period.
  void DropMissing(time_point now);

  struct choice {
    std::shared_ptr<pooled_endpoint> endpoint;
    pick_miss miss = pick_miss::no_endpoint;
  };
  choice Pick(const endpoint_query& query, time_point now);

  // Records the start and the end of an attempt.
  void Begin(pooled_endpoint& endpoint, const model_id& model);
  void End(pooled_endpoint& endpoint,
           const model_id& model,
           decision::attempt_end end,
           time_point now);
  // The endpoint answered that it does not hold the model or adapter.
  void OnNotHeld(pooled_endpoint& endpoint,
                 const model_id& model,
                 const adapter_id& adapter,
                 time_point now);

  std::shared_ptr<pooled_endpoint> Find(const endpoint_id& id) const;
  const software_versions& versions() const { return versions_; }
  software_versions& versions() { return versions_; }
  // Entries of all endpoints that are currently listed.
  std::vector<endpoint_entry> Entries() const;
  // Running requests of this node by endpoint and model.
  std::vector<endpoint_usage> Running() const;
  // Endpoints that this node currently cannot connect to.
  std::vector<endpoint_id> Unreachable(time_point now) const;
  std::size_t opened_connections() const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  // Whether the endpoint's entry or a notice lists the model.
  static bool HasModel(const pooled_endpoint& endpoint,
                       const model_id& model,
                       time_point now);
  // Whether the endpoint is ready for the query's model and adapter.
  static bool IsReadyFor(const pooled_endpoint& endpoint,
                         const endpoint_query& query,
                         time_point now);
  // Expected cost of the endpoint for the request, in running requests.
  double Score(const pooled_endpoint& endpoint,
               const endpoint_query& query,
               bool preferred) const;

  using endpoint_pointer = std::shared_ptr<pooled_endpoint>;

  void AddOrUpdate(const endpoint_entry& entry, time_point now);
  void Remove(const endpoint_id& id, time_point now);
  // Subtracts the running requests that the peer has reported.
  void RemovePeerUsage(const vm_id& node);
  // Available endpoints that are ready for the query.
  std::vector<endpoint_pointer> FindReady(const endpoint_query& query,
                                          time_point now);
  // Filters `ids` by the same rule, and erases endpoints from it that no longer
  // hold the model.
  std::vector<endpoint_pointer> FilterReady(std::set<endpoint_id>& ids,
                                            const endpoint_query& query,
                                            time_point now);

  http::event_loop& loop_;
  zone_id zone_;
  decision::routing_limits limits_;
  std::map<endpoint_id, endpoint_pointer> endpoints_;
  // Endpoints missing from the list, and when their grace period ends.
  std::map<endpoint_id, time_point> missing_;
  std::map<service_id, std::set<endpoint_id>> by_service_;
  // Endpoints that hold or held a model, according to entries and notices.
  // Outdated items are erased on lookup.
  std::map<model_id, std::set<endpoint_id>> by_model_;
  // Running requests that each peer reported last.
  std::map<vm_id, std::vector<std::pair<endpoint_pointer, int64_t>>>
      usage_by_peer_;
  software_versions versions_;
  std::size_t opened_by_removed_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_
