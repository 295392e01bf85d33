#ifndef JASMINEPATH_GATEWAY_SITE_H_
#define JASMINEPATH_GATEWAY_SITE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/http/server.h"

namespace jasminepath::gateway {

// Whether a request may run more than once.
enum class request_kind {
  idempotent,
  non_idempotent,
  // An event stream. It may run again only if its route is resumable.
  streaming,
};

// A service that a route sends requests to, with its share of the traffic.
struct weighted_service {
  service_id service;
  int64_t weight = 1;

  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

// Destination and rules for the requests of one host and path prefix.
struct route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  request_kind kind = request_kind::non_idempotent;
  // Maximum time from the arrival of a request until its answer.
  duration timeout = Seconds(30);
  // Service level objective: time to the answer, or to the first event of a
  // stream.
  duration objective = Seconds(1);
  // Service level objective: maximum pause between two events of a stream.
  duration pause_objective = Seconds(1);
  // Maximum number of endpoints that may run one request.
  int64_t max_attempts = 1;
  // 0 is the highest priority.
  int64_t priority = 1;
  // Requests need no API key.
  bool open = false;
  // An interrupted stream may be resumed at another endpoint.
  bool resumable = false;
  std::vector<weighted_service> services;

  // Whether a request that may have been run can be sent again.
  bool IsRepeatable() const {
    return kind == request_kind::idempotent ||
           (kind == request_kind::streaming && resumable);
  }

  friend bool operator==(const route&, const route&) = default;
};

// A model that the engines of a service can load.
struct model_spec {
  model_id model;
  // Memory for the weights and for each adapter, in MB.
  int64_t weight_mb = 0;
  int64_t adapter_mb = 0;
  // Load times from the weight store, from the engine's disk and from its
  // memory.
  duration store_load = Seconds(10);
  duration disk_load = Seconds(1);
  duration memory_load = Seconds(1);

  friend bool operator==(const model_spec&, const model_spec&) = default;
};

// Properties that all engines of a service share.
struct engine_spec {
  // Memory for weights and adapters, in MB.
  int64_t weight_mb = 0;
  int64_t adapter_slots = 0;
  // Loads from the weight store that may begin per second, over all engines.
  double loads_per_second = 1;
  std::vector<model_spec> models;

  const model_spec* FindModel(const model_id& model) const;

  friend bool operator==(const engine_spec&, const engine_spec&) = default;
};

// A service that is the destination of routes.
struct service_spec {
  service_id service;
  // Set if the endpoints of the service run models.
  std::optional<engine_spec> engine;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

// A customer organisation: its API keys and its rate across all nodes.
struct team {
  team_id id;
  std::vector<std::string> keys;
  // Rate in tokens per second and burst in tokens. A rate of 0 means no limit;
  // a burst of 0 means the tokens of one second.
  int64_t rate_per_second = 0;
  int64_t burst = 0;
  // Tokens charged for a request that does not state its size.
  int64_t default_request_tokens = 1;
  // If set, replaces the priority of the route.
  std::optional<int64_t> priority;

  friend bool operator==(const team&, const team&) = default;
};

// One version of the configuration that operators publish. Immutable.
class site {
 public:
  site(int64_t version,
       std::vector<route> routes,
       std::vector<service_spec> services,
       std::vector<team> teams,
       http::server_limits limits);

  int64_t version() const { return version_; }
  const std::vector<route>& routes() const { return routes_; }
  const std::vector<service_spec>& services() const { return services_; }
  const std::vector<team>& teams() const { return teams_; }
  const http::server_limits& limits() const { return limits_; }

  // The route of the host with the longest prefix of `path`, or null.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  // The team that owns the key, or null.
  const team* FindTeam(std::string_view key) const;
  const service_spec* FindService(const service_id& service) const;

  friend bool operator==(const site&, const site&) = default;

 private:
  int64_t version_;
  std::vector<route> routes_;
  std::vector<service_spec> services_;
  std::vector<team> teams_;
  http::server_limits limits_;
  // Indexes of each host's routes, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> team_by_key_;
};

using site_pointer = std::shared_ptr<const site>;

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SITE_H_
