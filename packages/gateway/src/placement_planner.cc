#include "jasminepath/gateway/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminepath::gateway {
namespace {

// Loads from the weight store that may begin at once beyond the rate; the
// site's rule allows three.
constexpr double kStoreBurst = 2.0;
// Loads from the weight store that are taken to run at full speed at once,
// before any have been timed, and the least.
constexpr int64_t kMostStoreLoads = 4;
constexpr int64_t kLeastStoreLoads = 2;
// A load that takes longer than this multiple of its time shows that too many
// run at once.
constexpr double kSlowLoadFactor = 1.3;
// Demand is averaged over this time: long enough for rare models, short enough
// to follow a shift of demand.
constexpr double kRateSeconds = 10.0;
// A node that has not reported for this long no longer counts.
constexpr duration kNodeSilence = Seconds(3);
// Nodes that have to find an engine unreachable, so that one that is cut off
// does not speak for all.
constexpr int64_t kReportersNeeded = 2;
// What a node urgently wants is in its digests from then on.
constexpr duration kUrgentHolds = Milliseconds(500);
// Requests running at a replica beyond which another replica helps.
constexpr int64_t kRunningPerReplica = 6;
// Requests a second that call for a second replica, against the loss of one.
constexpr double kRateForSecondReplica = 0.7;
// Time that an adapter takes to load while few are under way (site's sheet),
// with a margin for the answer's way.
constexpr duration kAdapterLoad = Milliseconds(9);
// An order that has not shown its effect is asked after at this interval.
constexpr duration kAskInterval = Milliseconds(250);
// A report may be this old when it comes (site's sheet), with a margin.
constexpr duration kReportLag = Milliseconds(800);
// An entry may miss what was ordered within this time (interval of the
// engines' updates, with a margin).
constexpr duration kEntryLag = Seconds(2);
// A planned load is dropped if its room is not free by then.
constexpr duration kIntentPatience = Seconds(10);
// Worth of a waiting request in units of requests a second, so that it
// displaces all but busy models.
constexpr double kWaitingWorth = 5.0;
// What it costs to drop a model with running requests: the usual time until
// they have ended, in seconds.
constexpr double kRunningWorth = 1.2;
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
  if (!engine.present || engine.entry.draining || engine.unreachable)
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

bool placement_planner::OnTheWay(const model_id& model) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
    const engine_state& engine = item.second;
    if (!Usable(engine))
      return false;
    if (engine.intent == model)
      return true;
    return engine.pending && engine.pending->order.kind == order_kind::load &&
           engine.pending->order.adapter.empty() &&
           engine.pending->order.model == model;
  });
}

int64_t placement_planner::ReplicaCount(const model_id& model) const {
  return std::count_if(engines_.begin(), engines_.end(), [&](const auto& item) {
    const engine_state& engine = item.second;
    const bool closing = engine.pending &&
                         engine.pending->order.kind == order_kind::unload &&
                         engine.pending->order.adapter.empty() &&
                         engine.pending->order.model == model;
    return Usable(engine) && Resident(engine, model) && !closing;
  });
}

int64_t placement_planner::RunningOn(const engine_state& engine) const {
  int64_t running = 0;
  for (const model_id& model : engine.residents)
    running += RunningOn(engine, model);
  return running;
}

int64_t placement_planner::RunningOn(const engine_state& engine,
                                     const model_id& model) const {
  int64_t running = 0;
  for (const auto& [node, report] : nodes_) {
    const auto found = report.running.find({engine.entry.id, model});
    if (found != report.running.end())
      running += found->second;
  }
  return running;
}

double placement_planner::RateOf(const model_id& model, time_point now) const {
  const auto found = models_.find(model);
  if (found == models_.end())
    return 0;
  const double age = ToSeconds(now - found->second.rate_at);
  return found->second.rate * std::exp(-age / kRateSeconds);
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
    value += rate + 0.01;
  const auto found = models_.find(model);
  if (found != models_.end()) {
    if (replicas <= 1 && found->second.waiting > 0)
      value += kWaitingWorth;
  }
  // An unload waits for what runs.
  if (RunningOn(engine, model) > 0)
    value += kRunningWorth;
  if (!engine.copies.contains(model))
    value += 0.2;
  return value;
}

