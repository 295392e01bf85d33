#ifndef JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_
#define JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// A model that an engine holds ready, with the adapters loaded beside it.
struct resident_model {
  model_id model;
  int64_t version = 0;
  std::vector<adapter_id> adapters;

  friend bool operator==(const resident_model&,
                         const resident_model&) = default;
};

// What an endpoint says of itself in the list of endpoints.
struct endpoint_entry {
  endpoint_id id;
  service_id service;
  // IP:PORT.
  std::string address;
  zone_id zone;
  int64_t slots = 1;
  // Gets no new work; it finishes what it has.
  bool draining = false;
  // Time until it is gone, if it leaves at short notice.
  std::optional<duration> leaves_in;
  // When its process started, in Unix milliseconds: tells incarnations apart
  // that have the same id.
  int64_t started_at_ms = 0;
  std::vector<resident_model> models;
  // Models it has copies of, in memory and on disk.
  std::vector<model_id> in_memory;
  std::vector<model_id> on_disk;

  friend bool operator==(const endpoint_entry&,
                         const endpoint_entry&) = default;
};

// How the list of endpoints differs from what it was before.
struct endpoint_changes {
  // Entries that are new or have changed.
  std::vector<endpoint_entry> listed;
  // Those that are gone, or whose entry cannot be read any more.
  std::vector<endpoint_id> removed;

  friend bool operator==(const endpoint_changes&,
                         const endpoint_changes&) = default;
};

// What an engine answers when it is asked for its state.
struct engine_report {
  // Carries out an order.
  bool busy = false;
  int64_t started_at_ms = 0;
  // Orders it has accepted since it started.
  int64_t order_count = 0;
  std::vector<resident_model> models;
  std::vector<model_id> in_memory;
  std::vector<model_id> on_disk;

  friend bool operator==(const engine_report&, const engine_report&) = default;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_ENDPOINT_ENTRY_H_
