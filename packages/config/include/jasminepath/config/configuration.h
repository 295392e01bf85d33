#ifndef JASMINEPATH_CONFIG_CONFIGURATION_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::config {

// A team and its rate limit. `rate_per_second` and `burst` are in tokens and
// apply to the sum over all VMs.
struct team {
  team_id id;
  tokens rate_per_second;
  tokens burst;
  // Relative weight in fair queues; at least 1.
  int64_t weight = 1;

  friend bool operator==(const team&, const team&) = default;
};

// What kind of back end a service has.
enum class service_kind {
  model,  // Model engines behind the chat-completions API.
  plain,  // An HTTP service whose calls are relayed unchanged.
};

// One endpoint of a service: a process on an endpoint VM.
struct endpoint {
  endpoint_id id;
  vm_id vm;
  zone_id zone;
  // "ip:port"; plain HTTP.
  std::string address;
  // Memory for weights, adapters and KV cache; 0 for plain services.
  bytes memory;
  int64_t accelerators = 0;
  // Whether the endpoint refuses orders with a stale epoch.
  bool honours_fencing = false;

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// An adapter of a model.
struct adapter {
  adapter_id id;
  bytes size;

  friend bool operator==(const adapter&, const adapter&) = default;
};

// A model that engines can load.
struct model {
  model_id id;
  std::string version;
  bytes weights;
  // Memory that a replica reserves for its KV cache.
  bytes cache_reserve;
  // Duration of one load from the remote weight store at full speed.
  duration remote_load = Seconds(60);
  // Durations of one load from the VM's local disk and from its memory.
  duration disk_load = Seconds(20);
  duration memory_load = Seconds(3);
  int64_t max_replicas = 1;
  std::vector<adapter> adapters;

  friend bool operator==(const model&, const model&) = default;
};

// An HTTP route of a plain service.
struct route {
  // Upper-case HTTP method.
  std::string method;
  // The route matches paths that start with this prefix.
  std::string path_prefix;
  // Whether a call may be retried after it was sent.
  bool idempotent = false;
  // Whether the route needs no team key.
  bool open = false;
  // Tokens that one call consumes from the team's rate.
  tokens cost = tokens(1);
  duration deadline = Seconds(10);

  friend bool operator==(const route&, const route&) = default;
};

// One published service.
struct service {
  service_id id;
  service_kind kind = service_kind::plain;
  // Teams that may call the service; empty means every team.
  std::vector<team_id> teams;
  std::vector<endpoint> endpoints;
  // Used by model services only.
  std::vector<model> models;
  duration deadline = Seconds(60);
  // Maximum concurrent calls on one endpoint.
  int64_t endpoint_concurrency = 32;
  // Maximum queued calls for each model or plain service on one node.
  int64_t queue_limit = 256;
  // 0 is the highest priority.
  int64_t priority = 1;
  // Used by plain services only.
  std::vector<route> routes;

  friend bool operator==(const service&, const service&) = default;
};

// A service-level objective for the calls of one team to one service.
struct objective {
  team_id team;
  service_id service;
  // Fraction of calls that must be good, for example 0.99.
  double target = 0.99;
  // A call is good if it is served and its time to first byte is at most this.
  duration first_byte = Seconds(10);

  friend bool operator==(const objective&, const objective&) = default;
};

// Relative costs that the keep-warm policy weighs against each other.
struct site_weights {
  // Cost of one second that a caller waits for a cold start.
  double cold_start_second = 1.0;
  // Cost of one hour during which an accelerator holds an idle replica.
  double idle_accelerator_hour = 1.0;

  friend bool operator==(const site_weights&, const site_weights&) = default;
};

// Fleet-wide limits of the shared weight store.
struct weight_store {
  // Maximum concurrent model loads at full speed.
  int64_t full_speed_loads = 4;
  // Maximum concurrent adapter loads at full speed.
  int64_t full_speed_adapter_loads = 32;
  double loads_per_second = 1.5;

  friend bool operator==(const weight_store&, const weight_store&) = default;
};

// The complete published configuration, checked and compiled. A node always has
// exactly one configuration in force. Immutable once built; each later
// configuration has a higher revision.
struct configuration {
  // Table version of the commit; 0 while no configuration is published.
  revision version;
  std::string site;
  std::vector<team> teams;
  std::vector<service> services;
  std::vector<objective> objectives;
  site_weights weights;
  weight_store store;

  friend bool operator==(const configuration&, const configuration&) = default;
};

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_CONFIGURATION_H_
