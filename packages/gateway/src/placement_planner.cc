#include "jasminepath/gateway/placement_planner.h"

#include <algorithm>
#include <limits>

namespace jasminepath::gateway {
namespace {

// Loads from the weight store that may begin at once beyond the rate; the
// site's rule allows three.
constexpr double kStoreBurst = 2.0;
// Loads from the weight store that are taken to run at full speed at once,
// before any have been timed.
constexpr int64_t kMostStoreLoads = 4;
// Requests running at a replica beyond which another replica helps.
constexpr double kRunningPerReplica = 6.0;
// Requests a second that call for a second replica, against the loss of one.
constexpr double kRateForSecondReplica = 0.7;
// A planned load is dropped if its room is not free by then.
constexpr duration kIntentPatience = Seconds(10);
// Worth of a waiting request in units of requests a second, so that it
// displaces all but busy models.
constexpr double kWaitingWorth = 5.0;
// What it costs to drop a model with running requests: the usual time until
// they have ended, in seconds.
constexpr double kRunningWorth = 1.2;
// Worth of the last replica of a model that nobody asks for, so that one of
// several goes first.
constexpr double kLastReplicaWorth = 0.01;
// Worth of a resident model of which the engine keeps no other copy.
constexpr double kOnlyCopyWorth = 0.2;
// Cost of a running request of an engine that is to load a model, in seconds.
constexpr double kBusyCost = 0.02;
// A node that still waits for an adapter that is ready is told again after this
// time.
constexpr duration kNoticeRepeat = Milliseconds(100);
// How long an adapter stays at the least, so that the calls that wait for it
// reach it and are no longer reported as waiting.
constexpr duration kAdapterKept = Milliseconds(500);
// Loads from the weight store ahead of any demand.
constexpr int64_t kCopyLoadsAtOnce = 2;
// The nodes are told at this interval how long a load will take that cannot
// begin yet.
constexpr duration kEstimateInterval = Milliseconds(500);
// An engine that leaves within this time is given nothing new.
constexpr duration kLeavingSoon = Seconds(60);

}  // namespace

placement_planner::placement_planner(service_id service)
    : service_(std::move(service)), store_parallel_(kMostStoreLoads) {}

const model_spec* placement_planner::Spec(const model_id& model) const {
  return spec_.FindModel(model);
}

bool placement_planner::Usable(const engine_state& engine) const {
  if (engine.entry.draining || engine.unreachable)
    return false;
  return !engine.entry.leaves_in || *engine.entry.leaves_in > kLeavingSoon;
}

bool placement_planner::Idle(const engine_state& engine, time_point now) const {
  return Usable(engine) && engine.order_count && !engine.pending &&
         !engine.intent && now >= engine.distrusted_until;
}

bool placement_planner::Resident(const engine_state& engine,
                                 const model_id& model) const {
  return std::find(engine.residents.begin(), engine.residents.end(), model) !=
         engine.residents.end();
}

int64_t placement_planner::UsedMemory(const engine_state& engine) const {
  int64_t used = 0;
  for (const model_id& model : engine.residents) {
    if (const model_spec* spec = Spec(model))
      used += spec->weight_mb;
  }
  for (const auto& [model, adapters] : engine.adapters) {
    if (const model_spec* spec = Spec(model))
      used += spec->adapter_mb * static_cast<int64_t>(adapters.size());
  }
  // A load that may be under way counts like one that is.
  if (engine.pending && engine.pending->order.kind == order_kind::load &&
      !Resident(engine, engine.pending->order.model)) {
    if (const model_spec* spec = Spec(engine.pending->order.model))
      used += spec->weight_mb;
  }
  return used;
}

bool placement_planner::Ordered(const engine_state& engine,
                                order_kind kind,
                                const model_id& model) const {
  return engine.pending && engine.pending->order.kind == kind &&
         engine.pending->order.adapter.empty() &&
         engine.pending->order.model == model;
}

bool placement_planner::Loading(const engine_state& engine,
                                const model_id& model) const {
  return engine.intent == model || Ordered(engine, order_kind::load, model);
}

bool placement_planner::OnTheWay(const model_id& model) const {
  const auto found = models_.find(model);
  return found != models_.end() && found->second.on_the_way;
}

int64_t placement_planner::ReplicaCount(const model_id& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? 0 : found->second.replicas;
}

void placement_planner::CountReplicas() {
  for (auto& [id, model] : models_) {
    model.replicas = 0;
    model.on_the_way = false;
  }
  for (const auto& [id, engine] : engines_) {
    if (!Usable(engine))
      continue;
    for (const model_id& model : engine.residents) {
      if (!Ordered(engine, order_kind::unload, model))
        ++models_[model].replicas;
    }
    if (engine.intent)
      models_[*engine.intent].on_the_way = true;
    if (engine.pending && Loading(engine, engine.pending->order.model))
      models_[engine.pending->order.model].on_the_way = true;
  }
  store_loads_ = CountStoreLoads();
}

void placement_planner::CountReplicasOf(const model_id& model) {
  model_state& state = models_[model];
  state.replicas = 0;
  state.on_the_way = false;
  for (const auto& [id, engine] : engines_) {
    if (!Usable(engine))
      continue;
    if (Resident(engine, model) && !Ordered(engine, order_kind::unload, model))
      ++state.replicas;
    state.on_the_way = state.on_the_way || Loading(engine, model);
  }
  store_loads_ = CountStoreLoads();
}

void placement_planner::SetIntent(engine_state& engine,
                                  const model_id& model,
                                  time_point until) {
  engine.intent = model;
  engine.intent_until = until;
  CountReplicasOf(model);
}

void placement_planner::DropIntent(engine_state& engine) {
  const model_id model = *engine.intent;
  engine.intent.reset();
  CountReplicasOf(model);
}

bool placement_planner::FromStore(const engine_state& engine,
                                  const model_id& model) const {
  return !engine.copies.contains(model);
}

duration placement_planner::LoadTime(const engine_state& engine,
                                     const model_spec& spec) const {
  if (engine.hot_copies.contains(spec.model))
    return spec.memory_load;
  return engine.copies.contains(spec.model) ? spec.disk_load : spec.store_load;
}

// What the service loses when the engine drops the model: the requests that
// come for it, the fewer replicas share them, the more; less if some engine
// has a copy to load it from.
double placement_planner::KeepValue(const engine_state& engine,
                                    const model_id& model,
                                    time_point now) const {
  const double rate = RateOf(model, now);
  const auto replicas =
      static_cast<double>(std::max<int64_t>(ReplicaCount(model), 1));
  double value = rate / replicas;
  if (replicas <= 1)
    value += rate + kLastReplicaWorth;
  const auto found = models_.find(model);
  if (replicas <= 1 && found != models_.end() && found->second.waiting > 0)
    value += kWaitingWorth;
  // An unload waits for what runs.
  if (RunningOn(engine, model) > 0)
    value += kRunningWorth;
  if (!engine.copies.contains(model))
    value += kOnlyCopyWorth;
  return value;
}

void placement_planner::Refill(time_point now) {
  const double elapsed = ToSeconds(now - store_filled_at_);
  store_filled_at_ = now;
  store_tokens_ =
      std::min(store_tokens_ + elapsed * spec_.loads_per_second, kStoreBurst);
}

int64_t placement_planner::CountStoreLoads() const {
  return std::count_if(engines_.begin(), engines_.end(), [&](const auto& item) {
    const engine_state& engine = item.second;
    if (engine.intent)
      return FromStore(engine, *engine.intent);
    return engine.pending && engine.pending->from_store;
  });
}

bool placement_planner::StoreHasRoom() const {
  return store_tokens_ >= 1.0 && store_loads_ < store_parallel_;
}

std::vector<engine_order> placement_planner::Plan(time_point now) {
  Refill(now);
  CountDemand(now);
  CountReplicas();
  std::vector<engine_order> orders;
  ContinueIntents(now, orders);
  PlaceAdapters(now, orders);
  PlaceWanted(now, orders);
  PlaceReplicas(now, orders);
  PlaceCopies(now, orders);
  return orders;
}

void placement_planner::ContinueIntents(time_point now,
                                        std::vector<engine_order>& orders) {
  for (auto& [id, engine] : engines_) {
    if (!engine.intent || engine.pending || !engine.order_count)
      continue;
    const model_id model = *engine.intent;
    const model_spec* spec = Spec(model);
    if (!Usable(engine) || spec == nullptr || now > engine.intent_until ||
        Resident(engine, model)) {
      DropIntent(engine);
      continue;
    }
    if (UsedMemory(engine) + spec->weight_mb <= spec_.weight_mb) {
      if (FromStore(engine, model) && store_tokens_ < 1.0)
        continue;
      DropIntent(engine);
      Give(engine, order_kind::load, model, {}, now, orders);
    } else if (const auto victim = Victim(engine, model, now)) {
      Give(engine, order_kind::unload, victim->first, {}, now, orders);
    } else {
      DropIntent(engine);
    }
  }
}

std::optional<std::pair<model_id, double>> placement_planner::Victim(
    const engine_state& engine,
    const model_id& incoming,
    time_point now) const {
  std::optional<std::pair<model_id, double>> least;
  for (const model_id& model : engine.residents) {
    if (model == incoming)
      continue;
    const double value = KeepValue(engine, model, now);
    if (!least || value < least->second)
      least = {model, value};
  }
  return least;
}

bool placement_planner::Place(const model_id& model,
                              double worth,
                              time_point now,
                              std::vector<engine_order>& orders) {
  const model_spec* spec = Spec(model);
  if (spec == nullptr)
    return false;
  engine_state* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  bool best_free = false;
  for (auto& [id, engine] : engines_) {
    if (!Idle(engine, now) || Resident(engine, model))
      continue;
    if (FromStore(engine, model) && !StoreHasRoom())
      continue;
    const bool free = UsedMemory(engine) + spec->weight_mb <= spec_.weight_mb;
    double displaced = 0;
    if (!free) {
      const auto victim = Victim(engine, model, now);
      if (!victim || victim->second >= worth)
        continue;
      displaced = victim->second;
    }
    // A second of waiting weighs like a displaced request.
    const double cost = ToSeconds(LoadTime(engine, *spec)) + displaced +
                        kBusyCost * static_cast<double>(RunningOn(engine));
    if (cost < best_cost) {
      best = &engine;
      best_cost = cost;
      best_free = free;
    }
  }
  if (best == nullptr)
    return false;
  if (best_free) {
    Give(*best, order_kind::load, model, {}, now, orders);
    return true;
  }
  SetIntent(*best, model, now + kIntentPatience);
  Give(*best, order_kind::unload, Victim(*best, model, now)->first, {}, now,
       orders);
  return true;
}

void placement_planner::PlaceWanted(time_point now,
                                    std::vector<engine_order>& orders) {
  std::vector<std::pair<int64_t, model_id>> wanted;
  for (const auto& [id, model] : models_) {
    if (model.waiting > 0 && ReplicaCount(id) == 0 && !OnTheWay(id))
      wanted.emplace_back(-model.waiting, id);
  }
  std::sort(wanted.begin(), wanted.end());
  int64_t queued = 0;
  for (const auto& [waiting, id] : wanted) {
    const double worth = kWaitingWorth - static_cast<double>(waiting);
    if (!Place(id, worth, now, orders))
      Estimate(id, queued++, now);
  }
}

void placement_planner::Estimate(const model_id& model,
                                 int64_t queued,
                                 time_point now) {
  const model_spec* spec = Spec(model);
  model_state& state = models_[model];
  if (spec == nullptr || now - state.estimated_at < kEstimateInterval)
    return;
  state.estimated_at = now;
  const bool copied =
      std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
        return Usable(item.second) && !FromStore(item.second, model);
      });
  // A copy has to wait for its engine; without one, for its turn at the store.
  const int64_t rounds = (store_loads_ + queued) / store_parallel_ + 1;
  const duration time = copied ? spec->disk_load : spec->store_load * rounds;
  load_notice notice;
  notice.model = model;
  notice.change = load_change::loading;
  notice.ready_in_ms = ToMilliseconds(time);
  notices_.push_back(std::move(notice));
}

