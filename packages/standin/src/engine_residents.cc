#include "engine_residents.h"

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

engine_residents::engine_residents(const engine_options& options,
                                   std::string incarnation)
    : options_(options), incarnation_(std::move(incarnation)) {}

const engine_model& engine_residents::CostOf(const std::string& model) const {
  const auto found = std::find_if(
      options_.models.begin(), options_.models.end(),
      [&](const engine_model& known) { return known.model == model; });
  return found == options_.models.end() ? options_.default_model : *found;
}

int64_t engine_residents::MemoryUsed() const {
  int64_t used = 0;
  for (const auto& [key, held] : residents_)
    used += held.bytes;
  return used;
}

bool engine_residents::Fits(int64_t more_bytes) {
  if (MemoryUsed() + more_bytes <= options_.memory_bytes)
    return true;
  ++overcommits_;
  return false;
}

order_result engine_residents::Take(const received_order& order,
                                    bool dies,
                                    time_point now) {
  const auto answered = answered_.find(order.id);
  if (answered != answered_.end())
    return answered->second;
  if (options_.honours_fencing && order.epoch < fence_)
    return order_result::stale_epoch;
  fence_ = std::max(fence_, order.epoch);
  order_result said = order_result::accepted;
  switch (order.kind) {
    case order_kind::fence:
      break;
    case order_kind::load_model:
      said = LoadModel(order, dies, now);
      break;
    case order_kind::unload_model:
      said = UnloadModel(order, now);
      break;
    case order_kind::load_adapter:
      said = LoadAdapter(order, now);
      break;
    case order_kind::unload_adapter:
      said = UnloadAdapter(order);
      break;
  }
  if (said != order_result::unloading)
    answered_[order.id] = said;
  return said;
}

pending_load engine_residents::PlanLoad(const received_order& order,
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

order_result engine_residents::LoadModel(const received_order& order,
                                         bool dies,
                                         time_point now) {
  const resident_key key{order.model, order.version};
  if (const auto found = residents_.find(key); found != residents_.end()) {
    return found->second.at == state::unloading ? order_result::unloading
                                                : order_result::accepted;
  }
  const int64_t bytes = CostOf(order.model).weights_bytes;
  if (!Fits(bytes))
    return order_result::no_memory;
  residents_[key] = resident{state::loading, bytes, {}, {}};
  pending_load load = PlanLoad(order, now);
  if (dies)
    load.dies_at = now + load.full_speed / 2;
  if (order.source == checkpoint_source::remote)
    fetched_.insert(order.model);
  loads_.push_back(std::move(load));
  return order_result::accepted;
}

order_result engine_residents::UnloadModel(const received_order& order,
                                           time_point now) {
  const auto found = residents_.find({order.model, order.version});
  if (found == residents_.end() || found->second.at == state::unloading)
    return order_result::accepted;
  found->second.at = state::unloading;
  found->second.gone_at = now + kUnloadTime;
  std::erase_if(loads_, [&](const pending_load& load) {
    return load.model == order.model && load.version == order.version;
  });
  return order_result::accepted;
}

order_result engine_residents::LoadAdapter(const received_order& order,
                                           time_point now) {
  const auto found = residents_.find({order.model, order.version});
  if (found == residents_.end() || found->second.at != state::resident)
    return order_result::no_such_model;
  if (found->second.adapters.contains(order.adapter))
    return order_result::accepted;
  const int64_t bytes = CostOf(order.model).adapter_bytes;
  if (!Fits(bytes))
    return order_result::no_memory;
  found->second.bytes += bytes;
  loads_.push_back(PlanLoad(order, now));
  return order_result::accepted;
}

order_result engine_residents::UnloadAdapter(const received_order& order) {
  const auto found = residents_.find({order.model, order.version});
  if (found != residents_.end() &&
      found->second.adapters.erase(order.adapter) > 0)
    found->second.bytes -= CostOf(order.model).adapter_bytes;
  return order_result::accepted;
}

void engine_residents::Complete(const pending_load& load) {
  const auto found = residents_.find({load.model, load.version});
  if (found == residents_.end())
    return;
  if (!load.adapter.empty()) {
    found->second.adapters.insert(load.adapter);
    return;
  }
  found->second.at = state::resident;
  cached_.insert(load.model);
}

bool engine_residents::Advance(time_point now) {
  for (const pending_load& load : loads_) {
    if (load.dies_at && *load.dies_at <= now)
      return false;
  }
  const auto due = std::stable_partition(
      loads_.begin(), loads_.end(), [&](const pending_load& load) {
        return !load.done_at || *load.done_at > now;
      });
  std::for_each(due, loads_.end(),
                [this](const pending_load& load) { Complete(load); });
  loads_.erase(due, loads_.end());
  std::erase_if(residents_, [&](const auto& entry) {
    return entry.second.at == state::unloading && entry.second.gone_at <= now;
  });
  return true;
}

std::vector<pending_load> engine_residents::StoreLoads() const {
  std::vector<pending_load> waiting;
  std::copy_if(loads_.begin(), loads_.end(), std::back_inserter(waiting),
               [](const pending_load& load) { return !load.done_at; });
  return waiting;
}

void engine_residents::CompleteStoreLoad(const std::string& id) {
  const auto found =
      std::find_if(loads_.begin(), loads_.end(),
                   [&](const pending_load& load) { return load.id == id; });
  if (found == loads_.end())
    return;
  Complete(*found);
  loads_.erase(found);
}

bool engine_residents::CanRun(const std::string& model,
                              const std::string& adapter) const {
  return std::any_of(
      residents_.begin(), residents_.end(), [&](const auto& entry) {
        const auto& [key, held] = entry;
        return key.model == model && held.at == state::resident &&
               (adapter.empty() || held.adapters.contains(adapter));
      });
}

void engine_residents::Describe(json_object& status) const {
  json_array::Ptr models = new json_array;
  for (const auto& [key, held] : residents_) {
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
