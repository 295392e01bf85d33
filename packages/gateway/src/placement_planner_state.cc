// The planner's state of engines and demand. The decisions are in
// placement_planner.cc.

#include "jasminepath/gateway/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminepath::gateway {
namespace {

// Minimum number of concurrent loads from the weight store, however slow they
// are.
constexpr int64_t kMinParallelStoreLoads = 2;
// A load that takes longer than this multiple of its nominal time indicates too
// many concurrent loads.
constexpr double kSlowLoadFactor = 1.3;
// Averaging time of request rates: long enough for rarely used models, short
// enough to follow shifts of demand.
constexpr double kRateAverageSeconds = 10.0;
// Validity of a node's urgent demand; after this time the demand is included in
// its digests.
constexpr duration kUrgentDemandValidity = Milliseconds(500);
// Load time of an adapter while few loads are in progress (from the site's data
// sheet), with a margin for the transfer of the answer.
constexpr duration kAdapterLoadTime = Milliseconds(9);
// Interval of state queries for an order whose effect is not visible yet.
constexpr duration kQueryInterval = Milliseconds(250);
// Maximum age of a report on arrival (from the site's data sheet), with a
// margin.
constexpr duration kMaxReportLag = Milliseconds(800);
// Maximum age of an entry: the interval at which engines update their entries,
// with a margin.
constexpr duration kMaxEntryLag = Seconds(2);

}  // namespace

int64_t placement_planner::RunningOn(const engine_state& engine) const {
  int64_t running = 0;
  for (const auto& [model, count] : engine.running)
    running += count;
  return running;
}

int64_t placement_planner::RunningOn(const engine_state& engine,
                                     const model_id& model) const {
  const auto found = engine.running.find(model);
  return found == engine.running.end() ? 0 : found->second;
}

double placement_planner::RateOf(const model_id& model, time_point now) const {
  const auto found = models_.find(model);
  if (found == models_.end())
    return 0;
  const double age = ToSeconds(now - found->second.rate_at);
  return found->second.rate * std::exp(-age / kRateAverageSeconds);
}

void placement_planner::Begin(time_point now) {
  // Loads of the previous holder count as started just now.
  store_tokens_ = 0;
  store_filled_at_ = now;
  for (auto& [id, engine] : engines_) {
    engine.pending.reset();
    engine.planned_load.reset();
    engine.order_count.reset();
    engine.queried_at = time_point{};
  }
}

void placement_planner::OnEndpoints(const std::vector<endpoint_entry>& entries,
                                    time_point now) {
  std::set<endpoint_id> listed;
  for (const endpoint_entry& entry : entries) {
    listed.insert(entry.id);
    ApplyEntry(entry, now);
  }
  std::erase_if(engines_, [&listed](const auto& item) {
    return !listed.contains(item.first);
  });
}

void placement_planner::OnChanges(const endpoint_changes& changes,
                                  time_point now) {
  for (const endpoint_id& id : changes.removed)
    engines_.erase(id);
  for (const endpoint_entry& entry : changes.listed)
    ApplyEntry(entry, now);
}

void placement_planner::ApplyEntry(const endpoint_entry& entry,
                                   time_point now) {
  if (entry.service != service_) {
    engines_.erase(entry.id);
    return;
  }
  engine_state& engine = engines_[entry.id];
  const bool restarted = engine.entry.started_at_ms != entry.started_at_ms;
  if (restarted) {
    const auto copies = std::move(engine.copies);
    engine = engine_state();
    // The copies on disk survive a restart.
    engine.copies = copies;
  }
  const bool changed = restarted || engine.entry != entry;
  engine.entry = entry;
  if (changed)
    ApplyState(engine, entry.models, entry.in_memory, entry.on_disk, false,
               now);
}

