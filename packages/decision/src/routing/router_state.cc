#include "routing/router_state.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

namespace {

constexpr uint32_t kNone = prefix_index::kNone;
// Pools up to this size are scanned completely.
constexpr std::size_t kMaxFullScanPoolSize = 8;
// Number of endpoints compared in a larger pool, and the maximum number of
// random draws to find them.
constexpr int kLoadCandidates = 2;
constexpr int kMaxDraws = 8;
// Maximum number of endpoints sampled for the mean load of a pool.
constexpr std::size_t kMeanLoadSampleSize = 16;
constexpr std::size_t kMaxAdapterNeeds = 256;
// Minimum time between two requests for the same adapter, so that it is
// requested at one endpoint at a time.
constexpr duration kAdapterRetryInterval = Seconds(1);

}  // namespace

router::state::state(zone_id zone, random_engine random, routing_limits limits)
    : zone_(std::move(zone)),
      random_(random),
      limits_(limits),
      prefixes_(limits.prefixes_per_endpoint) {}

void router::state::OnConfiguration(const config::configuration& source) {
  for (endpoint_entry& entry : endpoints_)
    entry.is_configured = false;
  std::unordered_map<model_id, std::optional<time_point>> ready_at;
  for (const auto& [model, number] : model_pools_)
    ready_at[model] = pools_[number].ready_at;
  pools_.clear();
  model_pools_.clear();
  service_pools_.clear();
  for (const config::service& service : source.services) {
    std::vector<uint32_t> members;
    for (const config::endpoint& endpoint : service.endpoints) {
      const auto next = static_cast<uint32_t>(endpoints_.size());
      const auto [known, added] = numbers_.try_emplace(endpoint.id, next);
      if (added)
        endpoints_.emplace_back();
      endpoint_entry& entry = endpoints_[known->second];
      entry.endpoint = endpoint;
      entry.service = service.id;
      entry.concurrency = service.endpoint_concurrency;
      entry.is_configured = true;
      entry.is_same_zone = endpoint.zone == zone_;
      entry.is_leaving = leaving_vms_.contains(endpoint.vm) ||
                         removed_vms_.contains(endpoint.vm);
      members.push_back(known->second);
    }
    pool common;
    common.service = service.id;
    common.is_plain = service.kind == config::service_kind::plain;
    common.endpoints = std::move(members);
    if (common.is_plain) {
      service_pools_[service.id] = static_cast<uint32_t>(pools_.size());
      pools_.push_back(std::move(common));
      continue;
    }
    for (const config::model& model : service.models) {
      pool members_of_model = common;
      members_of_model.model = model.id;
      members_of_model.version = model.version;
      members_of_model.ready_at = ready_at[model.id];
      model_pools_[model.id] = static_cast<uint32_t>(pools_.size());
      pools_.push_back(std::move(members_of_model));
    }
  }
}

void router::state::OnEndpointStatus(const endpoint_status& status,
                                     time_point now) {
  const uint32_t number = FindNumber(status.endpoint);
  if (number == kNone)
    return;
  endpoint_entry& entry = endpoints_[number];
  const time_point observed_at = now - status.age;
  if (observed_at < entry.observed_at)
    return;
  entry.observed_at = observed_at;
  if (entry.incarnation != status.incarnation) {
    entry.incarnation = status.incarnation;
    entry.health.Reset();
    prefixes_.Clear(number);
    MarkStale(entry);
  }
  entry.load.OnReport(status.load.running + status.load.waiting,
                      observed_at - status.load.age);
  std::vector<ready_model> ready;
  for (const resident_model& listed : status.models) {
    if (listed.state == resident_state::resident)
      ready.push_back({listed.model, listed.version, listed.adapters});
  }
  const bool is_unchanged = std::equal(
      ready.begin(), ready.end(), entry.ready.begin(), entry.ready.end(),
      [](const ready_model& a, const ready_model& b) {
        return a.model == b.model && a.version == b.version;
      });
  // MarkStale uses `entry.ready`, so it is called for the old and for the new
  // list.
  if (!is_unchanged)
    MarkStale(entry);
  entry.ready = std::move(ready);
  if (!is_unchanged)
    MarkStale(entry);
}

void router::state::OnEndpointUnreachable(const endpoint_id& endpoint,
                                          time_point now) {
  const uint32_t number = FindNumber(endpoint);
  if (number == kNone)
    return;
  endpoints_[number].health.OnPollFailed(now, limits_);
  MarkStale(endpoints_[number]);
}

