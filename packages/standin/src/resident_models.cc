#include "resident_models.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

namespace jasminepath::standin {
namespace {

constexpr duration kUnloadTime = Milliseconds(20);
constexpr char kInitialVersion[] = "1";

order_kind ParseKind(const std::string& name) {
  if (name == "fence")
    return order_kind::fence;
  if (name == "load_model")
    return order_kind::load_model;
  if (name == "unload_model")
    return order_kind::unload_model;
  if (name == "load_adapter")
    return order_kind::load_adapter;
  if (name == "unload_adapter")
    return order_kind::unload_adapter;
  throw Poco::DataFormatException("unknown action", name);
}

checkpoint_source ParseSource(const std::string& name) {
  if (name == "memory")
    return checkpoint_source::memory;
  if (name == "disk")
    return checkpoint_source::disk;
  if (name == "remote")
    return checkpoint_source::remote;
  throw Poco::DataFormatException("unknown source", name);
}

}  // namespace

received_order ParseOrder(const json_object& body) {
  received_order order;
  order.id = body.getValue<std::string>("order");
  order.epoch = body.getValue<Poco::Int64>("epoch");
  order.kind = ParseKind(body.getValue<std::string>("action"));
  order.model = body.optValue<std::string>("model", "");
  if (order.model.empty() && order.kind != order_kind::fence)
    throw Poco::DataFormatException("model is missing");
  order.version = body.optValue<std::string>("version", kInitialVersion);
  order.adapter = body.optValue<std::string>("adapter", "");
  order.source = ParseSource(body.optValue<std::string>("source", "remote"));
  if (body.has("load_ms"))
    order.load_time = Milliseconds(body.getValue<Poco::Int64>("load_ms"));
  return order;
}

resident_models::resident_models(const engine_options& options,
                                 std::string incarnation)
    : options_(options), incarnation_(std::move(incarnation)) {}

const engine_model& resident_models::CostOf(const std::string& model) const {
  const auto found = std::find_if(
      options_.models.begin(), options_.models.end(),
      [&](const engine_model& known) { return known.model == model; });
  return found == options_.models.end() ? options_.default_model : *found;
}

int64_t resident_models::MemoryUsed() const {
  int64_t used = 0;
  for (const auto& [key, held] : models_)
    used += held.bytes;
  return used;
}

bool resident_models::HasMemoryFor(int64_t more_bytes) {
  if (MemoryUsed() + more_bytes <= options_.memory_bytes)
    return true;
  ++overcommits_;
  return false;
}

order_result resident_models::HandleOrder(const received_order& order,
                                          bool should_crash,
                                          time_point now) {
  const auto answered = order_outcomes_.find(order.id);
  if (answered != order_outcomes_.end())
    return answered->second;
  if (options_.honours_fencing && order.epoch < fence_)
    return order_result::stale_epoch;
  fence_ = std::max(fence_, order.epoch);
  order_result outcome = order_result::accepted;
  switch (order.kind) {
    case order_kind::fence:
      break;
    case order_kind::load_model:
      outcome = LoadModel(order, should_crash, now);
      break;
    case order_kind::unload_model:
      outcome = UnloadModel(order, now);
      break;
    case order_kind::load_adapter:
      outcome = LoadAdapter(order, now);
      break;
    case order_kind::unload_adapter:
      outcome = UnloadAdapter(order);
      break;
  }
  if (outcome != order_result::unloading)
    order_outcomes_[order.id] = outcome;
  return outcome;
}

pending_load resident_models::PlanLoad(const received_order& order,
                                       time_point now) const {
  const engine_model& cost = CostOf(order.model);
  pending_load load{
      order.id,          order.model, order.version, order.adapter, {},
      cost.load_adapter, {}};
  if (order.adapter.empty()) {
    load.full_speed =
        order.source == checkpoint_source::memory ? cost.load_from_memory
        : order.source == checkpoint_source::disk ? cost.load_from_disk
                                                  : cost.load_from_remote;
  }
  load.full_speed = order.load_time.value_or(load.full_speed);
  const bool store_decides =
      order.source == checkpoint_source::remote && !options_.store_host.empty();
  if (!store_decides)
    load.done_at = now + load.full_speed;
  return load;
}

order_result resident_models::LoadModel(const received_order& order,
                                        bool should_crash,
                                        time_point now) {
  const resident_key key{order.model, order.version};
  if (const auto found = models_.find(key); found != models_.end()) {
    return found->second.at == state::unloading ? order_result::unloading
                                                : order_result::accepted;
  }
  const int64_t bytes = CostOf(order.model).weights_bytes;
  if (!HasMemoryFor(bytes))
    return order_result::no_memory;
  models_[key] = resident_model{state::loading, bytes, {}, {}};
  pending_load load = PlanLoad(order, now);
  if (should_crash)
    load.crash_at = now + load.full_speed / 2;
  if (order.source == checkpoint_source::remote)
    fetched_.insert(order.model);
  loads_.push_back(std::move(load));
  return order_result::accepted;
}

order_result resident_models::UnloadModel(const received_order& order,
                                          time_point now) {
  const auto found = models_.find({order.model, order.version});
  if (found == models_.end() || found->second.at == state::unloading)
    return order_result::accepted;
  found->second.at = state::unloading;
  found->second.gone_at = now + kUnloadTime;
  std::erase_if(loads_, [&](const pending_load& load) {
    return load.model == order.model && load.version == order.version;
  });
  return order_result::accepted;
}

order_result resident_models::LoadAdapter(const received_order& order,
                                          time_point now) {
  const auto found = models_.find({order.model, order.version});
  if (found == models_.end() || found->second.at != state::resident)
    return order_result::no_such_model;
  if (found->second.adapters.contains(order.adapter))
    return order_result::accepted;
  const int64_t bytes = CostOf(order.model).adapter_bytes;
  if (!HasMemoryFor(bytes))
    return order_result::no_memory;
  found->second.bytes += bytes;
  loads_.push_back(PlanLoad(order, now));
  return order_result::accepted;
}

order_result resident_models::UnloadAdapter(const received_order& order) {
  const auto found = models_.find({order.model, order.version});
  if (found != models_.end() && found->second.adapters.erase(order.adapter) > 0)
    found->second.bytes -= CostOf(order.model).adapter_bytes;
  return order_result::accepted;
}

void resident_models::CompleteLoad(const pending_load& load) {
  const auto found = models_.find({load.model, load.version});
  if (found == models_.end())
    return;
  if (!load.adapter.empty()) {
    found->second.adapters.insert(load.adapter);
    return;
  }
  found->second.at = state::resident;
  cached_in_memory_.insert(load.model);
}

bool resident_models::Advance(time_point now) {
  for (const pending_load& load : loads_) {
    if (load.crash_at && *load.crash_at <= now)
      return false;
  }
  const auto due = std::stable_partition(
      loads_.begin(), loads_.end(), [&](const pending_load& load) {
        return !load.done_at || *load.done_at > now;
      });
  std::for_each(due, loads_.end(),
                [this](const pending_load& load) { CompleteLoad(load); });
  loads_.erase(due, loads_.end());
  std::erase_if(models_, [&](const auto& entry) {
    return entry.second.at == state::unloading && entry.second.gone_at <= now;
  });
  return true;
}

std::vector<pending_load> resident_models::PendingStoreLoads() const {
  std::vector<pending_load> waiting;
  std::copy_if(loads_.begin(), loads_.end(), std::back_inserter(waiting),
               [](const pending_load& load) { return !load.done_at; });
  return waiting;
}

void resident_models::CompleteStoreLoad(const std::string& id) {
  const auto found =
      std::find_if(loads_.begin(), loads_.end(),
                   [&](const pending_load& load) { return load.id == id; });
  if (found == loads_.end())
    return;
  CompleteLoad(*found);
  loads_.erase(found);
}

bool resident_models::CanRun(const std::string& model,
                             const std::string& adapter) const {
  return std::any_of(models_.begin(), models_.end(), [&](const auto& entry) {
    const auto& [key, held] = entry;
    return key.model == model && held.at == state::resident &&
           (adapter.empty() || held.adapters.contains(adapter));
  });
}

void resident_models::Describe(json_object& status) const {
  json_array::Ptr models = new json_array;
  for (const auto& [key, held] : models_) {
    json_array::Ptr adapters = new json_array;
    for (const std::string& adapter : held.adapters)
      adapters->add(adapter);
    json_object::Ptr entry = new json_object;
    entry->set("model", key.model);
    entry->set("version", key.version);
    entry->set("state", held.at == state::loading    ? "loading"
                        : held.at == state::resident ? "resident"
                                                     : "unloading");
    entry->set("adapters", adapters);
    models->add(entry);
  }
  status.set("incarnation", incarnation_);
  status.set("fence", fence_);
  status.set("memory_bytes", options_.memory_bytes);
  status.set("memory_used", MemoryUsed());
  status.set("models", models);
}

}  // namespace jasminepath::standin
