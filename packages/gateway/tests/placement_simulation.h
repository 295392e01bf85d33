#ifndef JASMINEPATH_GATEWAY_TESTS_PLACEMENT_SIMULATION_H_
#define JASMINEPATH_GATEWAY_TESTS_PLACEMENT_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/gateway/placement_planner.h"

namespace jasminepath::gateway {

inline const service_id kService("assistant");
inline constexpr int64_t kModelMb = 70000;
inline constexpr int64_t kAdapterMb = 60;
inline constexpr int64_t kEngineMb = 160000;
inline constexpr int64_t kAdapterSlots = 3;
inline constexpr double kLoadsPerSecond = 1.6;

inline time_point At(int64_t ms) {
  return time_point{} + Seconds(100) + Milliseconds(ms);
}

inline model_id Model(int number) {
  return model_id("m" + std::to_string(number));
}

inline engine_spec MakeSpec(int models) {
  engine_spec spec;
  spec.weight_mb = kEngineMb;
  spec.adapter_slots = kAdapterSlots;
  spec.loads_per_second = kLoadsPerSecond;
  for (int i = 0; i < models; ++i) {
    model_spec model;
    model.model = Model(i);
    model.weight_mb = kModelMb;
    model.adapter_mb = kAdapterMb;
    model.store_load = Seconds(6);
    model.disk_load = Milliseconds(440);
    model.memory_load = Milliseconds(320);
    spec.models.push_back(model);
  }
  return spec;
}

// A simulated engine: executes one order at a time, counts accepted orders, and
// publishes entries and reports with a delay. Orders may arrive late.
class simulated_engine {
 public:
  simulated_engine(int number, std::vector<model_id> residents)
      : id_("e" + std::to_string(number)) {
    for (const model_id& model : residents) {
      models_[model] = {};
      copies_.insert(model);
    }
    Publish();
  }

  const endpoint_id& id() const { return id_; }
  bool HasExceededCapacity() const { return has_exceeded_capacity_; }
  bool HasModel(const model_id& model) const { return models_.contains(model); }
  bool HasAdapter(const model_id& model, const adapter_id& adapter) const {
    const auto found = models_.find(model);
    return found != models_.end() && found->second.contains(adapter);
  }
  bool busy() const { return executing_order_.has_value(); }
  const endpoint_entry& entry() const { return published_; }

  // Appends the start times of loads from the weight store to `store_loads`.
  order_verdict HandleOrder(const engine_order& order,
                            int64_t ms,
                            std::vector<int64_t>& store_loads) {
    if (executing_order_ ||
        (order.if_order_count && *order.if_order_count != order_count_))
      return order_verdict::conflict;
    const bool present = models_.contains(order.model);
    if (!order.adapter.empty())
      return HandleAdapterOrder(order, present);
    if (present == (order.kind == order_kind::load))
      return order_verdict::already_holds;
    ++order_count_;
    int64_t time = 50;
    if (order.kind == order_kind::load) {
      const bool copied = copies_.contains(order.model);
      time = copied ? 440 : 6000;
      if (!copied)
        store_loads.push_back(ms);
      if (UsedMb() + kModelMb > kEngineMb)
        has_exceeded_capacity_ = true;
    }
    executing_order_ = {order, ms + time};
    return order_verdict::accepted;
  }

  void Advance(int64_t ms) {
    if (executing_order_ && ms >= executing_order_->second) {
      if (executing_order_->first.kind == order_kind::load) {
        models_[executing_order_->first.model] = {};
        copies_.insert(executing_order_->first.model);
      } else {
        models_.erase(executing_order_->first.model);
      }
      executing_order_.reset();
      if (publishes)
        Publish();
    }
    if (ms % 1200 == 0 && publishes)
      Publish();
    reports_.push_back({ms, MakeReport()});
    while (reports_.size() > 1 && reports_[1].first <= ms - 300)
      reports_.pop_front();
  }
  // The report from some hundred milliseconds ago.
  const engine_report& report() const { return reports_.front().second; }