void placement_planner::Refill(time_point now) {
  const double elapsed = ToSeconds(now - store_filled_at_);
  store_filled_at_ = now;
  store_tokens_ =
      std::min(store_tokens_ + elapsed * spec_.loads_per_second, kStoreBurst);
}

// Loads from the weight store under way, and those that begin once there is
// room for them.
int64_t placement_planner::StoreLoads() const {
  return std::count_if(engines_.begin(), engines_.end(), [&](const auto& item) {
    const engine_state& engine = item.second;
    if (engine.intent)
      return FromStore(engine, *engine.intent);
    return engine.pending && engine.pending->from_store;
  });
}

bool placement_planner::StoreHasRoom() const {
  return store_tokens_ >= 1.0 && StoreLoads() < store_parallel_;
}

void placement_planner::Begin(time_point now) {
  // Loads of the holder before count as begun just now.
  store_tokens_ = 0;
  store_filled_at_ = now;
  for (auto& [id, engine] : engines_) {
    engine.pending.reset();
    engine.intent.reset();
    engine.order_count.reset();
    engine.asked_at = time_point{};
  }
}

void placement_planner::OnEndpoints(const std::vector<endpoint_entry>& entries,
                                    time_point now) {
  for (auto& [id, engine] : engines_)
    engine.present = false;
  for (const endpoint_entry& entry : entries) {
    if (entry.service != service_)
      continue;
    engine_state& engine = engines_[entry.id];
    const bool restarted = engine.entry.started_at_ms != entry.started_at_ms;
    if (restarted) {
      const auto copies = std::move(engine.copies);
      engine = engine_state();
      // A restart keeps the disk.
      engine.copies = copies;
    }
    engine.present = true;
    const bool changed = restarted || engine.entry != entry;
    engine.entry = entry;
    if (changed)
      ApplyState(engine, entry.models, entry.in_memory, entry.on_disk, false,
                 now);
  }
  std::erase_if(engines_,
                [](const auto& item) { return !item.second.present; });
}

void placement_planner::OnReport(const endpoint_id& id,
                                 const engine_report& report,
                                 time_point now) {
  const auto found = engines_.find(id);
  if (found == engines_.end() ||
      report.started_at_ms != found->second.entry.started_at_ms)
    return;
  engine_state& engine = found->second;
  // A report is some hundred milliseconds old and may miss the last orders.
  if (engine.order_count && report.order_count < *engine.order_count)
    return;
  if (report.busy) {
    // An order is under way, perhaps that of another holder: what the engine
    // will hold is not known before it ends.
    if (engine.pending)
      engine.order_count = report.order_count;
    return;
  }
  engine.order_count = report.order_count;
  ApplyState(engine, report.models, report.in_memory, report.on_disk, true,
             now);
  if (!engine.pending)
    return;
  const pending_order& pending = *engine.pending;
  const bool counted =
      pending.accepted || report.order_count > pending.order.if_order_count;
  // An order that never arrived can be given again under the same count: if the
  // first one comes late, only one of the two is accepted.
  if (counted && pending.order.kind == order_kind::load &&
      !pending.order.adapter.empty())
    AddAdapter(engine, pending.order, now);
  if (counted || now - pending.sent_at > kReportLag)
    engine.pending.reset();
}

// An adapter that was ordered counts at once, though reports list it only when
// it has arrived.
void placement_planner::AddAdapter(engine_state& engine,
                                   const engine_order& order,
                                   time_point now) {
  auto& adapters = engine.adapters[order.model];
  const bool known = std::any_of(
      adapters.begin(), adapters.end(),
      [&](const adapter_state& a) { return a.adapter == order.adapter; });
  if (!known)
    adapters.push_back({order.adapter, now + kAdapterLoad, now, false});
}