void router::state::OnVmList(const std::vector<vm_id>& leaving,
                             const std::vector<vm_id>& live) {
  std::set<vm_id> listed(live.begin(), live.end());
  listed.insert(leaving.begin(), leaving.end());
  for (const vm_id& vm : listed_vms_) {
    if (!listed.contains(vm))
      removed_vms_.insert(vm);
  }
  for (const vm_id& vm : listed)
    removed_vms_.erase(vm);
  listed_vms_ = std::move(listed);
  leaving_vms_ = std::set<vm_id>(leaving.begin(), leaving.end());
  for (endpoint_entry& entry : endpoints_) {
    const vm_id& vm = entry.endpoint.vm;
    const bool is_leaving =
        leaving_vms_.contains(vm) || removed_vms_.contains(vm);
    if (is_leaving == entry.is_leaving)
      continue;
    entry.is_leaving = is_leaving;
    MarkStale(entry);
  }
}

void router::state::OnCacheEvents(const std::vector<cache_event>& events) {
  for (const cache_event& event : events) {
    const uint32_t number = FindNumber(event.endpoint);
    if (number == kNone)
      continue;
    endpoint_entry& entry = endpoints_[number];
    if (event.incarnation != entry.cache_incarnation) {
      prefixes_.Clear(number);
      entry.cache_incarnation = event.incarnation;
      entry.cache_sequence = event.sequence - 1;
    }
    if (event.sequence <= entry.cache_sequence)
      continue;
    // A gap may have hidden a removal. A wrong hint costs one prefill and is
    // then corrected, so the other hints are kept.
    entry.cache_sequence = event.sequence;
    switch (event.change) {
      case cache_change::stored:
        prefixes_.Add(number, event.prefix_hash);
        break;
      case cache_change::removed:
        prefixes_.Remove(number, event.prefix_hash);
        break;
      case cache_change::cleared:
        prefixes_.Clear(number);
        break;
    }
  }
}

void router::state::OnReplicaReady(const model_id& model,
                                   const endpoint_id& endpoint,
                                   time_point) {
  const uint32_t number = FindNumber(endpoint);
  const auto found = model_pools_.find(model);
  if (number == kNone || found == model_pools_.end())
    return;
  endpoint_entry& entry = endpoints_[number];
  if (FindReady(entry, model) != nullptr)
    return;
  entry.ready.push_back({model, pools_[found->second].version, {}});
  MarkStale(entry);
}

void router::state::OnLoadEstimate(const model_id& model,
                                   duration estimate,
                                   time_point now) {
  const auto found = model_pools_.find(model);
  if (found == model_pools_.end())
    return;
  std::optional<time_point>& ready_at = pools_[found->second].ready_at;
  ready_at.reset();
  if (estimate >= duration::zero())
    ready_at = now + estimate;
}

routing_choice router::state::Pick(const routing_query& query, time_point now) {
  pool* members = FindPool(query);
  if (members == nullptr)
    return {};
  if (members->is_stale)
    RebuildRotation(*members);
  uint32_t number = PickProbe(*members, query, now);
  if (number == kNone)
    number = PickByPrefix(*members, query, now);
  if (number == kNone)
    number = PickByLoad(members->in_rotation, query, now);
  if (number == kNone)
    number = PickOutOfRotation(*members, query);
  if (number == kNone)
    return {ExplainNoChoice(*members, query, now), {}, {}};
  return MakeChoice(number, query, now);
}

void router::state::OnDispatched(const endpoint_id& endpoint,
                                 const routing_query& query,
                                 time_point now) {
  const uint32_t number = FindNumber(endpoint);
  if (number == kNone)
    return;
  endpoints_[number].load.OnBegin(now);
  if (query.prefix_hash != 0)
    prefixes_.Add(number, query.prefix_hash);
}

void router::state::OnFinished(const endpoint_id& endpoint,
                               attempt_end end,
                               time_point now) {
  const uint32_t number = FindNumber(endpoint);
  if (number == kNone)
    return;
  endpoint_entry& entry = endpoints_[number];
  entry.load.OnEnd(now);
  const auto before = entry.health.StageAt(now);
  entry.health.OnEnd(end, entry.load.outstanding(), now, limits_);
  if (entry.health.StageAt(now) != before)
    MarkStale(entry);
}

bool router::state::ShouldUseNewConnection(const endpoint_id& endpoint) const {
  const uint32_t number = FindNumber(endpoint);
  return number != kNone && endpoints_[number].health.ShouldUseNewConnection();
}

std::vector<adapter_need> router::state::TakeAdapterNeeds() {
  return std::exchange(adapter_needs_, {});
}

