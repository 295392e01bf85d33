#include "endpoint_pool.h"

#include <algorithm>
#include <limits>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Validity of a model notice that the endpoint list does not confirm: longer
// than the usual outage of the store.
constexpr duration kModelNoticeValidity = Seconds(15);
// The same for adapters: the interval at which engines update their entries,
// with a margin.
constexpr duration kAdapterNoticeValidity = Seconds(3);
// Time for which an endpoint is not used after a failed connection attempt.
constexpr duration kUnreachableBackoff = Milliseconds(1000);
// Time for which a model is not requested from an endpoint that did not hold
// it.
constexpr duration kNotHeldBackoff = Milliseconds(1500);
// Maximum time for which an entry that is missing after an outage of the store
// is kept. The site's rule is about two seconds after the store's return.
constexpr duration kMaxMissingEntryGrace = Milliseconds(1800);
// Time after the last failed store call in which missing entries may still come
// back: the longest pause between two store calls plus the two seconds of that
// rule. Endpoints whose entries disappear later have left for good, even while
// others still regard the store as unstable.
constexpr duration kStoreRecoveryWindow = Seconds(3);
// Additional cost, in running requests, of sending a request to another zone:
// to an engine and to an endpoint of a service without models.
constexpr double kOtherZoneEngineCostRequests = 3.0;
constexpr double kOtherZonePlainCostRequests = 1.0;
// Number of prompt tokens whose processing costs as much as one running
// request, for a request that does not go to the engine with its cached prompt
// parts.
constexpr double kPromptTokensPerRunningRequest = 1000.0;
// Range of the random tie-break, in running requests. The load of peers is
// known with a delay, so smaller differences are not significant.
constexpr double kTieBreakRangeRequests = 1.0;
// Duration of the first ejection of a failing endpoint, and the maximum.
constexpr duration kInitialEjectionTime = Milliseconds(1500);
constexpr duration kMaxEjectionTime = Seconds(10);
// Number of successful probes that end an ejection.
constexpr int64_t kProbesToReturn = 1;

// Weight for rendezvous hashing; the same on all nodes.
uint64_t RendezvousWeight(const endpoint_id& endpoint, uint64_t key) {
  return MixHashes(StableHash(endpoint.value()), key);
}

// Whether there is a notice for the model or adapter that has not expired.
bool HasValidNotice(const notice_times& notices,
                    const std::pair<model_id, adapter_id>& key,
                    time_point now) {
  const auto found = notices.find(key);
  const duration validity =
      key.second.empty() ? kModelNoticeValidity : kAdapterNoticeValidity;
  return found != notices.end() && now - found->second < validity;
}

bool Contains(const std::vector<endpoint_id>& ids, const endpoint_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

duration MissingEntryGrace(time_point store_failed_at, time_point now) {
  return std::clamp<duration>(store_failed_at + kStoreRecoveryWindow - now,
                              duration::zero(), kMaxMissingEntryGrace);
}

endpoint_pool::endpoint_pool(http::event_loop& loop, zone_id zone)
    : loop_(loop), zone_(std::move(zone)) {
  limits_.initial_ejection_time = kInitialEjectionTime;
  limits_.max_ejection_time = kMaxEjectionTime;
  limits_.probes_to_return = kProbesToReturn;
}

void endpoint_pool::Apply(const endpoint_changes& changes,
                          duration grace,
                          time_point now) {
  for (const endpoint_entry& entry : changes.listed)
    AddOrUpdate(entry, now);
  for (const endpoint_id& id : changes.removed) {
    if (Find(id))
      missing_.try_emplace(id, now + grace);
  }
  DropMissing(now);
  versions_.Settle(now);
}

void endpoint_pool::AddOrUpdate(const endpoint_entry& entry, time_point now) {
  const auto address = http::ParseEndpoint(entry.address);
  const auto known = Find(entry.id);
  const bool restarted =
      known && (known->entry.started_at_ms != entry.started_at_ms ||
                known->entry.address != entry.address ||
                known->entry.version != entry.version ||
                known->entry.service != entry.service);
  if (!address || restarted)
    Remove(entry.id, now);
  if (!address)
    return;
  auto& pooled = endpoints_[entry.id];
  if (!pooled) {
    pooled = std::make_shared<pooled_endpoint>();
    pooled->client = std::make_unique<http::client>(loop_, address.value());
    by_service_[entry.service].insert(entry.id);
    versions_.Add(entry.service, entry.version, now);
  }
  if (pooled->entry.models != entry.models) {
    std::erase_if(pooled->closing_notices, [&](const auto& item) {
      const model_id& model = item.first.first;
      const adapter_id& adapter = item.first.second;
      return adapter.empty() &&
             std::none_of(entry.models.begin(), entry.models.end(),
                          [&](const resident_model& resident) {
                            return resident.model == model;
                          });
    });
    for (const resident_model& resident : entry.models)
      by_model_[resident.model].insert(entry.id);
  }
  pooled->entry = entry;
  missing_.erase(entry.id);
}

void endpoint_pool::Remove(const endpoint_id& id, time_point now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end())
    return;
  opened_by_removed_ += found->second->client->opened_connections();
  by_service_[found->second->entry.service].erase(id);
  versions_.Remove(found->second->entry.service, found->second->entry.version,
                   now);
  missing_.erase(id);
  // Later lookups erase the id from by_model_.
  endpoints_.erase(found);
}

