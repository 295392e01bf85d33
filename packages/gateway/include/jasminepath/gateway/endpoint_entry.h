#ifndef JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_
#define JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// A model that an engine has loaded and can serve, with its loaded adapters.
struct resident_model {
  model_id model;
  int64_t version = 0;
  std::vector<adapter_id> adapters;

  friend bool operator==(const resident_model&,
                         const resident_model&) = default;
};

// State that an endpoint publishes about itself in the endpoint list.
struct endpoint_entry {
  endpoint_id id;
  service_id service;
  // IP:PORT.
  std::string address;
  zone_id zone;
  // Endpoints of one service with different versions cannot continue each
  // other's streams.
  software_version version;
  // Maximum number of requests that run at the endpoint at a time.
  int64_t slots = 1;
  // The endpoint accepts no new requests and finishes those in progress.
  bool draining = false;
  // Time until the endpoint shuts down, if it leaves at short notice.
  std::optional<duration> leaves_in;
  // Start time of the endpoint's process, in Unix milliseconds. Distinguishes
  // incarnations that have the same id.
  int64_t started_at_ms = 0;
  std::vector<resident_model> models;
  // Models whose weights the endpoint keeps copies of, in memory and on disk.
  std::vector<model_id> in_memory;
  std::vector<model_id> on_disk;

  friend bool operator==(const endpoint_entry&,
                         const endpoint_entry&) = default;
};

// Difference between two versions of the endpoint list.
struct endpoint_changes {
  // Entries that were added or have changed.
  std::vector<endpoint_entry> listed;
  // Endpoints whose entry was removed or can no longer be decoded.
  std::vector<endpoint_id> removed;

  friend bool operator==(const endpoint_changes&,
                         const endpoint_changes&) = default;
};

// State that an engine reports on request.
struct engine_report {
  // The engine is executing an order.
  bool busy = false;
  int64_t started_at_ms = 0;
  // Number of orders that the engine has accepted since its process started.
  int64_t order_count = 0;
  std::vector<resident_model> models;
  std::vector<model_id> in_memory;
  std::vector<model_id> on_disk;

  friend bool operator==(const engine_report&, const engine_report&) = default;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_
