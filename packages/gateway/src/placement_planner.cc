#include "jasminepath/gateway/placement_planner.h"

#include <algorithm>
#include <limits>

namespace jasminepath::gateway {
namespace {

// Number of loads from the weight store that may begin at once beyond the rate;
// the site allows three.
constexpr double kStoreLoadBurst = 2.0;
// Number of concurrent loads that the weight store is assumed to serve at full
// speed before any load was timed.
constexpr int64_t kInitialParallelStoreLoads = 4;
// Running requests per replica above which another replica is added.
constexpr double kMaxRunningPerReplica = 6.0;
// Request rate, in requests per second, at which a model gets a second replica,
// to tolerate the loss of one.
constexpr double kSecondReplicaRequestsPerSecond = 0.7;
// A planned load is cancelled if its memory is not free within this time.
constexpr duration kPlannedLoadTimeout = Seconds(10);
// Value of a waiting request in requests per second, so that it displaces all
// but busy models.
constexpr double kWaitingRequestValue = 5.0;
// Additional value of a model with running requests: the usual time until they
// end, in seconds.
constexpr double kRunningRequestsValue = 1.2;
// Value of the last replica of an idle model, so that one of several replicas
// is evicted first.
constexpr double kLastReplicaValue = 0.01;
// Value of a resident model without a copy in the engine's memory or on its
// disk.
constexpr double kOnlyCopyValue = 0.2;
// Cost per running request, in seconds, of loading a model on an engine.
constexpr double kRunningRequestCostSeconds = 0.02;
// A notice is repeated after this time to nodes that still wait for an adapter
// that is ready.
constexpr duration kNoticeRepeatInterval = Milliseconds(100);
// Minimum time that an adapter stays loaded, so that the calls that wait for it
// reach it and are no longer reported as waiting.
constexpr duration kMinAdapterResidence = Milliseconds(500);
// Maximum number of concurrent loads from the weight store without demand.
constexpr int64_t kMaxParallelCopyLoads = 2;
// Interval of the load time estimates sent to the nodes for loads that cannot
// begin yet.
constexpr duration kEstimateInterval = Milliseconds(500);
// An engine that shuts down within this time gets no orders, and its models do
// not count as replicas.
constexpr duration kMinRemainingLifetime = Seconds(60);

}  // namespace

placement_planner::placement_planner(service_id service)
    : service_(std::move(service)),
      max_parallel_store_loads_(kInitialParallelStoreLoads) {}

const model_spec* placement_planner::FindSpec(const model_id& model) const {
  return spec_.FindModel(model);
}

bool placement_planner::IsUsable(const engine_state& engine) const {
  if (engine.entry.draining || engine.unreachable)
    return false;
  return !engine.entry.leaves_in ||
         *engine.entry.leaves_in > kMinRemainingLifetime;
}

bool placement_planner::IsIdle(const engine_state& engine,
                               time_point now) const {
  return IsUsable(engine) && engine.order_count && !engine.pending &&
         !engine.planned_load && now >= engine.state_uncertain_until;
}

bool placement_planner::IsResident(const engine_state& engine,
                                   const model_id& model) const {
  return std::find(engine.residents.begin(), engine.residents.end(), model) !=
         engine.residents.end();
}

int64_t placement_planner::UsedMemory(const engine_state& engine) const {
  int64_t used = 0;
  for (const model_id& model : engine.residents) {
    if (const model_spec* spec = FindSpec(model))
      used += spec->weight_mb;
  }
  for (const auto& [model, adapters] : engine.adapters) {
    if (const model_spec* spec = FindSpec(model))
      used += spec->adapter_mb * static_cast<int64_t>(adapters.size());
  }
  // A pending load reserves its memory, because it may be executing.
  if (engine.pending && engine.pending->order.kind == order_kind::load &&
      !IsResident(engine, engine.pending->order.model)) {
    if (const model_spec* spec = FindSpec(engine.pending->order.model))
      used += spec->weight_mb;
  }
  return used;
}

bool placement_planner::HasPendingModelOrder(const engine_state& engine,
                                             order_kind kind,
                                             const model_id& model) const {
  return engine.pending && engine.pending->order.kind == kind &&
         engine.pending->order.adapter.empty() &&
         engine.pending->order.model == model;
}

bool placement_planner::IsLoading(const engine_state& engine,
                                  const model_id& model) const {
  return engine.planned_load == model ||
         HasPendingModelOrder(engine, order_kind::load, model);
}

bool placement_planner::IsLoadPlanned(const model_id& model) const {
  const auto found = models_.find(model);
  return found != models_.end() && found->second.is_load_planned;
}

int64_t placement_planner::ReplicaCount(const model_id& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? 0 : found->second.replicas;
}

void placement_planner::CountReplicas() {
  for (auto& [id, model] : models_) {
    model.replicas = 0;
    model.is_load_planned = false;
  }
  for (const auto& [id, engine] : engines_) {
    if (!IsUsable(engine))
      continue;
    for (const model_id& model : engine.residents) {
      if (!HasPendingModelOrder(engine, order_kind::unload, model))
        ++models_[model].replicas;
    }
    if (engine.planned_load)
      models_[*engine.planned_load].is_load_planned = true;
    if (engine.pending && IsLoading(engine, engine.pending->order.model))
      models_[engine.pending->order.model].is_load_planned = true;
  }
  store_loads_ = CountStoreLoads();
}

void placement_planner::CountReplicasOf(const model_id& model) {
  model_state& state = models_[model];
  state.replicas = 0;
  state.is_load_planned = false;
  for (const auto& [id, engine] : engines_) {
    if (!IsUsable(engine))
      continue;
    if (IsResident(engine, model) &&
        !HasPendingModelOrder(engine, order_kind::unload, model))
      ++state.replicas;
    state.is_load_planned = state.is_load_planned || IsLoading(engine, model);
  }
  store_loads_ = CountStoreLoads();
}

void placement_planner::SetPlannedLoad(engine_state& engine,
                                       const model_id& model,
                                       time_point until) {
  engine.planned_load = model;
  engine.planned_load_until = until;
  CountReplicasOf(model);
}

void placement_planner::ClearPlannedLoad(engine_state& engine) {
  const model_id model = *engine.planned_load;
  engine.planned_load.reset();
  CountReplicasOf(model);
}

bool placement_planner::LoadsFromStore(const engine_state& engine,
                                       const model_id& model) const {
  return !engine.copies.contains(model);
}

duration placement_planner::LoadTime(const engine_state& engine,
                                     const model_spec& spec) const {
  if (engine.memory_copies.contains(spec.model))
    return spec.memory_load;
  return engine.copies.contains(spec.model) ? spec.disk_load : spec.store_load;
}

// Loss for the service if the engine unloads the model: its request rate,
// weighted higher the fewer replicas share it, plus the cost of unloading and
// of loading it again.
double placement_planner::RetentionValue(const engine_state& engine,
                                         const model_id& model,
                                         time_point now) const {
  const double rate = RateOf(model, now);
  const auto replicas =
      static_cast<double>(std::max<int64_t>(ReplicaCount(model), 1));
  double value = rate / replicas;
  if (replicas <= 1)
    value += rate + kLastReplicaValue;
  const auto found = models_.find(model);
  if (replicas <= 1 && found != models_.end() && found->second.waiting > 0)
    value += kWaitingRequestValue;
  // An unload waits until running requests have ended.
  if (RunningOn(engine, model) > 0)
    value += kRunningRequestsValue;
  if (!engine.copies.contains(model))
    value += kOnlyCopyValue;
  return value;
}

void placement_planner::RefillStoreTokens(time_point now) {
  const double elapsed = ToSeconds(now - store_filled_at_);
  store_filled_at_ = now;
  store_tokens_ = std::min(store_tokens_ + elapsed * spec_.loads_per_second,
                           kStoreLoadBurst);
}

int64_t placement_planner::CountStoreLoads() const {
  return std::count_if(engines_.begin(), engines_.end(), [&](const auto& item) {
    const engine_state& engine = item.second;
    if (engine.planned_load)
      return LoadsFromStore(engine, *engine.planned_load);
    return engine.pending && engine.pending->from_store;
  });
}

bool placement_planner::CanStartStoreLoad() const {
  return store_tokens_ >= 1.0 && store_loads_ < max_parallel_store_loads_;
}

std::vector<engine_order> placement_planner::Plan(time_point now) {
  RefillStoreTokens(now);
  CountDemand(now);
  CountReplicas();
  std::vector<engine_order> orders;
  ContinuePlannedLoads(now, orders);
  PlaceAdapters(now, orders);
  PlaceDemandedModels(now, orders);
  PlaceReplicas(now, orders);
  PlaceCopies(now, orders);
  return orders;
}

void placement_planner::ContinuePlannedLoads(
    time_point now,
    std::vector<engine_order>& orders) {
  for (auto& [id, engine] : engines_) {
    if (!engine.planned_load || engine.pending || !engine.order_count)
      continue;
    const model_id model = *engine.planned_load;
    const model_spec* spec = FindSpec(model);
    if (!IsUsable(engine) || spec == nullptr ||
        now > engine.planned_load_until || IsResident(engine, model)) {
      ClearPlannedLoad(engine);
      continue;
    }
    if (UsedMemory(engine) + spec->weight_mb <= spec_.weight_mb) {
      if (LoadsFromStore(engine, model) && store_tokens_ < 1.0)
        continue;
      ClearPlannedLoad(engine);
      IssueOrder(engine, order_kind::load, model, {}, now, orders);
    } else if (const auto victim = FindVictim(engine, model, now)) {
      IssueOrder(engine, order_kind::unload, victim->first, {}, now, orders);
    } else {
      ClearPlannedLoad(engine);
    }
  }
}

std::optional<std::pair<model_id, double>> placement_planner::FindVictim(
    const engine_state& engine,
    const model_id& incoming,
    time_point now) const {
  std::optional<std::pair<model_id, double>> least;
  for (const model_id& model : engine.residents) {
    if (model == incoming)
      continue;
    const double value = RetentionValue(engine, model, now);
    if (!least || value < least->second)
      least = {model, value};
  }
  return least;
}

bool placement_planner::Place(const model_id& model,
                              double value,
                              time_point now,
                              std::vector<engine_order>& orders) {
  const model_spec* spec = FindSpec(model);
  if (spec == nullptr)
    return false;
  engine_state* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  bool best_fits = false;
  for (auto& [id, engine] : engines_) {
    if (!IsIdle(engine, now) || IsResident(engine, model))
      continue;
    if (LoadsFromStore(engine, model) && !CanStartStoreLoad())
      continue;
    const bool fits = UsedMemory(engine) + spec->weight_mb <= spec_.weight_mb;
    double displaced = 0;
    if (!fits) {
      const auto victim = FindVictim(engine, model, now);
      if (!victim || victim->second >= value)
        continue;
      displaced = victim->second;
    }
    // A second of load time counts like one displaced request per second.
    const double cost =
        ToSeconds(LoadTime(engine, *spec)) + displaced +
        kRunningRequestCostSeconds * static_cast<double>(RunningOn(engine));
    if (cost < best_cost) {
      best = &engine;
      best_cost = cost;
      best_fits = fits;
    }
  }
  if (best == nullptr)
    return false;
  if (best_fits) {
    IssueOrder(*best, order_kind::load, model, {}, now, orders);
    return true;
  }
  SetPlannedLoad(*best, model, now + kPlannedLoadTimeout);
  IssueOrder(*best, order_kind::unload, FindVictim(*best, model, now)->first,
             {}, now, orders);
  return true;
}

void placement_planner::PlaceDemandedModels(time_point now,
                                            std::vector<engine_order>& orders) {
  std::vector<std::pair<int64_t, model_id>> demanded;
  for (const auto& [id, model] : models_) {
    if (model.waiting > 0 && ReplicaCount(id) == 0 && !IsLoadPlanned(id))
      demanded.emplace_back(-model.waiting, id);
  }
  std::sort(demanded.begin(), demanded.end());
  int64_t queued = 0;
  for (const auto& [negated_waiting, id] : demanded) {
    const double value =
        kWaitingRequestValue - static_cast<double>(negated_waiting);
    if (!Place(id, value, now, orders))
      PublishEstimate(id, queued++, now);
  }
}

void placement_planner::PublishEstimate(const model_id& model,
                                        int64_t queued,
                                        time_point now) {
  const model_spec* spec = FindSpec(model);
  model_state& state = models_[model];
  if (spec == nullptr || now - state.estimated_at < kEstimateInterval)
    return;
  state.estimated_at = now;
  const bool has_copy =
      std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
        return IsUsable(item.second) && !LoadsFromStore(item.second, model);
      });
  // A load from a copy waits only for its engine; a load from the weight store
  // waits for its turn there.
  const int64_t rounds =
      (store_loads_ + queued) / max_parallel_store_loads_ + 1;
  const duration time = has_copy ? spec->disk_load : spec->store_load * rounds;
  load_notice notice;
  notice.model = model;
  notice.change = load_change::loading;
  notice.ready_in_ms = ToMilliseconds(time);
  notices_.push_back(std::move(notice));
}