// An entry may be older than the last orders, and engines drop nothing by
// themselves: only a report, or the end of an unload, takes a model away.
void placement_planner::ApplyState(engine_state& engine,
                                   const std::vector<resident_model>& models,
                                   const std::vector<model_id>& in_memory,
                                   const std::vector<model_id>& on_disk,
                                   bool is_report,
                                   time_point now) {
  std::vector<model_id> residents;
  std::map<model_id, std::vector<adapter_state>> adapters;
  for (const resident_model& model : models) {
    residents.push_back(model.model);
    engine.copies.insert(model.model);
    auto& merged = adapters[model.model];
    for (const adapter_id& adapter : model.adapters) {
      const auto dropped = engine.dropped.find({model.model, adapter});
      if (!is_report && dropped != engine.dropped.end() &&
          now - dropped->second < kEntryLag)
        continue;
      adapter_state state{adapter, time_point{}, now, true};
      for (const adapter_state& known : engine.adapters[model.model]) {
        if (known.adapter == adapter)
          state = known;
      }
      merged.push_back(state);
    }
    for (const adapter_state& known : engine.adapters[model.model]) {
      const bool listed_too = std::any_of(
          merged.begin(), merged.end(), [&](const adapter_state& state) {
            return state.adapter == known.adapter;
          });
      if (!listed_too && (!is_report || now - known.ready_at < kReportLag))
        merged.push_back(known);
    }
  }
  const std::vector<model_id> listed = residents;
  const auto has = [&listed](const model_id& model) {
    return std::find(listed.begin(), listed.end(), model) != listed.end();
  };
  const bool settles = engine.pending && engine.pending->accepted &&
                       engine.pending->order.adapter.empty();
  const model_id ordered = settles ? engine.pending->order.model : model_id();
  const bool load = settles && engine.pending->order.kind == order_kind::load;
  if (!is_report) {
    for (const model_id& known : engine.residents) {
      const bool unloaded = settles && !load && known == ordered;
      if (!has(known) && !unloaded) {
        residents.push_back(known);
        adapters[known] = engine.adapters[known];
      }
    }
  }
  engine.residents = std::move(residents);
  engine.adapters = std::move(adapters);
  if (!in_memory.empty() || !on_disk.empty()) {
    engine.copies = std::set<model_id>(on_disk.begin(), on_disk.end());
    engine.copies.insert(in_memory.begin(), in_memory.end());
    engine.hot_copies = std::set<model_id>(in_memory.begin(), in_memory.end());
  }
  if (settles && has(ordered) == load) {
    if (engine.pending->from_store)
      NoteStoreLoad(*engine.pending, now);
    if (load)
      Announce(engine, ordered, {}, load_change::ready, {});
    engine.pending.reset();
  }
}

void placement_planner::NoteStoreLoad(const pending_order& order,
                                      time_point now) {
  const model_spec* spec = Spec(order.order.model);
  if (spec == nullptr)
    return;
  const double slowness =
      ToSeconds(now - order.sent_at) / ToSeconds(spec->store_load);
  if (slowness > kSlowLoadFactor)
    store_parallel_ = std::max(store_parallel_ - 1, kLeastStoreLoads);
}

void placement_planner::OnDigest(const peer_digest& digest, time_point now) {
  node_report& report = nodes_[digest.node];
  // A zone's new speaker has counts of its own.
  const bool new_speaker =
      digest.whole_zone && report.incarnation != digest.incarnation;
  report.heard_at = now;
  report.incarnation = digest.incarnation;
  report.unreachable = digest.unreachable;
  report.whole_zone = digest.whole_zone;
  report.running.clear();
  for (const endpoint_use& use : digest.endpoints)
    report.running[{use.endpoint, use.model}] = use.running;
  for (auto& [key, use] : report.uses)
    use.waiting = 0;
  for (const model_use& use : digest.models) {
    const model_key key{use.model, use.adapter};
    const auto known = report.uses.find(key);
    const int64_t before =
        known == report.uses.end() ? 0 : known->second.arrivals;
    // A smaller count is that of a new process.
    int64_t fresh =
        use.arrivals >= before ? use.arrivals - before : use.arrivals;
    if (new_speaker)
      fresh = std::min<int64_t>(fresh, 1);
    report.uses[key] = use;
    if (fresh == 0)
      continue;
    model_state& model = models_[use.model];
    const double rate = RateOf(use.model, now);
    model.rate = rate + static_cast<double>(fresh) / kRateSeconds;
    model.rate_at = now;
    if (use.adapter.empty())
      continue;
    for (auto& [id, engine] : engines_) {
      for (adapter_state& adapter : engine.adapters[use.model]) {
        if (adapter.adapter == use.adapter)
          adapter.last_used = now;
      }
    }
  }
}

