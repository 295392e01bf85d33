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
  const bool restarted = state.last.incarnation != digest.incarnation;
  if (!is_new && !restarted && digest.sequence <= state.last.sequence)
    return;
  // Tokens used before this node knew the other one were reported by others.
  if (!is_new) {
    for (const team_usage& use : digest.teams) {
      int64_t before = 0;
      for (const team_usage& known : state.last.teams) {
        if (known.team == use.team)
          before = known.tokens;
      }
      team_tokens_[use.team] += CounterIncrease(before, use.tokens, restarted);
    }
  }
  for (const model_usage& use : digest.models) {
    const model_usage* before = nullptr;
    for (const model_usage& known : state.last.models) {
      if (known.model == use.model && known.adapter == use.adapter)
        before = &known;
    }
    // A model that was not listed before has had at least one arrival.
    arrivals_[{use.model, use.adapter}] +=
        before != nullptr
            ? CounterIncrease(before->arrivals, use.arrivals, restarted)
            : 1;
  }
  state.last = digest;
  state.last_received_at = now;
}

peer_digest zone_summary::MakeZoneDigest(time_point now) const {
  peer_digest sum;
  std::map<std::pair<endpoint_id, model_id>, int64_t> running;
  std::map<std::pair<model_id, adapter_id>, int64_t> waiting;
  std::map<uint64_t, int64_t> crashes;
  std::map<endpoint_id, int64_t> unreachable;
  for (const auto& [node, state] : nodes_) {
    if (now - state.last_received_at > kReportValidity)
      continue;
    for (const endpoint_usage& use : state.last.endpoints)
      running[{use.endpoint, use.model}] += use.running;
    for (const model_usage& use : state.last.models)
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
    if (count >= kMinUnreachableReporters)
      sum.unreachable.push_back(endpoint);
  }
  for (const auto& [fingerprint, count] : crashes)
    sum.crashes.push_back({fingerprint, count});
  return sum;
}

}  // namespace jasminepath::gateway
