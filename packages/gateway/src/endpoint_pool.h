#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
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

namespace jasminepath::gateway {

// What a request needs of an endpoint.
struct endpoint_query {
  service_id service;
  model_id model;
  adapter_id adapter;
  // Stable hash of what requests share that gain from the same engine; 0 if
  // nothing.
  uint64_t affinity = 0;
  // Tokens of the prompt that such an engine does not have to read again.
  int64_t shared_tokens = 0;
  // Differs between requests, so that those that come at once, and nodes that
  // know the same load, do not all choose the same endpoint.
  uint64_t spread = 0;
  // Endpoints that have just failed this request.
  std::vector<endpoint_id> avoid;

  friend bool operator==(const endpoint_query&,
                         const endpoint_query&) = default;
};

// When the placement authority said something of a model or adapter.
using notice_times = std::map<std::pair<model_id, adapter_id>, time_point>;

// One endpoint as this node sees it.
struct pooled_endpoint {
  endpoint_entry entry;
  std::unique_ptr<http::client> client;
  decision::endpoint_health health;
  // Requests of this node and of its peers that run there.
  int64_t running = 0;
  int64_t running_of_peers = 0;
  // Those of this node by model.
  std::map<model_id, int64_t> running_by_model;
  // It took no connection; asked again from then on.
  time_point unreachable_until{};
  // Models and adapters about to be dropped, until the entry shows it.
  notice_times closing;
  // Models and adapters said to be ready ahead of the entry, and when.
  notice_times announced;

  int64_t total_running() const { return running + running_of_peers; }
};

// How long an entry that goes missing now is kept, if the last call that the
// store did not serve ended at `store_failed_at`: entries that lapse in an
// outage come back after it.
duration GraceForMissing(time_point store_failed_at, time_point now);

// Why no endpoint was picked.
enum class pick_miss {
  none,         // One was picked.
  no_endpoint,  // The service has no usable endpoint.
  not_loaded,   // No usable endpoint has the model or adapter ready.
  full,         // Those that could serve are full.
};

// The endpoints of the list, with their connections and what is known of their
// load and health. Picks one for each attempt. Runs on the loop.
class endpoint_pool {
 public:
  endpoint_pool(http::event_loop& loop, zone_id zone);

  // Takes what has changed in the list. Removed entries are kept for `grace`,
  // in which they may come back.
  void Apply(const endpoint_changes& changes, duration grace, time_point now);
  void OnNotice(const load_notice& notice, time_point now);
  void OnDigest(const peer_digest& digest);
  void ForgetPeer(const vm_id& node);
  // Drops endpoints that have not come back.
  void DropMissing(time_point now);

  struct choice {
    std::shared_ptr<pooled_endpoint> endpoint;
    pick_miss miss = pick_miss::no_endpoint;
  };
  choice Pick(const endpoint_query& query, time_point now);

  // An attempt begins, and ends.
  void Begin(pooled_endpoint& endpoint, const model_id& model);
  void End(pooled_endpoint& endpoint,
           const model_id& model,
           decision::attempt_end end,
           time_point now);
  // An endpoint says that it doesn't hold what it was thought to hold.
  void OnNotHeld(pooled_endpoint& endpoint,
                 const model_id& model,
                 const adapter_id& adapter,
                 time_point now);

  std::shared_ptr<pooled_endpoint> Find(const endpoint_id& id) const;
  // Entries of all endpoints that are listed.
  std::vector<endpoint_entry> Entries() const;
  // This node's requests at each endpoint, by model.
  std::vector<endpoint_use> Running() const;
  // Endpoints that take no connection now.
  std::vector<endpoint_id> Unreachable(time_point now) const;
  std::size_t opened_connections() const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  // Whether the endpoint's entry or a notice says that it has the model.
  static bool Lists(const pooled_endpoint& endpoint,
                    const model_id& model,
                    time_point now);
  // Whether it is ready for the query's model and adapter.
  static bool Holds(const pooled_endpoint& endpoint,
                    const endpoint_query& query,
                    time_point now);
  // Expected load of the endpoint for the request, in running requests.
  double Score(const pooled_endpoint& endpoint,
               const endpoint_query& query,
               bool preferred) const;

  using endpoint_pointer = std::shared_ptr<pooled_endpoint>;

  void Enlist(const endpoint_entry& entry);
  void Discard(const endpoint_id& id);
  // Takes back what a peer has said of its running requests.
  void ForgetUses(const vm_id& node);
  // Endpoints that may serve the query as far as their service and models go.
  std::vector<endpoint_pointer> Able(const endpoint_query& query,
                                     time_point now);
  // Those of `ids`, from which it drops endpoints that no longer belong there.
  std::vector<endpoint_pointer> AbleAmong(std::set<endpoint_id>& ids,
                                          const endpoint_query& query,
                                          time_point now);

  http::event_loop& loop_;
  zone_id zone_;
  decision::routing_limits limits_;
  std::map<endpoint_id, endpoint_pointer> endpoints_;
  // Those that are missing from the list, and when they count as gone.
  std::map<endpoint_id, time_point> missing_;
  std::map<service_id, std::set<endpoint_id>> by_service_;
  // Endpoints that hold a model, are said to, or did until lately.
  std::map<model_id, std::set<endpoint_id>> by_model_;
  // What each peer has last said of its running requests.
  std::map<vm_id, std::vector<std::pair<endpoint_pointer, int64_t>>>
      uses_of_peers_;
  std::size_t opened_before_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ENDPOINT_POOL_H_
