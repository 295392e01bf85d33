#ifndef JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_
#define JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// What a model costs an engine in memory and in loading time.
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

// How an engine stand-in behaves.
struct engine_options {
  listen_options listen;
  int64_t memory_bytes = 80'000'000'000;
  // Models with costs of their own; any other costs `default_model`.
  std::vector<engine_model> models;
  engine_model default_model;
  // Models that are resident from the start, as version "1".
  std::vector<std::string> resident;
  // Models whose checkpoints are on the VM's disk from the start.
  std::vector<std::string> cached_on_disk;
  // Whether orders below the highest epoch seen are refused.
  bool honours_fencing = true;
  // The engine's process ends on a crash instead of restarting in itself.
  bool exit_on_crash = false;
  duration restart_time = Milliseconds(300);
  duration first_token = Milliseconds(20);
  duration per_token = Milliseconds(5);
  int max_running = 512;
  // How far the load report and the cache events lag.
  duration load_lag = Milliseconds(200);
  duration event_lag = Milliseconds(200);
  // Every so many cache events one is lost; 0 for none.
  int64_t event_gap_every = 7;
  int64_t cache_bytes = 2'000'000'000;
  // The platform stand-in whose weight store remote loads use; empty for the
  // engine's own times.
  std::string store_host;
  uint16_t store_port = 0;
};

// Parses {"models":[{"model","weights_bytes","adapter_bytes","memory_ms",
// "disk_ms","remote_ms","adapter_ms"}]}; a field left out has its default. The
// error says what is wrong.
result<std::vector<engine_model>, std::string> ParseEngineModels(
    const std::string& json);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_ENGINE_OPTIONS_H_