void placement_planner::PlaceReplicas(time_point now,
                                      std::vector<engine_order>& orders) {
  // The weight store's capacity is scarce: models with the most running
  // requests per replica come first, and those that only lack a spare replica
  // last.
  std::vector<std::pair<double, model_id>> needed;
  for (const auto& [id, model] : models_) {
    if (model.replicas == 0 || model.is_load_planned)
      continue;
    const double running_per_replica = static_cast<double>(model.running) /
                                       static_cast<double>(model.replicas);
    const bool lacks_spare_replica =
        model.replicas < 2 &&
        RateOf(id, now) >= kSecondReplicaRequestsPerSecond;
    if (running_per_replica > kMaxRunningPerReplica)
      needed.emplace_back(-running_per_replica, id);
    else if (lacks_spare_replica)
      needed.emplace_back(0.0, id);
  }
  std::sort(needed.begin(), needed.end());
  for (const auto& [order, id] : needed) {
    const auto replicas = static_cast<double>(ReplicaCount(id) + 1);
    Place(id, RateOf(id, now) / replicas, now, orders);
  }
}

void placement_planner::PlaceCopies(time_point now,
                                    std::vector<engine_order>& orders) {
  const bool has_unserved_demand =
      std::any_of(models_.begin(), models_.end(), [this](const auto& item) {
        return item.second.waiting > 0 && ReplicaCount(item.first) == 0;
      });
  if (has_unserved_demand)
    return;
  for (const model_spec& spec : spec_.models) {
    if (store_loads_ >= kMaxParallelCopyLoads || !CanStartStoreLoad())
      return;
    const bool has_copy =
        std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
          return IsUsable(item.second) &&
                 (item.second.copies.contains(spec.model) ||
                  IsResident(item.second, spec.model));
        });
    if (!has_copy && !IsLoadPlanned(spec.model))
      Place(spec.model, kSecondReplicaRequestsPerSecond, now, orders);
  }
}

