#ifndef JASMINEPATH_ENDPOINT_ENGINE_TYPES_H_
#define JASMINEPATH_ENDPOINT_ENGINE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::endpoint {

// State of a model on an engine.
enum class resident_state { loading, resident, unloading };

// One model that occupies memory on an engine.
struct resident_model {
  model_id model;
  std::string version;
  resident_state state = resident_state::loading;
  // Adapters that are resident on this model.
  std::vector<adapter_id> adapters;

  friend bool operator==(const resident_model&,
                         const resident_model&) = default;
};

// The load that an engine reported `age` ago.
struct engine_load {
  int64_t running = 0;
  int64_t waiting = 0;
  bytes cache_used;
  duration age{};

  friend bool operator==(const engine_load&, const engine_load&) = default;
};

// Answer of GET /engine/status.
struct engine_status {
  // Identifies this run of the engine; a different value means that the engine
  // has restarted and holds nothing that it held before.
  std::string incarnation;
  // Highest epoch seen; an engine that honours fencing refuses lower ones.
  epoch fence;
  bytes memory;
  bytes memory_used;
  std::vector<resident_model> models;
  engine_load load;
  // Checkpoints cached on the engine's VM, by level.
  std::vector<model_id> cached_in_memory;
  std::vector<model_id> cached_on_disk;

  friend bool operator==(const engine_status&, const engine_status&) = default;
};

// The action that an order requests. `fence` only raises the highest epoch
// seen.
enum class order_action {
  fence,
  load_model,
  unload_model,
  load_adapter,
  unload_adapter,
};

// The source from which an engine loads a checkpoint.
enum class load_source { memory, disk, remote };

// Body of POST /engine/orders. Orders are idempotent by `id`.
struct engine_order {
  std::string id;
  epoch fence;
  order_action action = order_action::load_model;
  model_id model;
  std::string version;
  // Empty for orders about a model.
  adapter_id adapter;
  load_source source = load_source::remote;

  friend bool operator==(const engine_order&, const engine_order&) = default;
};

// An engine's reply to an order.
enum class order_verdict {
  accepted,
  stale_epoch,  // The engine has seen a higher epoch.
  no_memory,
  rejected,  // Malformed, or refers to something that does not exist.
};

// Answer of POST /engine/orders.
struct order_answer {
  order_verdict verdict = order_verdict::rejected;
  // The engine's highest epoch; set with `stale_epoch`.
  epoch fence;
  // The body of the engine's answer; set with `rejected` and `no_memory`.
  std::string detail;

  friend bool operator==(const order_answer&, const order_answer&) = default;
};

// Whether a prefix entered or left an engine's prompt cache.
enum class cache_event_kind { stored, evicted };

// One event of an engine's prompt cache. Events can be delayed or lost; a lost
// event shows as a gap in `sequence`.
struct cache_event {
  int64_t sequence = 0;
  cache_event_kind kind = cache_event_kind::stored;
  model_id model;
  // Hexadecimal hash of the prefix, stable across processes.
  std::string prefix;

  friend bool operator==(const cache_event&, const cache_event&) = default;
};

// Answer of GET /engine/events.
struct cache_event_page {
  std::string incarnation;
  // The value of `after` for the next request.
  int64_t last = 0;
  std::vector<cache_event> events;

  friend bool operator==(const cache_event_page&,
                         const cache_event_page&) = default;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_ENGINE_TYPES_H_
