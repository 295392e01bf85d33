#ifndef JASMINEPATH_STANDIN_ENGINE_RESIDENTS_H_
#define JASMINEPATH_STANDIN_ENGINE_RESIDENTS_H_

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

// What an order asks for.
enum class order_kind {
  fence,  // Only raises the highest epoch seen.
  load_model,
  unload_model,
  load_adapter,
  unload_adapter,
};

// Where a checkpoint is taken from.
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
  // Replaces the time that the load would take.
  std::optional<duration> load_time;

  friend bool operator==(const received_order&,
                         const received_order&) = default;
};

// Parses an order; an exception of Poco's if it is malformed.
received_order ParseOrder(const json_object& body);

// What an engine says to an order.
enum class order_result {
  accepted,
  stale_epoch,
  no_memory,
  no_such_model,
  unloading,  // The model is on its way out and cannot be loaded yet.
};

// A model or adapter that an engine is loading.
struct pending_load {
  std::string id;
  std::string model;
  std::string version;
  // Empty for a model.
  std::string adapter;
  // When it is complete; nothing while the weight store decides.
  std::optional<time_point> done_at;
  // Time at the store's full speed, for loads that the store decides.
  duration full_speed{};
  // When the engine dies in it, if it does.
  std::optional<time_point> dies_at;

  friend bool operator==(const pending_load&, const pending_load&) = default;
};

// One run's models, adapters, memory and fence. A crash is a new object. Not
// safe from several threads.
class engine_residents {
 public:
  engine_residents(const engine_options& options, std::string incarnation);

  // Checks an order and begins what it asks for. With `dies`, a load that it
  // begins ends in a crash halfway.
  order_result Take(const received_order& order, bool dies, time_point now);

  // Completes what is due. False if the engine dies.
  bool Advance(time_point now);
  // Loads that wait for the weight store.
  std::vector<pending_load> StoreLoads() const;
  void CompleteStoreLoad(const std::string& id);

  // Whether requests for the model (and adapter, unless empty) can run.
  bool CanRun(const std::string& model, const std::string& adapter) const;

  // Sets "incarnation", "fence", "memory_bytes", "memory_used" and "models".
  void Describe(json_object& status) const;

  int64_t fence() const { return fence_; }
  // Orders that would have overcommitted the memory.
  int64_t overcommits() const { return overcommits_; }
  // Checkpoints that this run has loaded and keeps in the VM's memory.
  const std::set<std::string>& cached_in_memory() const { return cached_; }
  // Checkpoints that this run took from remote.
  const std::set<std::string>& fetched() const { return fetched_; }

 private:
  struct resident_key {
    std::string model;
    std::string version;
    friend auto operator<=>(const resident_key&, const resident_key&) = default;
  };
  enum class state { loading, resident, unloading };
  struct resident {
    state at = state::loading;
    int64_t bytes = 0;
    std::set<std::string> adapters;
    time_point gone_at{};
  };

  const engine_model& CostOf(const std::string& model) const;
  bool Fits(int64_t more_bytes);
  order_result LoadModel(const received_order& order,
                         bool dies,
                         time_point now);
  order_result UnloadModel(const received_order& order, time_point now);
  order_result LoadAdapter(const received_order& order, time_point now);
  order_result UnloadAdapter(const received_order& order);
  pending_load PlanLoad(const received_order& order, time_point now) const;
  void Complete(const pending_load& load);
  int64_t MemoryUsed() const;

  const engine_options& options_;
  std::string incarnation_;
  int64_t fence_ = 0;
  int64_t overcommits_ = 0;
  std::map<resident_key, resident> residents_;
  std::vector<pending_load> loads_;
  std::map<std::string, order_result> answered_;
  std::set<std::string> cached_;
  std::set<std::string> fetched_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_ENGINE_RESIDENTS_H_
