#ifndef JASMINEPATH_CONFIG_CONFIGURATION_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::config {

// A team and its share of the fleet. `rate_per_second` and `burst` are in
// tokens, counted over all VMs together.
struct team {
  team_id id;
  tokens rate_per_second;
  tokens burst;
  // Relative weight in fair queues; 1 or more.
  int64_t weight = 1;

  friend bool operator==(const team&, const team&) = default;
};

// What a service runs on.
enum class service_kind {
  model,  // Model engines behind the chat-completions API.
  plain,  // An HTTP service that is relayed as it is.
};

// One endpoint of a service: a process on an endpoint VM.
struct endpoint {
  endpoint_id id;
  vm_id vm;
  zone_id zone;
  // "ip:port"; plain HTTP.
  std::string address;
  // Room for weights, adapters and cache; 0 for plain services.
  bytes memory;
  int64_t accelerators = 0;
  // Whether the endpoint refuses an order with an old epoch.
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
  // Memory that a replica keeps for its KV cache.
  bytes cache_reserve;
  // Time of one load from the remote weight store at full speed.
  duration remote_load = Seconds(60);
  // Time of one load from the VM's own disk, and from its memory.
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
  // The path starts with this.
  std::string path_prefix;
  // Whether a call may be sent a second time.
  bool idempotent = false;
  // Open to all: no key is asked for.
  bool open = false;
  // Tokens that one call takes from the team's rate.
  tokens cost = tokens(1);
  duration deadline = Seconds(10);

  friend bool operator==(const route&, const route&) = default;
};

// One published service.
struct service {
  service_id id;
  service_kind kind = service_kind::plain;
  // Teams that may call it; empty means every team.
  std::vector<team_id> teams;
  std::vector<endpoint> endpoints;
  // Model services only.
  std::vector<model> models;
  duration deadline = Seconds(60);
  // Calls one endpoint runs at a time before it counts as full.
  int64_t endpoint_concurrency = 32;
  // Waiting calls allowed for each model or plain service on one node.
  int64_t queue_limit = 256;
  // 0 is the highest.
  int64_t priority = 1;
  // Plain services only.
  std::vector<route> routes;

  friend bool operator==(const service&, const service&) = default;
};

// A service-level objective of a team and service.
struct objective {
  team_id team;
  service_id service;
  // Share of calls that must be good, for example 0.99.
  double target = 0.99;
  // A call is good when it is served and its first byte comes within this.
  duration first_byte = Seconds(10);

  friend bool operator==(const objective&, const objective&) = default;
};

// What the site holds dear; drives the keep-warm policy.
struct site_weights {
  // Price of one second that a caller waits for a cold start.
  double cold_start_second = 1.0;
  // Price of one hour that an accelerator holds an idle replica.
  double idle_accelerator_hour = 1.0;

  friend bool operator==(const site_weights&, const site_weights&) = default;
};

// Limits of the shared weight store, over the whole fleet.
struct weight_store {
  // Model loads that run at full speed together.
  int64_t full_speed_loads = 4;
  // Adapter loads that run at full speed together.
  int64_t full_speed_adapter_loads = 32;
  double loads_per_second = 1.5;

  friend bool operator==(const weight_store&, const weight_store&) = default;
};

// Everything that operators published, checked and compiled: the unit that is
// in force on a node. Immutable after it was built; its revision only rises.
struct configuration {
  // Table version of the commit; 0 while nothing is published.
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
