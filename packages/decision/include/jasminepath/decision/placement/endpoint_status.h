#ifndef JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_
#define JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// State of a model at an engine, as the engine reports it.
enum class resident_state { loading, resident, unloading };

// One model that takes memory at an engine.
struct resident_model {
  model_id model;
  std::string version;
  resident_state state = resident_state::resident;
  // Adapters that are loaded on top of it.
  std::vector<adapter_id> adapters;
  // Memory taken by weights, adapters and cache reserve; 0 when the engine
  // does not say, and the configuration's figures count.
  bytes memory;

  friend bool operator==(const resident_model&,
                         const resident_model&) = default;
};

// Where an engine's VM keeps a checkpoint that is not loaded.
enum class checkpoint_location { memory, disk };

// A checkpoint that an engine can load without the weight store.
struct cached_checkpoint {
  model_id model;
  std::string version;
  checkpoint_location location = checkpoint_location::disk;

  friend bool operator==(const cached_checkpoint&,
                         const cached_checkpoint&) = default;
};

// Load of an endpoint, which it reports with a lag.
struct endpoint_load {
  int64_t running = 0;
  int64_t waiting = 0;
  bytes cache_used;
  // How old the figures were when the endpoint reported them.
  duration age = duration::zero();

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// One answer of an endpoint to a status poll. A plain service has a load and
// an incarnation only.
struct endpoint_status {
  endpoint_id endpoint;
  // Identity of the endpoint's process; changes when it restarts.
  std::string incarnation;
  // Highest fencing number that the engine has accepted; 0 if it ignores them.
  epoch fence;
  std::vector<resident_model> models;
  endpoint_load load;
  std::vector<cached_checkpoint> cached;
  // Time since the poll was sent: `models` and `fence` are no older.
  duration age = duration::zero();

  friend bool operator==(const endpoint_status&,
                         const endpoint_status&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_ENDPOINT_STATUS_H_
