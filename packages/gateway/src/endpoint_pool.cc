#include "endpoint_pool.h"

#include <algorithm>
#include <limits>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Notices of models hold for this long without the list of endpoints confirming
// them: longer than the store is usually away.
constexpr duration kModelNoticeHolds = Seconds(15);
// The same for adapters: the interval at which engines update their entries,
// with a margin.
constexpr duration kAdapterNoticeHolds = Seconds(3);
// How long an endpoint that took no connection is left alone.
constexpr duration kUnreachableTime = Milliseconds(1000);
// How long a model is not asked for where it was found missing.
constexpr duration kNotHeldTime = Milliseconds(1500);
// Time in which an entry that is missing after an outage of the store may come
// back (site's rule: about two seconds after the store's return).
constexpr duration kReturnGrace = Milliseconds(1800);
// How long after the last failed call entries may still come back: the longest
// pause between two calls, and the two seconds. Whoever leaves later leaves for
// good, also in the time in which the store counts as unsteady to others.
constexpr duration kStoreUnsteady = Seconds(3);
// What a request in another zone (to an engine, to a plain service) costs in
// running requests.
constexpr double kOtherZoneCost = 3.0;
constexpr double kOtherZonePlainCost = 1.0;
// Prompt tokens whose reading weighs like a running request, for a request away
// from the engine that keeps its shared parts.
constexpr double kTokensPerRunning = 1000.0;
// Loads of peers are known with a lag; a difference below this many running
// requests says nothing.
constexpr double kLoadSpread = 1.0;
// First time that a failing endpoint is out of rotation, and the longest.
constexpr duration kFirstEjection = Milliseconds(1500);
constexpr duration kLongestEjection = Seconds(10);
// Successful probes that bring an endpoint back.
constexpr int64_t kProbesToReturn = 1;

// Order of the endpoints for a key, the same on all nodes.
uint64_t WeightFor(const endpoint_id& endpoint, uint64_t key) {
  return MixHashes(StableHash(endpoint.value()), key);
}

// Whether a notice on the model or adapter still holds.
bool Noticed(const notice_times& notices,
             const std::pair<model_id, adapter_id>& key,
             time_point now) {
  const auto found = notices.find(key);
  const duration holds =
      key.second.empty() ? kModelNoticeHolds : kAdapterNoticeHolds;
  return found != notices.end() && now - found->second < holds;
}

