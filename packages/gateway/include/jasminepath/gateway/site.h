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
  // A stream of events; may run again only if its route says so.
  streaming,
};

// One service that a route sends to, and how many parts of the traffic it gets.
struct weighted_service {
  service_id service;
  int64_t weight = 1;

  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

// Where the requests of one host and path prefix go, and on what terms.
struct route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  request_kind kind = request_kind::non_idempotent;
  // Longest time that a request may wait for its answer.
  duration timeout = Seconds(30);
  // Time to the answer, or to the first event, that callers are promised.
  duration objective = Seconds(1);
  // Longest pause between two events that callers are promised.
  duration pause_objective = Seconds(1);
  // Most endpoints that one request may be sent to.
  int64_t max_attempts = 1;
  // 0 is the highest.
  int64_t priority = 1;
  // Needs no key.
  bool open = false;
  // A stream that broke off may go on at another endpoint.
  bool resumable = false;
  std::vector<weighted_service> services;

  // Whether a request that may have run can be sent again.
  bool MayRepeat() const {
    return kind == request_kind::idempotent ||
           (kind == request_kind::streaming && resumable);
  }

  friend bool operator==(const route&, const route&) = default;
};

// A model that the engines of a service can load.
struct model_spec {
  model_id model;
  // Memory of the weights, and of each adapter, in MB.
  int64_t weight_mb = 0;
  int64_t adapter_mb = 0;
  // Time to load from the weight store, the engine's disk and its memory.
  duration store_load = Seconds(10);
  duration disk_load = Seconds(1);
  duration memory_load = Seconds(1);

  friend bool operator==(const model_spec&, const model_spec&) = default;
};

// What the engines of a model service have in common.
struct engine_spec {
  // Memory for weights and adapters, in MB.
  int64_t weight_mb = 0;
  int64_t adapter_slots = 0;
  // Loads from the weight store that may begin, over all engines.
  double loads_per_second = 1;
  std::vector<model_spec> models;

  const model_spec* FindModel(const model_id& model) const;

  friend bool operator==(const engine_spec&, const engine_spec&) = default;
};

// A service that routes send to.
struct service_spec {
  service_id service;
  // Set for services whose endpoints run models.
  std::optional<engine_spec> engine;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

// A customer organisation: its keys and its rate over all nodes together.
struct team {
  team_id id;
  std::vector<std::string> keys;
  // Tokens per second, and tokens at once; 0 means no limit.
  int64_t rate_per_second = 0;
  int64_t burst = 0;
  // What a request counts that does not say its tokens.
  int64_t plain_tokens = 1;
  // Replaces the priority of the route.
  std::optional<int64_t> priority;

  friend bool operator==(const team&, const team&) = default;
};

// One version of everything that operators publish. Immutable.
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

  // The route of that host whose prefix begins the path and is the longest, or
  // null.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  // The team that holds the key, or null.
  const team* FindTeam(std::string_view key) const;
  const service_spec* FindService(const service_id& service) const;

  friend bool operator==(const site&, const site&) = default;

 private:
  int64_t version_;
  std::vector<route> routes_;
  std::vector<service_spec> services_;
  std::vector<team> teams_;
  http::server_limits limits_;
  // Index of the routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> team_by_key_;
};

using site_pointer = std::shared_ptr<const site>;

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SITE_H_
