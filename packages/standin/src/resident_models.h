#ifndef JASMINEPATH_STANDIN_RESIDENT_MODELS_H_
#define JASMINEPATH_STANDIN_RESIDENT_MODELS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/standin/engine_options.h"
#include "json_text.h"

namespace jasminepath::standin {

enum class order_kind {
  fence,  // Only raises the highest epoch received.
  load_model,
  unload_model,
  load_adapter,
  unload_adapter,
};

// The place from which a checkpoint is loaded.
enum class checkpoint_source { memory, disk, remote };

// One order as it was received.
struct received_order {
  std::string id;
  int64_t epoch = 0;
  order_kind kind = order_kind::load_model;
  std::string model;
  std::string version;
  std::string adapter;
  checkpoint_source source = checkpoint_source::remote;
  // Overrides the configured load time.
  std::optional<duration> load_time;

  friend bool operator==(const received_order&,
                         const received_order&) = default;
};

// Parses an order. Throws Poco::Exception if it is malformed.
received_order ParseOrder(const json_object& body);

// The answer of an engine to an order.
enum class order_result {
  accepted,
  stale_epoch,
  no_memory,
  no_such_model,
  unloading,  // The model is being unloaded and cannot be loaded yet.
};

// A model or adapter that an engine is loading.
struct pending_load {
  std::string id;
  std::string model;
  std::string version;
  // Empty for a model.
  std::string adapter;
  // The time of completion; nothing if the weight store determines it.
  std::optional<time_point> done_at;
  // The load time at full speed.
  duration full_speed{};
  // The time at which the engine crashes during the load, if it does.
  std::optional<time_point> crash_at;

  friend bool operator==(const pending_load&, const pending_load&) = default;
};

// The models, adapters, memory and fence of one run of an engine. A crash
// replaces the object by a new one. Not thread-safe.
class resident_models {
 public:
  resident_models(const engine_options& options, std::string incarnation);

  // Checks an order and begins its execution. With `should_crash`, the engine
  // crashes halfway through a model load that the order begins.
  order_result HandleOrder(const received_order& order,
                           bool should_crash,
                           time_point now);

  // Completes all loads and unloads that are due. False if the engine crashes.
  bool Advance(time_point now);
  // Loads whose completion the weight store determines.
  std::vector<pending_load> PendingStoreLoads() const;
  void CompleteStoreLoad(const std::string& id);

  // True if the model, and the adapter unless empty, is resident.
  bool CanRun(const std::string& model, const std::string& adapter) const;

  // Sets "incarnation", "fence", "memory_bytes", "memory_used" and "models".
  void Describe(json_object& status) const;

  int64_t fence() const { return fence_; }
  // The number of orders that were refused because memory was insufficient.
  int64_t overcommits() const { return overcommits_; }
  // Checkpoints that this run has loaded; they stay in the VM's memory.
  const std::set<std::string>& cached_in_memory() const {
    return cached_in_memory_;
  }
  // Checkpoints that this run loaded from the remote store.
  const std::set<std::string>& fetched() const { return fetched_; }

 private:
  struct resident_key {
    std::string model;
    std::string version;
    friend auto operator<=>(const resident_key&, const resident_key&) = default;
  };
  enum class state { loading, resident, unloading };
  struct resident_model {
    state at = state::loading;
    int64_t bytes = 0;
    std::set<std::string> adapters;
    time_point gone_at{};
  };

  const engine_model& CostOf(const std::string& model) const;
  // True if the bytes fit into the free memory; counts an overcommit if not.
  bool HasMemoryFor(int64_t more_bytes);
  order_result LoadModel(const received_order& order,
                         bool should_crash,
                         time_point now);
  order_result UnloadModel(const received_order& order, time_point now);
  order_result LoadAdapter(const received_order& order, time_point now);
  order_result UnloadAdapter(const received_order& order);
  pending_load PlanLoad(const received_order& order, time_point now) const;
  void CompleteLoad(const pending_load& load);
  int64_t MemoryUsed() const;

  const engine_options& options_;
  std::string incarnation_;
  int64_t fence_ = 0;
  int64_t overcommits_ = 0;
  std::map<resident_key, resident_model> models_;
  std::vector<pending_load> loads_;
  std::map<std::string, order_result> order_outcomes_;
  std::set<std::string> cached_in_memory_;
  std::set<std::string> fetched_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_RESIDENT_MODELS_H_