void placement_planner::PlaceReplicas(time_point now,
                                      std::vector<engine_order>& orders) {
  // Turns at the weight store are scarce: the most crowded models come first,
  // those that only lack a spare replica last.
  std::vector<std::pair<double, model_id>> needed;
  for (const auto& [id, model] : models_) {
    if (model.replicas == 0 || model.on_the_way)
      continue;
    const double crowding = static_cast<double>(model.running) /
                            static_cast<double>(model.replicas);
    const bool exposed =
        model.replicas < 2 && RateOf(id, now) >= kRateForSecondReplica;
    if (crowding > kRunningPerReplica)
      needed.emplace_back(-crowding, id);
    else if (exposed)
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
  const bool anybody_waits =
      std::any_of(models_.begin(), models_.end(), [this](const auto& item) {
        return item.second.waiting > 0 && ReplicaCount(item.first) == 0;
      });
  if (anybody_waits)
    return;
  for (const model_spec& spec : spec_.models) {
    if (store_loads_ >= kCopyLoadsAtOnce || !StoreHasRoom())
      return;
    const bool somewhere =
        std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
          return Usable(item.second) &&
                 (item.second.copies.contains(spec.model) ||
                  Resident(item.second, spec.model));
        });
    if (!somewhere && !OnTheWay(spec.model))
      Place(spec.model, kRateForSecondReplica, now, orders);
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

// In the order in which they began to be missing, so that all of them get a
// turn.
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

// Whether an engine holds the adapter already. The node that waits for it may
// have missed the notice and is told again.
bool placement_planner::RepeatNoticeIfHeld(const model_key& key,
                                           time_point now) {
  for (auto& [id, engine] : engines_) {
    if (!Usable(engine) || !Resident(engine, key.first))
      continue;
    for (adapter_state& held : engine.adapters[key.first]) {
      if (held.adapter != key.second)
        continue;
      if (held.announced && now - held.ready_at > kNoticeRepeat &&
          now - held.last_used > kNoticeRepeat) {
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
    if (!Idle(engine, now) || !Resident(engine, key.first))
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
    Give(*best, order_kind::load, key.first, key.second, now, orders);
  else
    MakeRoomForAdapter(key.first, now, orders);
}

// Of the engines that hold the model, the adapter used longest ago makes way.
void placement_planner::MakeRoomForAdapter(const model_id& needed,
                                           time_point now,
                                           std::vector<engine_order>& orders) {
  engine_state* place = nullptr;
  const adapter_state* oldest = nullptr;
  model_id oldest_model;
  for (auto& [id, engine] : engines_) {
    if (!Idle(engine, now) || !Resident(engine, needed))
      continue;
    for (const auto& [model, adapters] : engine.adapters) {
      for (const adapter_state& adapter : adapters) {
        if (now - adapter.ready_at < kAdapterKept ||
            (oldest != nullptr && adapter.last_used >= oldest->last_used))
          continue;
        place = &engine;
        oldest = &adapter;
        oldest_model = model;
      }
    }
  }
  if (oldest != nullptr)
    Give(*place, order_kind::unload, oldest_model, oldest->adapter, now,
         orders);
}

void placement_planner::Give(engine_state& engine,
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
    const duration time = LoadTime(engine, *Spec(model));
    pending.expected_at = now + time;
    pending.from_store = FromStore(engine, model);
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
