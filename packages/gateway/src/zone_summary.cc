#include "zone_summary.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Increase of a counter. A smaller value belongs to a restarted process.
int64_t CounterIncrease(int64_t before, int64_t now, bool restarted) {
  return restarted || now < before ? now : now - before;
}

}  // namespace

void zone_summary::OnDigest(const peer_digest& digest, time_point now) {
  const auto [position, is_new] = nodes_.try_emplace(digest.node);
  node_state& state = position->second;
  const bool restarted = state.last_digest.incarnation != digest.incarnation;
  if (!is_new && !restarted && digest.sequence <= state.last_digest.sequence)
    return;
  // Tokens used before this node knew the other one were reported by others.
  if (!is_new) {
    for (const team_usage& use : digest.teams) {
      int64_t before = 0;
      for (const team_usage& known : state.last_digest.teams) {
        if (known.team == use.team)
          before = known.tokens;
      }
      team_tokens_[use.team] += CounterIncrease(before, use.tokens, restarted);
    }
  }
  for (const model_usage& use : digest.models) {
    const model_usage* before = nullptr;
    for (const model_usage& known : state.last_digest.models) {
      if (known.model == use.model && known.adapter == use.adapter)
        before = &known;
    }
    // A model that was not listed before has had at least one arrival.
    arrivals_[{use.model, use.adapter}] +=
        before != nullptr
            ? CounterIncrease(before->arrivals, use.arrivals, restarted)
            : 1;
  }
  state.last_digest = digest;
  state.last_received_at = now;
}

peer_digest zone_summary::MakeZoneDigest(store_era era, time_point now) const {
  peer_digest zone_digest;
  zone_digest.store_era = era.count();
  std::map<std::pair<endpoint_id, model_id>, int64_t> running;
  std::map<std::pair<model_id, adapter_id>, int64_t> waiting;
  std::map<endpoint_id, int64_t> unreachable;
  for (const auto& [node, state] : nodes_) {
    if (now - state.last_received_at > kDigestValidity)
      continue;
    for (const endpoint_usage& use : state.last_digest.endpoints)
      running[{use.endpoint, use.model}] += use.running;
    for (const model_usage& use : state.last_digest.models)
      waiting[{use.model, use.adapter}] += use.waiting;
    for (const endpoint_id& endpoint : state.last_digest.unreachable)
      ++unreachable[endpoint];
    if (state.last_digest.authority_epoch > zone_digest.authority_epoch) {
      zone_digest.authority_holder = state.last_digest.authority_holder;
      zone_digest.authority_epoch = state.last_digest.authority_epoch;
      // The sender of the zone's digest states its own era.
      zone_digest.authority_version = state.last_digest.store_era == era.count()
                                          ? state.last_digest.authority_version
                                          : 0;
    }
  }
  for (const auto& [team, tokens] : team_tokens_)
    zone_digest.teams.push_back({team, tokens});
  for (const auto& [key, count] : running)
    zone_digest.endpoints.push_back({key.first, key.second, count});
  for (const auto& [key, count] : waiting)
    zone_digest.models.push_back(
        {key.first, key.second, count, arrivals_.at(key)});
  for (const auto& [endpoint, count] : unreachable) {
    if (count >= kMinUnreachableReporters)
      zone_digest.unreachable.push_back(endpoint);
  }
  return zone_digest;
}

}  // namespace jasminepath::gateway