void placement_planner::OnWants(const peer_digest& digest, time_point now) {
  for (const model_use& use : digest.models) {
    if (use.waiting > 0)
      urgent_[{use.model, use.adapter}] = {use.waiting, now};
  }
}

void placement_planner::ForgetNode(const vm_id& node) {
  nodes_.erase(node);
}

void placement_planner::CountDemand(time_point now) {
  for (auto& [id, model] : models_)
    model.waiting = model.running = 0;
  adapters_waiting_.clear();
  std::map<endpoint_id, int64_t> unreachable;
  for (const auto& [node, report] : nodes_) {
    if (now - report.heard_at > kNodeSilence)
      continue;
    for (const endpoint_id& engine : report.unreachable)
      unreachable[engine] += report.whole_zone ? kReportersNeeded : 1;
  }
  for (auto& [id, engine] : engines_)
    engine.unreachable = unreachable[id] >= kReportersNeeded;
  for (const auto& [node, report] : nodes_) {
    if (now - report.heard_at > kNodeSilence)
      continue;
    for (const auto& [key, use] : report.uses) {
      models_[key.first].waiting += use.waiting;
      if (!key.second.empty() && use.waiting > 0)
        adapters_waiting_[key] += use.waiting;
    }
  }
  std::erase_if(urgent_, [&](const auto& item) {
    return now - item.second.heard_at > kUrgentHolds;
  });
  for (const auto& [key, want] : urgent_) {
    int64_t& waiting = models_[key.first].waiting;
    waiting = std::max(waiting, want.waiting);
    if (!key.second.empty()) {
      int64_t& for_adapter = adapters_waiting_[key];
      for_adapter = std::max(for_adapter, want.waiting);
    }
  }
  for (const auto& [id, engine] : engines_) {
    for (const model_id& model : engine.residents)
      models_[model].running += RunningOn(engine, model);
  }
}

std::vector<engine_order> placement_planner::Plan(time_point now) {
  Refill(now);
  CountDemand(now);
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
      engine.intent.reset();
      continue;
    }
    if (UsedMemory(engine) + spec->weight_mb <= spec_.weight_mb) {
      if (FromStore(engine, model) && store_tokens_ < 1.0)
        continue;
      engine.intent.reset();
      Give(engine, order_kind::load, model, {}, now, orders);
    } else if (const auto victim = Victim(engine, model, now)) {
      Give(engine, order_kind::unload, victim->first, {}, now, orders);
    } else {
      engine.intent.reset();
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
                              bool allow_store,
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
    if (FromStore(engine, model) && (!allow_store || !StoreHasRoom()))
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
                        0.02 * static_cast<double>(RunningOn(engine));
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
  best->intent = model;
  best->intent_until = now + kIntentPatience;
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
    if (!Place(id, worth, true, now, orders))
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
  const int64_t rounds = (StoreLoads() + queued) / store_parallel_ + 1;
  const duration time = copied ? spec->disk_load : spec->store_load * rounds;
  load_notice notice;
  notice.model = model;
  notice.change = load_change::loading;
  notice.ready_in_ms = ToMilliseconds(time);
  notices_.push_back(std::move(notice));
}

void placement_planner::PlaceReplicas(time_point now,
                                      std::vector<engine_order>& orders) {
  for (const auto& [id, model] : models_) {
    const int64_t replicas = ReplicaCount(id);
    if (replicas == 0 || OnTheWay(id))
      continue;
    const double rate = RateOf(id, now);
    const bool exposed = replicas < 2 && rate >= kRateForSecondReplica;
    const bool crowded = model.running > kRunningPerReplica * replicas;
    if (exposed || crowded)
      Place(id, rate / static_cast<double>(replicas + 1), true, now, orders);
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
    if (StoreLoads() >= kCopyLoadsAtOnce || !StoreHasRoom())
      return;
    const bool somewhere =
        std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
          return Usable(item.second) &&
                 (item.second.copies.contains(spec.model) ||
                  Resident(item.second, spec.model));
        });
    if (!somewhere && !OnTheWay(spec.model))
      Place(spec.model, kRateForSecondReplica, true, now, orders);
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
  for (const auto& [key, waiting] : adapters_waiting_)
    PlaceAdapter(key, now, orders);
}