void endpoint_pool::DropMissing(time_point now) {
  std::vector<endpoint_id> gone;
  for (const auto& [id, gone_at] : missing_) {
    if (now >= gone_at)
      gone.push_back(id);
  }
  for (const endpoint_id& id : gone)
    Remove(id, now);
}

void endpoint_pool::OnNotice(const load_notice& notice, time_point now) {
  const auto endpoint = Find(notice.endpoint);
  if (!endpoint)
    return;
  const auto key = std::make_pair(notice.model, notice.adapter);
  switch (notice.change) {
    case load_change::closing:
      endpoint->closing_notices[key] = now;
      endpoint->ready_notices.erase(key);
      return;
    case load_change::ready:
      by_model_[notice.model].insert(notice.endpoint);
      endpoint->closing_notices.erase(key);
      endpoint->ready_notices[key] = now;
      return;
    case load_change::loading:
      endpoint->closing_notices.erase(key);
      return;
  }
}

void endpoint_pool::OnDigest(const peer_digest& digest) {
  RemovePeerUsage(digest.node);
  auto& uses = usage_by_peer_[digest.node];
  for (const endpoint_usage& use : digest.endpoints) {
    const auto endpoint = Find(use.endpoint);
    if (!endpoint)
      continue;
    endpoint->running_from_peers += use.running;
    uses.emplace_back(endpoint, use.running);
  }
}

void endpoint_pool::RemovePeerUsage(const vm_id& node) {
  const auto known = usage_by_peer_.find(node);
  if (known == usage_by_peer_.end())
    return;
  for (const auto& [endpoint, running] : known->second)
    endpoint->running_from_peers -= running;
  known->second.clear();
}

void endpoint_pool::ForgetPeer(const vm_id& node) {
  RemovePeerUsage(node);
  usage_by_peer_.erase(node);
}

bool endpoint_pool::HasModel(const pooled_endpoint& endpoint,
                             const model_id& model,
                             time_point now) {
  if (model.empty())
    return true;
  const auto& models = endpoint.entry.models;
  return HasValidNotice(endpoint.ready_notices, {model, {}}, now) ||
         std::any_of(models.begin(), models.end(),
                     [&](const resident_model& m) { return m.model == model; });
}

bool endpoint_pool::IsReadyFor(const pooled_endpoint& endpoint,
                               const endpoint_query& query,
                               time_point now) {
  if (query.model.empty())
    return true;
  const auto has_notice = [&](const notice_times& notices,
                              const adapter_id& adapter) {
    return HasValidNotice(notices, {query.model, adapter}, now);
  };
  if (has_notice(endpoint.closing_notices, {}) ||
      !HasModel(endpoint, query.model, now))
    return false;
  if (query.adapter.empty())
    return true;
  if (has_notice(endpoint.closing_notices, query.adapter))
    return false;
  if (has_notice(endpoint.ready_notices, query.adapter))
    return true;
  const auto& models = endpoint.entry.models;
  return std::any_of(
      models.begin(), models.end(), [&](const resident_model& m) {
        return m.model == query.model &&
               std::find(m.adapters.begin(), m.adapters.end(), query.adapter) !=
                   m.adapters.end();
      });
}

double endpoint_pool::Score(const pooled_endpoint& endpoint,
                            const endpoint_query& query,
                            bool preferred) const {
  auto score = static_cast<double>(endpoint.total_running());
  if (endpoint.entry.zone != zone_)
    score += query.model.empty() ? kOtherZonePlainCostRequests
                                 : kOtherZoneEngineCostRequests;
  if (!preferred)
    score += static_cast<double>(query.shared_tokens) /
             kPromptTokensPerRunningRequest;
  const auto tie_break =
      static_cast<double>(
          RendezvousWeight(endpoint.entry.id, query.tie_break_seed)) /
      static_cast<double>(std::numeric_limits<uint64_t>::max());
  return score + kTieBreakRangeRequests * tie_break;
}

std::vector<endpoint_pool::endpoint_pointer> endpoint_pool::FindReady(
    const endpoint_query& query,
    time_point now) {
  if (query.model.empty())
    return FilterReady(by_service_[query.service], query, now);
  // Callers may name any model; only models of endpoints may be inserted into
  // by_model_.
  const auto found = by_model_.find(query.model);
  if (found == by_model_.end())
    return {};
  return FilterReady(found->second, query, now);
}

std::vector<endpoint_pool::endpoint_pointer> endpoint_pool::FilterReady(
    std::set<endpoint_id>& ids,
    const endpoint_query& query,
    time_point now) {
  std::vector<endpoint_pointer> ready;
  for (auto id = ids.begin(); id != ids.end();) {
    const auto endpoint = Find(*id);
    if (!endpoint || !HasModel(*endpoint, query.model, now)) {
      id = ids.erase(id);
      continue;
    }
    ++id;
    if (endpoint->entry.service == query.service && !endpoint->entry.draining &&
        (!query.version || endpoint->entry.version == *query.version) &&
        now >= endpoint->unreachable_until && IsReadyFor(*endpoint, query, now))
      ready.push_back(endpoint);
  }
  return ready;
}

