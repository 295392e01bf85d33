#ifndef JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_
#define JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// The memory use and loading times of a model on an engine.
struct engine_model {
  std::string model;
  int64_t weights_bytes = 1'000'000'000;
  int64_t adapter_bytes = 10'000'000;
  duration load_from_memory = Milliseconds(50);
  duration load_from_disk = Milliseconds(200);
  duration load_from_remote = Milliseconds(600);
  duration load_adapter = Milliseconds(5);

  friend bool operator==(const engine_model&, const engine_model&) = default;
};

// Settings of an engine stand-in.
struct engine_options {
  listen_options listen;
  int64_t memory_bytes = 80'000'000'000;
  // Models with specific costs; all others have the costs of `default_model`.
  std::vector<engine_model> models;
  engine_model default_model;
  // Models that are resident at the start, as version "1".
  std::vector<std::string> resident;
  // Models whose checkpoints are on the VM's disk at the start.
  std::vector<std::string> cached_on_disk;
  // Refuse orders with an epoch below the highest epoch received.
  bool honours_fencing = true;
  // End the process on a crash instead of simulating a restart in the process.
  bool exit_on_crash = false;
  duration restart_time = Milliseconds(300);
  duration first_token = Milliseconds(20);
  duration per_token = Milliseconds(5);
  int max_running = 512;
  // The delays of the load report and of the cache events.
  duration load_lag = Milliseconds(200);
  duration event_lag = Milliseconds(200);
  // One of this many cache events is lost; 0 for none.
  int64_t event_gap_every = 7;
  int64_t cache_bytes = 2'000'000'000;
  // The platform stand-in whose weight store determines the time of remote
  // loads. If empty, remote loads take `load_from_remote`.
  std::string store_host;
  uint16_t store_port = 0;
};

// Parses {"models":[{"model","weights_bytes","adapter_bytes","memory_ms",
// "disk_ms","remote_ms","adapter_ms"}]}. A missing field has its default,
// except "model", which is required. The error is a description for the user.
result<std::vector<engine_model>, std::string> ParseEngineModels(
    const std::string& json);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_