void placement_planner::PlaceAdapter(const model_key& key,
                                     time_point now,
                                     std::vector<engine_order>& orders) {
  engine_state* best = nullptr;
  int64_t best_count = std::numeric_limits<int64_t>::max();
  for (auto& [id, engine] : engines_) {
    if (!Usable(engine) || !Resident(engine, key.first))
      continue;
    auto& known = engine.adapters[key.first];
    const auto held = std::find_if(
        known.begin(), known.end(),
        [&](const adapter_state& a) { return a.adapter == key.second; });
    if (held != known.end()) {
      // The node that waits may have missed the notice.
      if (held->announced && now - held->ready_at > Milliseconds(100) &&
          now - held->last_used > Milliseconds(100)) {
        held->last_used = now;
        Announce(engine, key.first, key.second, load_change::ready, {});
      }
      return;
    }
    if (!Idle(engine, now))
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
  if (best_count < spec_.adapter_slots) {
    Give(*best, order_kind::load, key.first, key.second, now, orders);
    return;
  }
  // The adapter used longest ago makes way.
  const adapter_state* oldest = nullptr;
  model_id oldest_model;
  for (const auto& [model, adapters] : best->adapters) {
    for (const adapter_state& adapter : adapters) {
      if (oldest == nullptr || adapter.last_used < oldest->last_used) {
        oldest = &adapter;
        oldest_model = model;
      }
    }
  }
  if (oldest != nullptr)
    Give(*best, order_kind::unload, oldest_model, oldest->adapter, now, orders);
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
}

void placement_planner::OnOrderAnswer(const engine_order& order,
                                      order_verdict verdict,
                                      time_point now) {
  const auto found = engines_.find(order.endpoint);
  if (found == engines_.end() || !found->second.pending ||
      found->second.pending->order != order)
    return;
  engine_state& engine = found->second;
  const bool for_adapter = !order.adapter.empty();
  auto& adapters = engine.adapters[order.model];
  switch (verdict) {
    case order_verdict::accepted:
    case order_verdict::already_holds:
      engine.pending->accepted = true;
      if (verdict == order_verdict::accepted ||
          (for_adapter && order.kind == order_kind::unload))
        engine.order_count = order.if_order_count.value_or(0) + 1;
      if (for_adapter && order.kind == order_kind::load)
        AddAdapter(engine, order, now);
      if (for_adapter && order.kind == order_kind::unload) {
        engine.dropped[{order.model, order.adapter}] = now;
        std::erase_if(adapters, [&](const adapter_state& a) {
          return a.adapter == order.adapter;
        });
      }
      if (for_adapter || verdict == order_verdict::already_holds)
        engine.pending.reset();
      return;
    case order_verdict::no_answer:
      // It may still take effect; its state is asked for until it shows.
      engine.pending->expected_at = now;
      engine.asked_at = now;
      return;
    case order_verdict::conflict:
    case order_verdict::invalid:
    case order_verdict::other_endpoint:
    case order_verdict::fenced:
      if (verdict == order_verdict::conflict)
        engine.order_count.reset();
      // What was said to be dropped stays.
      if (order.kind == order_kind::unload && Resident(engine, order.model))
        Announce(engine, order.model, order.adapter, load_change::ready, {});
      engine.pending.reset();
      engine.intent.reset();
      engine.distrusted_until = now + kAskInterval;
      engine.asked_at = time_point{};
      return;
  }
}

std::vector<load_notice> placement_planner::TakeNotices() {
  return std::exchange(notices_, {});
}

std::vector<endpoint_id> placement_planner::EnginesToAsk(time_point now) {
  std::vector<endpoint_id> engines;
  for (auto& [id, engine] : engines_) {
    const bool overdue =
        engine.pending && now > engine.pending->expected_at + kAskInterval;
    const bool unsure = now < engine.distrusted_until || !engine.order_count;
    if ((overdue || unsure) && now - engine.asked_at >= kAskInterval) {
      engine.asked_at = now;
      engines.push_back(id);
    }
  }
  return engines;
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