endpoint_pool::choice endpoint_pool::Pick(const endpoint_query& query,
                                          time_point now) {
  const std::vector<endpoint_pointer> ready = FindReady(query, now);
  if (ready.empty()) {
    const auto& ids = by_service_[query.service];
    bool has_available = false;
    bool has_version = !query.version;
    for (const endpoint_id& id : ids) {
      const endpoint_entry& entry = Find(id)->entry;
      has_available = has_available || !entry.draining;
      has_version =
          has_version || (!entry.draining && entry.version == *query.version);
    }
    if (has_available && !has_version)
      return {nullptr, pick_miss::no_version};
    return {nullptr,
            has_available ? pick_miss::not_loaded : pick_miss::no_endpoint};
  }
  // Ejected endpoints are used only if there are no others.
  std::vector<std::shared_ptr<pooled_endpoint>> candidates;
  for (const auto& endpoint : ready) {
    const auto stage = endpoint->health.StageAt(now);
    const bool in_rotation =
        stage == decision::endpoint_health::stage::in_use ||
        (stage == decision::endpoint_health::stage::probing &&
         endpoint->running == 0);
    if (in_rotation && !Contains(query.avoid, endpoint->entry.id))
      candidates.push_back(endpoint);
  }
  if (candidates.empty()) {
    for (const auto& endpoint : ready) {
      if (!Contains(query.avoid, endpoint->entry.id))
        candidates.push_back(endpoint);
    }
  }
  if (candidates.empty())
    return {nullptr, pick_miss::full};
  // Rendezvous hashing, so that all nodes prefer the same engine for the same
  // prompt parts.
  const pooled_endpoint* preferred = nullptr;
  uint64_t highest = 0;
  if (query.affinity != 0) {
    for (const auto& endpoint : candidates) {
      const uint64_t weight =
          RendezvousWeight(endpoint->entry.id, query.affinity);
      if (preferred == nullptr || weight > highest) {
        preferred = endpoint.get();
        highest = weight;
      }
    }
  }
  std::shared_ptr<pooled_endpoint> best;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& endpoint : candidates) {
    if (endpoint->total_running() >= endpoint->entry.slots)
      continue;
    const double score = Score(
        *endpoint, query, preferred == nullptr || preferred == endpoint.get());
    if (score < best_score) {
      best = endpoint;
      best_score = score;
    }
  }
  if (!best)
    return {nullptr, pick_miss::full};
  return {best, pick_miss::none};
}

void endpoint_pool::Begin(pooled_endpoint& endpoint, const model_id& model) {
  ++endpoint.running;
  ++endpoint.running_by_model[model];
}

void endpoint_pool::End(pooled_endpoint& endpoint,
                        const model_id& model,
                        decision::attempt_end end,
                        time_point now) {
  --endpoint.running;
  --endpoint.running_by_model[model];
  if (end == decision::attempt_end::connect_failed)
    endpoint.unreachable_until = now + kUnreachableBackoff;
  else if (end == decision::attempt_end::answered)
    endpoint.unreachable_until = time_point{};
  endpoint.health.OnEnd(end, endpoint.running, now, limits_);
}

void endpoint_pool::OnNotHeld(pooled_endpoint& endpoint,
                              const model_id& model,
                              const adapter_id& adapter,
                              time_point now) {
  // The notice is backdated to expire soon, because the model may be about to
  // be loaded.
  const duration validity =
      adapter.empty() ? kModelNoticeValidity : kAdapterNoticeValidity;
  endpoint.ready_notices.erase({model, adapter});
  endpoint.closing_notices[{model, adapter}] = now - validity + kNotHeldBackoff;
}

std::shared_ptr<pooled_endpoint> endpoint_pool::Find(
    const endpoint_id& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

std::vector<endpoint_entry> endpoint_pool::Entries() const {
  std::vector<endpoint_entry> entries;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!missing_.contains(id))
      entries.push_back(endpoint->entry);
  }
  return entries;
}

std::vector<endpoint_usage> endpoint_pool::Running() const {
  std::vector<endpoint_usage> uses;
  for (const auto& [id, endpoint] : endpoints_) {
    for (const auto& [model, running] : endpoint->running_by_model) {
      if (running > 0)
        uses.push_back({id, model, running});
    }
  }
  return uses;
}

std::vector<endpoint_id> endpoint_pool::Unreachable(time_point now) const {
  std::vector<endpoint_id> ids;
  for (const auto& [id, endpoint] : endpoints_) {
    if (now < endpoint->unreachable_until)
      ids.push_back(id);
  }
  return ids;
}

std::size_t endpoint_pool::opened_connections() const {
  std::size_t opened_connections = opened_by_removed_;
  for (const auto& [id, endpoint] : endpoints_)
    opened_connections += endpoint->client->opened_connections();
  return opened_connections;
}

}  // namespace jasminepath::gateway