  // Entries are published to the list only while this is set.
  bool publishes = true;

 private:
  order_verdict HandleAdapterOrder(const engine_order& order, bool present) {
    if (!present)
      return order_verdict::invalid;
    auto& adapters = models_[order.model];
    if (adapters.contains(order.adapter) == (order.kind == order_kind::load))
      return order_verdict::already_holds;
    ++order_count_;
    if (order.kind == order_kind::unload) {
      adapters.erase(order.adapter);
      return order_verdict::already_holds;
    }
    adapters.insert(order.adapter);
    int64_t held = 0;
    for (const auto& [model, names] : models_)
      held += static_cast<int64_t>(names.size());
    if (held > kAdapterSlots || UsedMb() > kEngineMb)
      has_exceeded_capacity_ = true;
    return order_verdict::accepted;
  }
  int64_t UsedMb() const {
    int64_t used = 0;
    for (const auto& [model, adapters] : models_)
      used += kModelMb + kAdapterMb * static_cast<int64_t>(adapters.size());
    return used;
  }
  std::vector<resident_model> Residents() const {
    std::vector<resident_model> list;
    for (const auto& [model, adapters] : models_)
      list.push_back({model, 1, {adapters.begin(), adapters.end()}});
    return list;
  }
  engine_report MakeReport() const {
    engine_report out;
    out.busy = executing_order_.has_value();
    out.started_at_ms = 1;
    out.order_count = order_count_;
    out.models = Residents();
    out.on_disk = {copies_.begin(), copies_.end()};
    return out;
  }
  void Publish() {
    published_.id = id_;
    published_.service = kService;
    published_.address = "127.0.0.1:1";
    published_.slots = 64;
    published_.started_at_ms = 1;
    published_.models = Residents();
    published_.on_disk = {copies_.begin(), copies_.end()};
  }

  endpoint_id id_;
  int64_t order_count_ = 0;
  std::map<model_id, std::set<adapter_id>> models_;
  std::set<model_id> copies_;
  // The order in progress and its end, in milliseconds.
  std::optional<std::pair<engine_order, int64_t>> executing_order_;
  endpoint_entry published_;
  std::deque<std::pair<int64_t, engine_report>> reports_;
  bool has_exceeded_capacity_ = false;
};

// Simulated engines, a planner that places models on them, and the time.
struct placement_simulation {
  placement_simulation(int engine_count, int model_count, uint32_t seed)
      : random(seed), spec(MakeSpec(model_count)), planner(kService) {
    for (int i = 0; i < engine_count; ++i)
      engines.emplace_back(
          i, std::vector<model_id>{Model((2 * i) % model_count),
                                   Model((2 * i + 1) % model_count)});
    planner.SetEngineSpec(spec);
    PublishEntries();
    planner.Begin(At(0));
  }

  void PublishEntries() {
    std::vector<endpoint_entry> entries;
    for (const simulated_engine& engine : engines)
      entries.push_back(engine.entry());
    planner.OnEndpoints(entries, At(now_ms));
  }

  // Another node becomes the holder. Its planner knows only what it can read.
  void ChangeHolder() {
    planner = placement_planner(kService);
    planner.SetEngineSpec(spec);
    PublishEntries();
    planner.Begin(At(now_ms));
    answers.clear();
  }

  // Reports demand of callers for a model or adapter.
  void ReportDemand(const model_id& model,
                    const adapter_id& adapter,
                    int64_t waiting) {
    peer_digest digest;
    digest.node = vm_id("node");
    digest.models = {{model, adapter, waiting, ++arrivals}};
    planner.OnDigest(digest, At(now_ms));
  }

  // Reports one waiting request for each of the adapters.
  void ReportAdapterDemand(const model_id& model,
                           const std::vector<adapter_id>& adapters) {
    peer_digest digest;
    digest.node = vm_id("node");
    ++arrivals;
    for (const adapter_id& adapter : adapters)
      digest.models.push_back({model, adapter, 1, arrivals});
    planner.OnDigest(digest, At(now_ms));
  }