bool router::state::HasReadyReplica(const model_id& model) const {
  const auto found = model_pools_.find(model);
  if (found == model_pools_.end())
    return false;
  const pool& members = pools_[found->second];
  return std::any_of(members.endpoints.begin(), members.endpoints.end(),
                     [this, &members](uint32_t number) {
                       return CanServe(endpoints_[number], members);
                     });
}

std::vector<endpoint_routing_status> router::state::Status(
    time_point now) const {
  std::vector<endpoint_routing_status> lines;
  for (const endpoint_entry& entry : endpoints_) {
    if (!entry.is_configured)
      continue;
    endpoint_routing_status line;
    line.endpoint = entry.endpoint.id;
    switch (entry.health.StageAt(now)) {
      case endpoint_health::stage::in_use:
        line.rotation = endpoint_rotation::in_use;
        break;
      case endpoint_health::stage::ejected:
        line.rotation = endpoint_rotation::ejected;
        break;
      case endpoint_health::stage::probing:
        line.rotation = endpoint_rotation::probing;
        break;
    }
    if (entry.is_leaving)
      line.rotation = endpoint_rotation::leaving;
    line.outstanding = entry.load.outstanding();
    line.load = entry.load.load();
    for (const ready_model& model : entry.ready)
      line.ready.push_back(model.model);
    lines.push_back(std::move(line));
  }
  return lines;
}

uint32_t router::state::FindNumber(const endpoint_id& endpoint) const {
  const auto found = numbers_.find(endpoint);
  return found == numbers_.end() ? kNone : found->second;
}

router::state::pool* router::state::FindPool(const routing_query& query) {
  if (query.model.empty()) {
    const auto found = service_pools_.find(query.service);
    return found == service_pools_.end() ? nullptr : &pools_[found->second];
  }
  const auto found = model_pools_.find(query.model);
  return found == model_pools_.end() ? nullptr : &pools_[found->second];
}

const router::state::ready_model* router::state::FindReady(
    const endpoint_entry& entry,
    const model_id& model) const {
  for (const ready_model& ready : entry.ready) {
    if (ready.model == model)
      return &ready;
  }
  return nullptr;
}

void router::state::MarkStale(const endpoint_entry& entry) {
  const auto plain = service_pools_.find(entry.service);
  if (plain != service_pools_.end())
    pools_[plain->second].is_stale = true;
  for (const ready_model& model : entry.ready) {
    const auto found = model_pools_.find(model.model);
    if (found != model_pools_.end())
      pools_[found->second].is_stale = true;
  }
}

bool router::state::CanServe(const endpoint_entry& entry,
                             const pool& members) const {
  if (entry.is_leaving || !entry.is_configured)
    return false;
  return members.is_plain || FindReady(entry, members.model) != nullptr;
}

void router::state::RebuildRotation(pool& members) {
  members.is_stale = false;
  members.in_rotation.clear();
  members.out_of_rotation.clear();
  for (const uint32_t number : members.endpoints) {
    const endpoint_entry& entry = endpoints_[number];
    if (!CanServe(entry, members))
      continue;
    (entry.health.IsOutOfRotation() ? members.out_of_rotation
                                    : members.in_rotation)
        .push_back(number);
  }
}

bool router::state::CanAccept(uint32_t number,
                              const routing_query& query,
                              time_point) const {
  const endpoint_entry& entry = endpoints_[number];
  if (entry.load.load() >= entry.concurrency)
    return false;
  return std::find(query.avoid.begin(), query.avoid.end(), entry.endpoint.id) ==
         query.avoid.end();
}

double router::state::Score(uint32_t number, const routing_query& query) const {
  const endpoint_entry& entry = endpoints_[number];
  auto score = static_cast<double>(entry.load.load());
  if (!entry.is_same_zone)
    score += limits_.other_zone_penalty;
  if (query.adapter.empty())
    return score;
  const ready_model* ready = FindReady(entry, query.model);
  const bool resident =
      ready != nullptr &&
      std::find(ready->adapters.begin(), ready->adapters.end(),
                query.adapter) != ready->adapters.end();
  return resident ? score : score + limits_.missing_adapter_penalty;
}

double router::state::MeanLoad(const pool& members) const {
  const std::size_t count =
      std::min(members.in_rotation.size(), kMeanLoadSampleSize);
  if (count == 0)
    return 0;
  const std::size_t stride = members.in_rotation.size() / count;
  int64_t sum = 0;
  for (std::size_t i = 0; i < count; ++i)
    sum += endpoints_[members.in_rotation[i * stride]].load.load();
  return static_cast<double>(sum) / static_cast<double>(count);
}