void placement_planner::PlaceAdapters(time_point now,
                                      std::vector<engine_order>& orders) {
  for (auto& [id, engine] : engines_) {
    for (auto& [model, adapters] : engine.adapters) {
      for (adapter_state& adapter : adapters) {
        if (adapter.announced || now < adapter.ready_at)
          continue;
        adapter.announced = true;
        Announce(engine, model, adapter.adapter, load_change::ready, {});
      }
    }
  }
  for (const model_key& key : AdaptersToPlace(now))
    PlaceAdapter(key, now, orders);
}

// Returns the missing adapters in the order in which they were first missing,
// so that all of them are served in turn.
std::vector<placement_planner::model_key> placement_planner::AdaptersToPlace(
    time_point now) {
  std::erase_if(adapters_missing_since_, [this](const auto& item) {
    return !adapters_waiting_.contains(item.first);
  });
  std::vector<std::pair<time_point, model_key>> missing;
  for (const auto& [key, waiting] : adapters_waiting_) {
    if (RepeatNoticeIfHeld(key, now))
      adapters_missing_since_.erase(key);
    else
      missing.emplace_back(
          adapters_missing_since_.try_emplace(key, now).first->second, key);
  }
  std::sort(missing.begin(), missing.end());
  std::vector<model_key> keys;
  for (const auto& [since, key] : missing)
    keys.push_back(key);
  return keys;
}

