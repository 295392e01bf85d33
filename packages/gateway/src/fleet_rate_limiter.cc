#include "jasminepath/gateway/fleet_rate_limiter.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Silence after which a peer is charged its even part; its next report replaces
// the charge. Longer ones let teams exceed their rates while many nodes are cut
// off.
constexpr duration kPeerSilence = Milliseconds(1000);
// Debt is bounded to this many seconds of the rate, so that a burst seen late
// does not shut a team out for long.
constexpr double kMostDebtSeconds = 2.0;
// Share of the burst that has to be there for the largest requests, that is
// kept for small ones, and up to which a request counts as small.
constexpr double kMostNeededShare = 0.5;
constexpr double kReservedShare = 0.1;
constexpr double kSmallShare = 0.02;
// Longest time that a team is asked to wait.
constexpr double kMostWaitSeconds = 5.0;

}  // namespace

void fleet_rate_limiter::SetTeams(const std::vector<team>& teams,
                                  time_point now) {
  Fill(now);
  std::map<team_id, bucket> next;
  for (const team& source : teams) {
    bucket value;
    const auto known = buckets_.find(source.id);
    if (known != buckets_.end()) {
      value = known->second;
    } else {
      value.level =
          static_cast<double>(source.burst) / static_cast<double>(node_count_);
      value.filled_at = now;
    }
    value.rate = static_cast<double>(source.rate_per_second);
    value.burst = static_cast<double>(
        source.burst > 0 ? source.burst : source.rate_per_second);
    value.level = std::min(value.level, value.burst);
    next.emplace(source.id, value);
  }
  buckets_ = std::move(next);
}

int64_t fleet_rate_limiter::ReachableNodes(time_point now) const {
  int64_t reachable = 1;
  for (const auto& [node, state] : peers_) {
    if (now - state.heard_at < kPeerSilence)
      reachable += state.nodes;
  }
  return std::min(reachable, node_count_);
}

void fleet_rate_limiter::Fill(time_point now) {
  const int64_t reachable = ReachableNodes(now);
  int64_t known = 1;
  for (const auto& [node, state] : peers_)
    known += state.nodes;
  const auto unheard =
      static_cast<double>(std::max<int64_t>(node_count_ - known, 0));
  reachable_share_ =
      static_cast<double>(reachable) / static_cast<double>(node_count_);
  for (auto& [id, value] : buckets_) {
    const double elapsed = ToSeconds(now - value.filled_at);
    if (elapsed <= 0)
      continue;
    value.filled_at = now;
    const double part = value.rate / static_cast<double>(node_count_);
    value.level += elapsed * (value.rate - part * unheard);
    for (auto& [node, state] : peers_) {
      // A peer that has reported once only has used an unknown amount since.
      if (state.reported_twice && now - state.heard_at < kPeerSilence)
        continue;
      const double charge = elapsed * part * static_cast<double>(state.nodes);
      value.level -= charge;
      state.assumed[id] += charge;
    }
    Bound(value);
  }
}

// Nodes that cannot reach each other share the burst evenly.
void fleet_rate_limiter::Bound(bucket& value) const {
  value.level = std::clamp(value.level, -kMostDebtSeconds * value.rate,
                           value.burst * reachable_share_);
}

void fleet_rate_limiter::OnDigest(const peer_digest& digest, time_point now) {
  Fill(now);
  peer& state = peers_[digest.node];
  const bool restarted = state.incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= state.sequence)
    return;
  // A zone's new speaker has a count of its own, most of which its predecessor
  // has reported.
  const bool first = state.incarnation == 0 || (restarted && digest.whole_zone);
  if (restarted) {
    state.used.clear();
    state.reported_twice = false;
  }
  state.incarnation = digest.incarnation;
  state.sequence = digest.sequence;
  state.heard_at = now;
  state.nodes = digest.nodes;
  // What was assumed since its last report is replaced by what it says.
  for (const auto& [team, tokens] : state.assumed)
    Charge(team, -tokens);
  state.assumed.clear();
  std::map<team_id, double> fresh;
  for (const team_use& use : digest.teams) {
    int64_t& known = state.used[use.team];
    fresh[use.team] =
        static_cast<double>(std::max<int64_t>(use.tokens - known, 0));
    known = std::max(known, use.tokens);
  }
  // What a peer used before this node knew it is already in the past.
  if (first)
    return;
  state.reported_twice = true;
  for (const auto& [team, tokens] : fresh)
    Charge(team, tokens);
}

void fleet_rate_limiter::Charge(const team_id& team, double tokens) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end())
    return;
  bucket& value = found->second;
  value.level = std::clamp(value.level - tokens, -kMostDebtSeconds * value.rate,
                           value.burst);
}

void fleet_rate_limiter::ForgetPeer(const vm_id& node) {
  peers_.erase(node);
}

bool fleet_rate_limiter::Take(const team_id& team,
                              int64_t tokens,
                              time_point now) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate <= 0)
    return true;
  Fill(now);
  bucket& value = found->second;
  const auto size = static_cast<double>(tokens);
  const double most = value.burst * reachable_share_;
  // A request larger than the burst passes once the bucket is half full.
  double needed = std::min(size, most * kMostNeededShare);
  // A prompt leaves room for the many small requests that it would shut out.
  if (size > value.burst * kSmallShare)
    needed = std::max(needed, most * kReservedShare);
  if (value.level < needed)
    return false;
  value.level -= static_cast<double>(tokens);
  value.used += tokens;
  return true;
}

void fleet_rate_limiter::Return(const team_id& team, int64_t tokens) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate <= 0)
    return;
  bucket& value = found->second;
  value.level =
      std::min(value.level + static_cast<double>(tokens), value.burst);
  value.used -= tokens;
}

duration fleet_rate_limiter::TimeToRefill(const team_id& team,
                                          time_point now) const {
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate <= 0)
    return duration::zero();
  const bucket& value = found->second;
  const double missing = value.burst * reachable_share_ * kMostNeededShare -
                         value.level -
                         ToSeconds(now - value.filled_at) * value.rate;
  const double seconds =
      std::clamp(missing / value.rate, 0.1, kMostWaitSeconds);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

std::vector<team_use> fleet_rate_limiter::Used() const {
  std::vector<team_use> uses;
  for (const auto& [id, value] : buckets_) {
    if (value.used != 0)
      uses.push_back({id, value.used});
  }
  return uses;
}

}  // namespace jasminepath::gateway