  // Reports the running requests of each model at the first engine, and one
  // arrival of each model.
  void RunAtFirstEngine(
      const std::vector<std::pair<model_id, int64_t>>& running) {
    peer_digest digest;
    digest.node = vm_id("node");
    ++arrivals;
    for (const auto& [model, count] : running) {
      digest.models.push_back({model, {}, 0, arrivals});
      digest.endpoints.push_back({engines.front().id(), model, count});
    }
    planner.OnDigest(digest, At(now_ms));
  }

  // Two nodes report the engine as unreachable.
  void ReportUnreachable(const endpoint_id& engine) {
    for (const char* node : {"node", "other"}) {
      peer_digest digest;
      digest.node = vm_id(node);
      digest.unreachable = {engine};
      planner.OnDigest(digest, At(now_ms));
    }
  }

  // Advances the time by 10 ms.
  void Step() {
    now_ms += 10;
    for (simulated_engine& engine : engines)
      engine.Advance(now_ms);
    while (!delayed_orders.empty() && delayed_orders.front().first <= now_ms) {
      EngineOf(delayed_orders.front().second)
          .HandleOrder(delayed_orders.front().second, now_ms, store_loads);
      delayed_orders.pop_front();
    }
    if (now_ms % 50 == 0)
      PublishEntries();
    while (!answers.empty() && answers.front().at <= now_ms) {
      planner.OnOrderAnswer(answers.front().order, answers.front().verdict,
                            At(now_ms));
      answers.pop_front();
    }
    for (const engine_order& order : planner.Plan(At(now_ms)))
      Deliver(order);
    planner.TakeNotices();
    for (const endpoint_id& id : planner.TakeEnginesToQuery(At(now_ms))) {
      for (const simulated_engine& engine : engines) {
        if (engine.id() == id)
          planner.OnReport(id, engine.report(), At(now_ms));
      }
    }
  }

  void Run(int64_t ms) {
    for (const int64_t end = now_ms + ms; now_ms < end;)
      Step();
  }

  bool HasExceededCapacity() const {
    return std::any_of(engines.begin(), engines.end(), [](const auto& engine) {
      return engine.HasExceededCapacity();
    });
  }
  int64_t ReplicasOf(const model_id& model) const {
    return std::count_if(
        engines.begin(), engines.end(),
        [&](const auto& engine) { return engine.HasModel(model); });
  }
  // Maximum number of loads from the weight store that began within 5 s.
  int64_t MaxStoreLoads() const {
    int64_t highest_count = 0;
    for (const int64_t first : store_loads)
      highest_count = std::max<int64_t>(
          highest_count,
          std::count_if(
              store_loads.begin(), store_loads.end(),
              [&](int64_t ms) { return ms >= first && ms < first + 5000; }));
    return highest_count;
  }

  std::mt19937 random;
  engine_spec spec;
  std::vector<simulated_engine> engines;
  placement_planner planner;
  int64_t now_ms = 0;
  int64_t arrivals = 0;
  std::vector<int64_t> store_loads;
  int64_t orders = 0;
  // Percentage of orders that get no answer and are executed late.
  int delayed_order_percent = 0;

 private:
  struct answer {
    int64_t at;
    engine_order order;
    order_verdict verdict;
  };

  simulated_engine& EngineOf(const engine_order& order) {
    return *std::find_if(
        engines.begin(), engines.end(),
        [&](const auto& engine) { return engine.id() == order.endpoint; });
  }
  void Deliver(const engine_order& order) {
    ++orders;
    if (static_cast<int>(random() % 100) < delayed_order_percent) {
      delayed_orders.emplace_back(now_ms + 2000, order);
      answers.push_back({now_ms + 800, order, order_verdict::no_answer});
      return;
    }
    const order_verdict verdict =
        EngineOf(order).HandleOrder(order, now_ms, store_loads);
    answers.push_back({now_ms + 10, order, verdict});
  }

  std::deque<std::pair<int64_t, engine_order>> delayed_orders;
  std::deque<answer> answers;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_TESTS_PLACEMENT_SIMULATION_H_