// Returns whether an engine already holds the adapter. The waiting node may
// have missed the notice, so it is repeated.
bool placement_planner::RepeatNoticeIfHeld(const model_key& key,
                                           time_point now) {
  for (auto& [id, engine] : engines_) {
    if (!IsUsable(engine) || !IsResident(engine, key.first))
      continue;
    for (adapter_state& held : engine.adapters[key.first]) {
      if (held.adapter != key.second)
        continue;
      if (held.announced && now - held.ready_at > kNoticeRepeatInterval &&
          now - held.last_used > kNoticeRepeatInterval) {
        held.last_used = now;
        Announce(engine, key.first, key.second, load_change::ready, {});
      }
      return true;
    }
  }
  return false;
}

void placement_planner::PlaceAdapter(const model_key& key,
                                     time_point now,
                                     std::vector<engine_order>& orders) {
  engine_state* best = nullptr;
  int64_t best_count = std::numeric_limits<int64_t>::max();
  for (auto& [id, engine] : engines_) {
    if (!IsIdle(engine, now) || !IsResident(engine, key.first))
      continue;
    int64_t count = 0;
    for (const auto& [model, adapters] : engine.adapters)
      count += static_cast<int64_t>(adapters.size());
    if (count < best_count) {
      best = &engine;
      best_count = count;
    }
  }
  if (best == nullptr)
    return;
  if (best_count < spec_.adapter_slots)
    IssueOrder(*best, order_kind::load, key.first, key.second, now, orders);
  else
    MakeRoomForAdapter(key.first, now, orders);
}