void placement_planner::OnReport(const endpoint_id& id,
                                 const engine_report& report,
                                 time_point now) {
  const auto found = engines_.find(id);
  if (found == engines_.end() ||
      report.started_at_ms != found->second.entry.started_at_ms)
    return;
  engine_state& engine = found->second;
  // Reports are some hundred milliseconds old and may miss the last orders.
  if (engine.order_count && report.order_count < *engine.order_count)
    return;
  if (report.busy) {
    // An order is executing, possibly one of another holder. The resulting
    // state is unknown until it ends.
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
  if (counted && pending.order.kind == order_kind::load &&
      !pending.order.adapter.empty())
    AddAdapter(engine, pending.order, now);
  // An order that never arrived can be repeated with the same order count: if
  // the first one arrives late, the engine accepts only one of the two.
  if (counted || now - pending.sent_at > kMaxReportLag)
    engine.pending.reset();
}

// An ordered adapter counts immediately, although reports list it only once it
// is loaded.
void placement_planner::AddAdapter(engine_state& engine,
                                   const engine_order& order,
                                   time_point now) {
  auto& adapters = engine.adapters[order.model];
  const bool known = std::any_of(
      adapters.begin(), adapters.end(),
      [&](const adapter_state& a) { return a.adapter == order.adapter; });
  if (!known)
    adapters.push_back({order.adapter, now + kAdapterLoadTime, now, false});
}

// Entries may be older than the last orders, and engines unload nothing on
// their own. Only a report or a completed unload removes a model.
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
          now - dropped->second < kMaxEntryLag)
        continue;
      adapter_state state{adapter, time_point{}, now, true};
      for (const adapter_state& known : engine.adapters[model.model]) {
        if (known.adapter == adapter)
          state = known;
      }
      merged.push_back(state);
    }
    for (const adapter_state& known : engine.adapters[model.model]) {
      const bool is_listed_too = std::any_of(
          merged.begin(), merged.end(), [&](const adapter_state& state) {
            return state.adapter == known.adapter;
          });
      if (!is_listed_too &&
          (!is_report || now - known.ready_at < kMaxReportLag))
        merged.push_back(known);
    }
  }
  const std::vector<model_id> listed = residents;
  const auto is_listed = [&listed](const model_id& model) {
    return std::find(listed.begin(), listed.end(), model) != listed.end();
  };
  const bool is_model_order_pending = engine.pending &&
                                      engine.pending->accepted &&
                                      engine.pending->order.adapter.empty();
  const model_id ordered =
      is_model_order_pending ? engine.pending->order.model : model_id();
  const bool is_load =
      is_model_order_pending && engine.pending->order.kind == order_kind::load;
  if (!is_report) {
    for (const model_id& known : engine.residents) {
      const bool unloaded =
          is_model_order_pending && !is_load && known == ordered;
      if (!is_listed(known) && !unloaded) {
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
    engine.memory_copies =
        std::set<model_id>(in_memory.begin(), in_memory.end());
  }
  if (is_model_order_pending && is_listed(ordered) == is_load) {
    if (engine.pending->from_store)
      RecordStoreLoad(*engine.pending, now);
    if (is_load)
      Announce(engine, ordered, {}, load_change::ready, {});
    engine.pending.reset();
  }
}

void placement_planner::RecordStoreLoad(const pending_order& order,
                                        time_point now) {
  const model_spec* spec = FindSpec(order.order.model);
  if (spec == nullptr)
    return;
  const double slowdown =
      ToSeconds(now - order.sent_at) / ToSeconds(spec->store_load);
  if (slowdown > kSlowLoadFactor)
    max_parallel_store_loads_ =
        std::max(max_parallel_store_loads_ - 1, kMinParallelStoreLoads);
}

void placement_planner::OnDigest(const peer_digest& digest, time_point now) {
  node_report& report = nodes_[digest.node];
  // A zone's new representative starts its own counts.
  const bool new_representative =
      digest.is_zone_digest && report.incarnation != digest.incarnation;
  report.last_received_at = now;
  report.incarnation = digest.incarnation;
  report.unreachable = digest.unreachable;
  report.is_zone_digest = digest.is_zone_digest;
  report.running.clear();
  for (const endpoint_usage& use : digest.endpoints)
    report.running[{use.endpoint, use.model}] = use.running;
  for (auto& [key, use] : report.uses)
    use.waiting = 0;
  for (const model_usage& use : digest.models) {
    const model_key key{use.model, use.adapter};
    const auto known = report.uses.find(key);
    const int64_t before =
        known == report.uses.end() ? 0 : known->second.arrivals;
    // A smaller count belongs to a restarted process.
    int64_t fresh =
        use.arrivals >= before ? use.arrivals - before : use.arrivals;
    if (new_representative)
      fresh = std::min<int64_t>(fresh, 1);
    report.uses[key] = use;
    if (fresh == 0)
      continue;
    model_state& model = models_[use.model];
    const double rate = RateOf(use.model, now);
    model.rate = rate + static_cast<double>(fresh) / kRateAverageSeconds;
    model.rate_at = now;
    if (use.adapter.empty())
      continue;
    for (auto& [id, engine] : engines_) {
      const auto held = engine.adapters.find(use.model);
      if (held == engine.adapters.end())
        continue;
      for (adapter_state& adapter : held->second) {
        if (adapter.adapter == use.adapter)
          adapter.last_used = now;
      }
    }
  }
}

void placement_planner::OnUrgentDemand(const peer_digest& digest,
                                       time_point now) {
  for (const model_usage& use : digest.models) {
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
    if (now - report.last_received_at > kDigestValidity)
      continue;
    for (const endpoint_id& engine : report.unreachable)
      unreachable[engine] +=
          report.is_zone_digest ? kMinUnreachableReporters : 1;
    for (const auto& [key, use] : report.uses) {
      models_[key.first].waiting += use.waiting;
      if (!key.second.empty() && use.waiting > 0)
        adapters_waiting_[key] += use.waiting;
    }
  }
  for (auto& [id, engine] : engines_)
    engine.unreachable = unreachable[id] >= kMinUnreachableReporters;
  std::erase_if(urgent_, [&](const auto& item) {
    return now - item.second.last_received_at > kUrgentDemandValidity;
  });
  for (const auto& [key, demand] : urgent_) {
    int64_t& waiting = models_[key.first].waiting;
    waiting = std::max(waiting, demand.waiting);
    if (!key.second.empty()) {
      int64_t& for_adapter = adapters_waiting_[key];
      for_adapter = std::max(for_adapter, demand.waiting);
    }
  }
  CountRunning();
}

void placement_planner::CountRunning() {
  for (auto& [id, engine] : engines_)
    engine.running.clear();
  for (const auto& [node, report] : nodes_) {
    for (const auto& [key, count] : report.running) {
      const auto engine = engines_.find(key.first);
      if (engine == engines_.end())
        continue;
      engine->second.running[key.second] += count;
      models_[key.second].running += count;
    }
  }
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
      // The order may still take effect; the engine's state is queried until
      // that is visible.
      engine.pending->expected_at = now;
      engine.queried_at = now;
      return;
    case order_verdict::conflict:
    case order_verdict::invalid:
    case order_verdict::other_endpoint:
    case order_verdict::fenced:
      if (verdict == order_verdict::conflict)
        engine.order_count.reset();
      // The unload was announced but does not take place.
      if (order.kind == order_kind::unload && IsResident(engine, order.model))
        Announce(engine, order.model, order.adapter, load_change::ready, {});
      engine.pending.reset();
      engine.planned_load.reset();
      engine.state_uncertain_until = now + kQueryInterval;
      engine.queried_at = time_point{};
      return;
  }
}

std::vector<load_notice> placement_planner::TakeNotices() {
  return std::exchange(notices_, {});
}

std::vector<endpoint_id> placement_planner::TakeEnginesToQuery(time_point now) {
  std::vector<endpoint_id> engines;
  for (auto& [id, engine] : engines_) {
    const bool overdue =
        engine.pending && now > engine.pending->expected_at + kQueryInterval;
    const bool is_uncertain =
        now < engine.state_uncertain_until || !engine.order_count;
    if ((overdue || is_uncertain) &&
        now - engine.queried_at >= kQueryInterval) {
      engine.queried_at = now;
      engines.push_back(id);
    }
  }
  return engines;
}

}  // namespace jasminepath::gateway