uint32_t router::state::PickByPrefix(const pool& members,
                                     const routing_query& query,
                                     time_point now) const {
  if (query.prefix_hash == 0)
    return kNone;
  const prefix_index::holders* holders = prefixes_.Find(query.prefix_hash);
  if (holders == nullptr)
    return kNone;
  const double bound = limits_.affinity_load_factor * (MeanLoad(members) + 1);
  candidate best;
  for (const uint32_t number : *holders) {
    if (number == kNone)
      break;
    const endpoint_entry& entry = endpoints_[number];
    const bool usable =
        CanServe(entry, members) &&
        entry.health.StageAt(now) == endpoint_health::stage::in_use;
    if (usable && static_cast<double>(entry.load.load()) <= bound)
      Consider(number, query, now, best);
  }
  return best.number;
}

uint32_t router::state::PickProbe(const pool& members,
                                  const routing_query& query,
                                  time_point now) const {
  for (const uint32_t number : members.out_of_rotation) {
    const endpoint_entry& entry = endpoints_[number];
    const bool due =
        entry.health.StageAt(now) == endpoint_health::stage::probing &&
        entry.load.outstanding() == 0;
    if (due && CanAccept(number, query, now))
      return number;
  }
  return kNone;
}

uint32_t router::state::PickByLoad(const std::vector<uint32_t>& members,
                                   const routing_query& query,
                                   time_point now) {
  candidate best;
  if (members.size() > kMaxFullScanPoolSize) {
    int found = 0;
    for (int draw = 0; draw < kMaxDraws && found < kLoadCandidates; ++draw) {
      const uint32_t number = members[random_() % members.size()];
      if (!CanAccept(number, query, now))
        continue;
      ++found;
      Consider(number, query, now, best);
    }
    if (best.number != kNone)
      return best.number;
  }
  for (const uint32_t number : members)
    Consider(number, query, now, best);
  return best.number;
}

uint32_t router::state::PickOutOfRotation(const pool& members,
                                          const routing_query& query) const {
  if (!members.in_rotation.empty())
    return kNone;
  candidate best;
  for (const uint32_t number : members.out_of_rotation)
    Consider(number, query, time_point(), best);
  return best.number;
}

void router::state::Consider(uint32_t number,
                             const routing_query& query,
                             time_point now,
                             candidate& best) const {
  if (!CanAccept(number, query, now))
    return;
  const double score = Score(number, query);
  if (best.number != kNone && best.score <= score)
    return;
  best = {number, score};
}

routing_verdict router::state::ExplainNoChoice(const pool& members,
                                               const routing_query& query,
                                               time_point now) const {
  const bool ready =
      !members.in_rotation.empty() || !members.out_of_rotation.empty();
  if (ready)
    return routing_verdict::wait;
  const auto usable = [this](uint32_t number) {
    return endpoints_[number].is_configured && !endpoints_[number].is_leaving;
  };
  const bool any_left =
      std::any_of(members.endpoints.begin(), members.endpoints.end(), usable);
  if (members.is_plain || !any_left)
    return routing_verdict::no_endpoint;
  const bool too_late = members.ready_at && *members.ready_at > now &&
                        *members.ready_at > query.deadline;
  return too_late ? routing_verdict::cannot_meet_deadline
                  : routing_verdict::wait;
}

routing_choice router::state::MakeChoice(uint32_t number,
                                         const routing_query& query,
                                         time_point now) {
  const endpoint_entry& entry = endpoints_[number];
  if (!query.adapter.empty()) {
    const ready_model* ready = FindReady(entry, query.model);
    const bool resident =
        ready != nullptr &&
        std::find(ready->adapters.begin(), ready->adapters.end(),
                  query.adapter) != ready->adapters.end();
    if (!resident) {
      RequestAdapter(entry, query, now);
      return {routing_verdict::wait, {}, {}};
    }
  }
  return {routing_verdict::picked, entry.endpoint.id, entry.endpoint.address};
}

void router::state::RequestAdapter(const endpoint_entry& entry,
                                   const routing_query& query,
                                   time_point now) {
  time_point& retry_at = adapter_retry_at_[query.adapter];
  if (now < retry_at || adapter_needs_.size() >= kMaxAdapterNeeds)
    return;
  retry_at = now + kAdapterRetryInterval;
  adapter_needs_.push_back({entry.endpoint.id, query.model, query.adapter});
}

}  // namespace jasminepath::decision