bool Listed(const std::vector<endpoint_id>& ids, const endpoint_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

duration GraceForMissing(time_point store_failed_at, time_point now) {
  return std::clamp<duration>(store_failed_at + kStoreUnsteady - now,
                              duration::zero(), kReturnGrace);
}

endpoint_pool::endpoint_pool(http::event_loop& loop, zone_id zone)
    : loop_(loop), zone_(std::move(zone)) {
  limits_.initial_ejection_time = kFirstEjection;
  limits_.max_ejection_time = kLongestEjection;
  limits_.probes_to_return = kProbesToReturn;
}

void endpoint_pool::Apply(const endpoint_changes& changes,
                          duration grace,
                          time_point now) {
  for (const endpoint_entry& entry : changes.listed)
    Enlist(entry);
  for (const endpoint_id& id : changes.removed) {
    if (Find(id))
      missing_.try_emplace(id, now + grace);
  }
  DropMissing(now);
}

void endpoint_pool::Enlist(const endpoint_entry& entry) {
  const auto address = http::ParseEndpoint(entry.address);
  const auto known = Find(entry.id);
  const bool restarted =
      known && (known->entry.started_at_ms != entry.started_at_ms ||
                known->entry.address != entry.address ||
                known->entry.service != entry.service);
  if (!address || restarted)
    Discard(entry.id);
  if (!address)
    return;
  auto& slot = endpoints_[entry.id];
  if (!slot) {
    slot = std::make_shared<pooled_endpoint>();
    slot->client = std::make_unique<http::client>(loop_, address.value());
    by_service_[entry.service].insert(entry.id);
  }
  if (slot->entry.models != entry.models) {
    std::erase_if(slot->closing, [&](const auto& item) {
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
  slot->entry = entry;
  missing_.erase(entry.id);
}

void endpoint_pool::Discard(const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end())
    return;
  opened_before_ += found->second->client->opened();
  by_service_[found->second->entry.service].erase(id);
  missing_.erase(id);
  // Its places in by_model_ go when they are next looked at.
  endpoints_.erase(found);
}

void endpoint_pool::DropMissing(time_point now) {
  std::vector<endpoint_id> gone;
  for (const auto& [id, gone_at] : missing_) {
    if (now >= gone_at)
      gone.push_back(id);
  }
  for (const endpoint_id& id : gone)
    Discard(id);
}

void endpoint_pool::OnNotice(const load_notice& notice, time_point now) {
  const auto endpoint = Find(notice.endpoint);
  if (!endpoint)
    return;
  const auto key = std::make_pair(notice.model, notice.adapter);
  switch (notice.change) {
    case load_change::closing:
      endpoint->closing[key] = now;
      endpoint->announced.erase(key);
      return;
    case load_change::ready:
      by_model_[notice.model].insert(notice.endpoint);
      endpoint->closing.erase(key);
      endpoint->announced[key] = now;
      return;
    case load_change::loading:
      endpoint->closing.erase(key);
      return;
  }
}

void endpoint_pool::OnDigest(const peer_digest& digest) {
  ForgetUses(digest.node);
  auto& uses = uses_of_peers_[digest.node];
  for (const endpoint_use& use : digest.endpoints) {
    const auto endpoint = Find(use.endpoint);
    if (!endpoint)
      continue;
    endpoint->running_of_peers += use.running;
    uses.emplace_back(endpoint, use.running);
  }
}

void endpoint_pool::ForgetUses(const vm_id& node) {
  const auto known = uses_of_peers_.find(node);
  if (known == uses_of_peers_.end())
    return;
  for (const auto& [endpoint, running] : known->second)
    endpoint->running_of_peers -= running;
  known->second.clear();
}

void endpoint_pool::ForgetPeer(const vm_id& node) {
  ForgetUses(node);
  uses_of_peers_.erase(node);
}

bool endpoint_pool::Lists(const pooled_endpoint& endpoint,
                          const model_id& model,
                          time_point now) {
  if (model.empty())
    return true;
  const auto& models = endpoint.entry.models;
  return Noticed(endpoint.announced, {model, {}}, now) ||
         std::any_of(models.begin(), models.end(),
                     [&](const resident_model& m) { return m.model == model; });
}

bool endpoint_pool::Holds(const pooled_endpoint& endpoint,
                          const endpoint_query& query,
                          time_point now) {
  if (query.model.empty())
    return true;
  const auto noticed = [&](const notice_times& notices,
                           const adapter_id& adapter) {
    return Noticed(notices, {query.model, adapter}, now);
  };
  if (noticed(endpoint.closing, {}) || !Lists(endpoint, query.model, now))
    return false;
  if (query.adapter.empty())
    return true;
  if (noticed(endpoint.closing, query.adapter))
    return false;
  if (noticed(endpoint.announced, query.adapter))
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
    score += query.model.empty() ? kOtherZonePlainCost : kOtherZoneCost;
  if (!preferred)
    score += static_cast<double>(query.shared_tokens) / kTokensPerRunning;
  const auto place =
      static_cast<double>(WeightFor(endpoint.entry.id, query.spread)) /
      static_cast<double>(std::numeric_limits<uint64_t>::max());
  return score + kLoadSpread * place;
}

std::vector<endpoint_pool::endpoint_pointer> endpoint_pool::Able(
    const endpoint_query& query,
    time_point now) {
  if (query.model.empty())
    return AbleAmong(by_service_[query.service], query, now);
  // Callers may name any model; only those of endpoints have a place.
  const auto found = by_model_.find(query.model);
  if (found == by_model_.end())
    return {};
  return AbleAmong(found->second, query, now);
}

std::vector<endpoint_pool::endpoint_pointer> endpoint_pool::AbleAmong(
    std::set<endpoint_id>& ids,
    const endpoint_query& query,
    time_point now) {
  std::vector<endpoint_pointer> able;
  for (auto id = ids.begin(); id != ids.end();) {
    const auto endpoint = Find(*id);
    if (!endpoint || !Lists(*endpoint, query.model, now)) {
      id = ids.erase(id);
      continue;
    }
    ++id;
    if (endpoint->entry.service == query.service && !endpoint->entry.draining &&
        now >= endpoint->unreachable_until && Holds(*endpoint, query, now))
      able.push_back(endpoint);
  }
  return able;
}

endpoint_pool::choice endpoint_pool::Pick(const endpoint_query& query,
                                          time_point now) {
  const std::vector<endpoint_pointer> able = Able(query, now);
  if (able.empty()) {
    const auto& ids = by_service_[query.service];
    const bool any = std::any_of(
        ids.begin(), ids.end(),
        [this](const endpoint_id& id) { return !Find(id)->entry.draining; });
    return {nullptr, any ? pick_miss::not_loaded : pick_miss::no_endpoint};
  }
  // Endpoints that are out of rotation are used only if there are no others.
  std::vector<std::shared_ptr<pooled_endpoint>> sound;
  for (const auto& endpoint : able) {
    const auto stage = endpoint->health.StageAt(now);
    const bool in_rotation =
        stage == decision::endpoint_health::stage::in_use ||
        (stage == decision::endpoint_health::stage::probing &&
         endpoint->running == 0);
    if (in_rotation && !Listed(query.avoid, endpoint->entry.id))
      sound.push_back(endpoint);
  }
  if (sound.empty()) {
    for (const auto& endpoint : able) {
      if (!Listed(query.avoid, endpoint->entry.id))
        sound.push_back(endpoint);
    }
  }
  if (sound.empty())
    return {nullptr, pick_miss::full};
  // Rendezvous hashing: all nodes agree on the engine that keeps the shared
  // prompt parts.
  const pooled_endpoint* preferred = nullptr;
  uint64_t highest = 0;
  if (query.affinity != 0) {
    for (const auto& endpoint : sound) {
      const uint64_t weight = WeightFor(endpoint->entry.id, query.affinity);
      if (preferred == nullptr || weight > highest) {
        preferred = endpoint.get();
        highest = weight;
      }
    }
  }
  std::shared_ptr<pooled_endpoint> best;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& endpoint : sound) {
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
    endpoint.unreachable_until = now + kUnreachableTime;
  else if (end == decision::attempt_end::answered)
    endpoint.unreachable_until = time_point{};
  endpoint.health.OnEnd(end, endpoint.running, now, limits_);
}

void endpoint_pool::OnNotHeld(pooled_endpoint& endpoint,
                              const model_id& model,
                              const adapter_id& adapter,
                              time_point now) {
  // For a short time only: it may be about to be loaded.
  const duration holds =
      adapter.empty() ? kModelNoticeHolds : kAdapterNoticeHolds;
  endpoint.announced.erase({model, adapter});
  endpoint.closing[{model, adapter}] = now - holds + kNotHeldTime;
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

std::vector<endpoint_use> endpoint_pool::Running() const {
  std::vector<endpoint_use> uses;
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
  std::size_t opened = opened_before_;
  for (const auto& [id, endpoint] : endpoints_)
    opened += endpoint->client->opened();
  return opened;
}

}  // namespace jasminepath::gateway