// Unloads the least recently used adapter among the engines that hold the
// model.
void placement_planner::MakeRoomForAdapter(const model_id& needed,
                                           time_point now,
                                           std::vector<engine_order>& orders) {
  engine_state* target = nullptr;
  const adapter_state* oldest = nullptr;
  model_id oldest_model;
  for (auto& [id, engine] : engines_) {
    if (!IsIdle(engine, now) || !IsResident(engine, needed))
      continue;
    for (const auto& [model, adapters] : engine.adapters) {
      for (const adapter_state& adapter : adapters) {
        if (now - adapter.ready_at < kMinAdapterResidence ||
            (oldest != nullptr && adapter.last_used >= oldest->last_used))
          continue;
        target = &engine;
        oldest = &adapter;
        oldest_model = model;
      }
    }
  }
  if (oldest != nullptr)
    IssueOrder(*target, order_kind::unload, oldest_model, oldest->adapter, now,
               orders);
}

void placement_planner::IssueOrder(engine_state& engine,
                                   order_kind kind,
                                   const model_id& model,
                                   const adapter_id& adapter,
                                   time_point now,
                                   std::vector<engine_order>& orders) {
  pending_order pending;
  pending.order.kind = kind;
  pending.order.endpoint = engine.entry.id;
  pending.order.model = model;
  pending.order.adapter = adapter;
  pending.order.if_order_count = engine.order_count;
  pending.sent_at = now;
  pending.expected_at = now;
  if (kind == order_kind::load && adapter.empty()) {
    const duration time = LoadTime(engine, *FindSpec(model));
    pending.expected_at = now + time;
    pending.from_store = LoadsFromStore(engine, model);
    if (pending.from_store)
      store_tokens_ -= 1.0;
    Announce(engine, model, {}, load_change::loading, time);
  } else if (kind == order_kind::unload) {
    Announce(engine, model, adapter, load_change::closing, {});
  }
  orders.push_back(pending.order);
  engine.pending = std::move(pending);
  CountReplicasOf(model);
}

void placement_planner::Announce(const engine_state& engine,
                                 const model_id& model,
                                 const adapter_id& adapter,
                                 load_change change,
                                 duration ready_in) {
  load_notice notice;
  notice.endpoint = engine.entry.id;
  notice.model = model;
  notice.adapter = adapter;
  notice.change = change;
  notice.ready_in_ms = ToMilliseconds(ready_in);
  notices_.push_back(std::move(notice));
}

}  // namespace jasminepath::gateway
