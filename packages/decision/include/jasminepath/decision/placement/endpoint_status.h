#ifndef JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_
#define JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// State of a model as the engine reports it.
enum class resident_state { loading, resident, unloading };

// One model that occupies memory at an engine.
struct resident_model {
  model_id model;
  std::string version;
  resident_state state = resident_state::resident;
  // Adapters of the model that are loaded.
  std::vector<adapter_id> adapters;
  // Memory used by weights, adapters and cache reserve; 0 if the engine does
  // not report it. Placement uses this value only for a model whose size is not
  // in the configuration.
  bytes memory;

  friend bool operator==(const resident_model&,
                         const resident_model&) = default;
};

// Where an engine's VM stores a checkpoint that is not loaded.
enum class checkpoint_location { memory, disk };

// A checkpoint that an engine can load without reading from the weight store.
struct cached_checkpoint {
  model_id model;
  std::string version;
  checkpoint_location location = checkpoint_location::disk;

  friend bool operator==(const cached_checkpoint&,
                         const cached_checkpoint&) = default;
};

// Load of an endpoint. Endpoints report it with a delay.
struct endpoint_load {
  int64_t running = 0;
  int64_t waiting = 0;
  bytes cache_used;
  // Age of these values when the endpoint reported them.
  duration age = duration::zero();

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// Answer of an endpoint to one status poll. A plain service reports only its
// load and its incarnation.
struct endpoint_status {
  endpoint_id endpoint;
  // Identity of the endpoint's process; changes when it restarts.
  std::string incarnation;
  // Highest fencing number that the engine has accepted; 0 if the engine
  // ignores fencing numbers.
  epoch fence;
  std::vector<resident_model> models;
  endpoint_load load;
  std::vector<cached_checkpoint> cached;
  // Time since the poll was sent. `models` and `fence` are at most this old.
  duration age = duration::zero();

  friend bool operator==(const endpoint_status&,
                         const endpoint_status&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_
