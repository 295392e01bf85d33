#include "zone_summary.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// What a rising count has gained; a smaller one is that of a new process.
int64_t Gain(int64_t before, int64_t now, bool restarted) {
  return restarted || now < before ? now : now - before;
}

}  // namespace

void zone_summary::OnDigest(const peer_digest& digest, time_point now) {
  const auto [place, is_new] = nodes_.try_emplace(digest.node);
  node_state& state = place->second;
  const bool restarted = state.last.incarnation != digest.incarnation;
  if (!is_new && !restarted && digest.sequence <= state.last.sequence)
    return;
  // What a node used before it was known has been reported by others.
  if (!is_new) {
    for (const team_use& use : digest.teams) {
      int64_t before = 0;
      for (const team_use& known : state.last.teams) {
        if (known.team == use.team)
          before = known.tokens;
      }
      team_tokens_[use.team] += Gain(before, use.tokens, restarted);
    }
  }
  for (const model_use& use : digest.models) {
    const model_use* before = nullptr;
    for (const model_use& known : state.last.models) {
      if (known.model == use.model && known.adapter == use.adapter)
        before = &known;
    }
    // A model that was not listed has had at least one arrival.
    arrivals_[{use.model, use.adapter}] +=
        before != nullptr ? Gain(before->arrivals, use.arrivals, restarted) : 1;
  }
  state.last = digest;
  state.heard_at = now;
}

peer_digest zone_summary::Make(time_point now) const {
  peer_digest sum;
  std::map<std::pair<endpoint_id, model_id>, int64_t> running;
  std::map<std::pair<model_id, adapter_id>, int64_t> waiting;
  std::map<uint64_t, int64_t> crashes;
  std::map<endpoint_id, int64_t> unreachable;
  for (const auto& [node, state] : nodes_) {
    if (now - state.heard_at > kReportHolds)
      continue;
    for (const endpoint_use& use : state.last.endpoints)
      running[{use.endpoint, use.model}] += use.running;
    for (const model_use& use : state.last.models)
      waiting[{use.model, use.adapter}] += use.waiting;
    for (const endpoint_id& endpoint : state.last.unreachable)
      ++unreachable[endpoint];
    for (const crash_count& count : state.last.crashes)
      crashes[count.fingerprint] += count.crashes;
    if (state.last.authority_epoch > sum.authority_epoch) {
      sum.authority_holder = state.last.authority_holder;
      sum.authority_epoch = state.last.authority_epoch;
      sum.authority_version = state.last.authority_version;
    }
  }
  for (const auto& [team, tokens] : team_tokens_)
    sum.teams.push_back({team, tokens});
  for (const auto& [key, count] : running)
    sum.endpoints.push_back({key.first, key.second, count});
  for (const auto& [key, count] : waiting)
    sum.models.push_back({key.first, key.second, count, arrivals_.at(key)});
  for (const auto& [endpoint, count] : unreachable) {
    if (count >= kReportersNeeded)
      sum.unreachable.push_back(endpoint);
  }
  for (const auto& [fingerprint, count] : crashes)
    sum.crashes.push_back({fingerprint, count});
  return sum;
}

}  // namespace jasminepath::gateway
