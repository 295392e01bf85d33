#include "jasminepath/gateway/fleet_rate_limiter.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Time without a digest after which a peer is charged its even share; its next
// digest replaces the charge. Longer timeouts let teams exceed their rates
// while many nodes are partitioned.
constexpr duration kPeerSilenceTimeout = Milliseconds(1000);
// Maximum debt, in seconds of the rate, so that a burst reported late does not
// block a team for long.
constexpr double kMaxDebtSeconds = 2.0;
// Shares of the usable burst: the maximum level that a request can require, the
// level reserved for small requests, and the size up to which a request is
// small.
constexpr double kMaxRequiredBurstShare = 0.5;
constexpr double kReservedBurstShare = 0.1;
constexpr double kSmallRequestBurstShare = 0.02;
// Maximum time that a team is asked to wait.
constexpr double kMaxRetryAfterSeconds = 5.0;

}  // namespace

void fleet_rate_limiter::SetTeams(const std::vector<team>& teams,
                                  time_point now) {
  Refill(now);
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
    if (now - state.last_received_at < kPeerSilenceTimeout)
      reachable += state.nodes;
  }
  return std::min(reachable, node_count_);
}

void fleet_rate_limiter::Refill(time_point now) {
  const int64_t reachable = ReachableNodes(now);
  int64_t known = 1;
  for (const auto& [node, state] : peers_)
    known += state.nodes;
  const auto unknown_nodes =
      static_cast<double>(std::max<int64_t>(node_count_ - known, 0));
  reachable_share_ =
      static_cast<double>(reachable) / static_cast<double>(node_count_);
  for (auto& [id, value] : buckets_) {
    const double elapsed = ToSeconds(now - value.filled_at);
    if (elapsed <= 0)
      continue;
    value.filled_at = now;
    const double part = value.rate / static_cast<double>(node_count_);
    value.level += elapsed * (value.rate - part * unknown_nodes);
    for (auto& [node, state] : peers_) {
      // After the first digest of a peer, its rate of use is still unknown.
      if (state.has_reported_twice &&
          now - state.last_received_at < kPeerSilenceTimeout)
        continue;
      const double charge = elapsed * part * static_cast<double>(state.nodes);
      value.level -= charge;
      state.assumed_tokens[id] += charge;
    }
    ClampLevel(value);
  }
}

// Parts of a partitioned fleet share the burst in proportion to their nodes.
void fleet_rate_limiter::ClampLevel(bucket& value) const {
  value.level = std::clamp(value.level, -kMaxDebtSeconds * value.rate,
                           value.burst * reachable_share_);
}

void fleet_rate_limiter::OnDigest(const peer_digest& digest, time_point now) {
  Refill(now);
  peer& state = peers_[digest.node];
  const bool restarted = state.incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= state.sequence)
    return;
  // A zone's new representative starts its own count, most of which its
  // predecessor has already reported.
  const bool first =
      state.incarnation == 0 || (restarted && digest.is_zone_digest);
  if (restarted) {
    state.used.clear();
    state.has_reported_twice = false;
  }
  state.incarnation = digest.incarnation;
  state.sequence = digest.sequence;
  state.last_received_at = now;
  state.nodes = digest.nodes;
  // The reported use replaces the assumed charge.
  for (const auto& [team, tokens] : state.assumed_tokens)
    Charge(team, -tokens);
  state.assumed_tokens.clear();
  std::map<team_id, double> fresh;
  for (const team_usage& use : digest.teams) {
    int64_t& known = state.used[use.team];
    fresh[use.team] =
        static_cast<double>(std::max<int64_t>(use.tokens - known, 0));
    known = std::max(known, use.tokens);
  }
  // Use from before this node knew the peer must not be charged now.
  if (first)
    return;
  state.has_reported_twice = true;
  for (const auto& [team, tokens] : fresh)
    Charge(team, tokens);
}

void fleet_rate_limiter::Charge(const team_id& team, double tokens) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end())
    return;
  bucket& value = found->second;
  value.level = std::clamp(value.level - tokens, -kMaxDebtSeconds * value.rate,
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
  Refill(now);
  bucket& value = found->second;
  const auto size = static_cast<double>(tokens);
  const double usable_burst = value.burst * reachable_share_;
  // A request larger than the burst is admitted once the bucket is half full.
  double needed = std::min(size, usable_burst * kMaxRequiredBurstShare);
  // Large requests leave a reserve for the many small ones that they would
  // otherwise block.
  if (size > value.burst * kSmallRequestBurstShare)
    needed = std::max(needed, usable_burst * kReservedBurstShare);
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
  const double missing =
      value.burst * reachable_share_ * kMaxRequiredBurstShare - value.level -
      ToSeconds(now - value.filled_at) * value.rate;
  const double seconds =
      std::clamp(missing / value.rate, 0.1, kMaxRetryAfterSeconds);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

std::vector<team_usage> fleet_rate_limiter::Usage() const {
  std::vector<team_usage> uses;
  for (const auto& [id, value] : buckets_) {
    if (value.used != 0)
      uses.push_back({id, value.used});
  }
  return uses;
}

}  // namespace jasminepath::gateway
