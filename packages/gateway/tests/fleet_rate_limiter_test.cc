#include "jasminepath/gateway/fleet_rate_limiter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <vector>

namespace jasminepath::gateway {
namespace {

const team_id kTeam("beads");
constexpr int64_t kRate = 70000;
constexpr int64_t kRequestTokens = 9000;

time_point At(int64_t ms) {
  return time_point{} + Seconds(100) + Milliseconds(ms);
}

std::vector<team> Teams(int64_t rate) {
  team value;
  value.id = kTeam;
  value.rate_per_second = rate;
  value.burst = rate;
  return {value};
}

// Nodes that exchange digests of their use, unless they are partitioned.
struct limited_fleet {
  explicit limited_fleet(int count) {
    for (int i = 0; i < count; ++i) {
      nodes.emplace_back();
      nodes.back().SetNodeCount(count);
      nodes.back().SetTeams(Teams(kRate), At(0));
    }
    sequences.resize(nodes.size());
  }

  // Every node sends its digest to the others. The first `partition_size` nodes
  // and the rest do not reach each other.
  void Exchange(int64_t ms, int partition_size) {
    for (std::size_t from = 0; from < nodes.size(); ++from) {
      peer_digest digest;
      digest.node = vm_id("n" + std::to_string(from));
      digest.incarnation = incarnation;
      digest.sequence = ++sequences[from];
      digest.interval_ms = interval_ms;
      digest.teams = nodes[from].Usage();
      for (std::size_t to = 0; to < nodes.size(); ++to) {
        const bool from_in_partition = static_cast<int>(from) < partition_size;
        const bool to_in_partition = static_cast<int>(to) < partition_size;
        const bool is_isolated = static_cast<int>(from) < isolated_count ||
                                 static_cast<int>(to) < isolated_count;
        if (to != from && from_in_partition == to_in_partition && !is_isolated)
          nodes[to].OnDigest(digest, At(ms));
      }
    }
  }

  std::vector<fleet_rate_limiter> nodes;
  std::vector<uint64_t> sequences;
  uint64_t incarnation = 1;
  int64_t interval_ms = 300;
  // Number of nodes that exchange no digests.
  int isolated_count = 0;
};

// The maximum number of tokens taken within any window.
int64_t MaxTokensWithin(const std::vector<std::pair<int64_t, int64_t>>& taken,
                        int64_t window_ms) {
  int64_t max_tokens = 0;
  for (std::size_t first = 0; first < taken.size(); ++first) {
    int64_t sum = 0;
    for (std::size_t i = first;
         i < taken.size() && taken[i].first < taken[first].first + window_ms;
         ++i)
      sum += taken[i].second;
    max_tokens = std::max(max_tokens, sum);
  }
  return max_tokens;
}

// The maximum number of tokens admitted in any window, over all nodes, when the
// team demands 4.5 times its rate.
int64_t MaxTokensInWindow(int64_t partition_from_ms, int64_t partition_to_ms) {
  constexpr int64_t kWindowMs = 8000;
  constexpr int64_t kLengthMs = 30000;
  limited_fleet fleet(8);
  std::mt19937 random(7);
  std::vector<std::pair<int64_t, int64_t>> taken;
  for (int64_t ms = 0; ms < kLengthMs; ms += 10) {
    if (ms % fleet.interval_ms == 0)
      fleet.Exchange(ms,
                     ms >= partition_from_ms && ms < partition_to_ms ? 3 : 0);
    // 35 requests of 9,000 tokens per second: 4.5 times the rate.
    if (random() % 100 < 35) {
      auto& node = fleet.nodes[random() % fleet.nodes.size()];
      if (node.Take(kTeam, kRequestTokens, At(ms)))
        taken.emplace_back(ms, kRequestTokens);
    }
  }
  return MaxTokensWithin(taken, kWindowMs);
}

// Tokens that the site allows in a window of 8 s: rate and burst, plus a tenth
// and a fixed amount.
constexpr int64_t kAllowedTokens = (kRate * 8 + kRate) * 11 / 10 + 110000;

BOOST_AUTO_TEST_CASE(LimitsTeamRateOverAllNodes) {
  BOOST_TEST(MaxTokensInWindow(0, 0) <= kAllowedTokens);
}

BOOST_AUTO_TEST_CASE(LimitsTeamRateWhileFleetIsPartitioned) {
  BOOST_TEST(MaxTokensInWindow(5000, 17000) <= kAllowedTokens);
}

constexpr int64_t kLargeRate = 350000;
constexpr int64_t kAllowedTokensAtLargeRate =
    (kLargeRate * 8 + kLargeRate) * 11 / 10 + 110000;

// The same over 80 nodes that exchange digests every 600 ms, at four times the
// rate. `isolated_count` nodes receive no digests from 5 to 17 s; `restart`
// restarts all nodes at 10 s.
int64_t MaxTokensOverManyNodes(int isolated_count, bool restart) {
  constexpr int kNodes = 80;
  limited_fleet fleet(kNodes);
  fleet.interval_ms = 600;
  const auto start = [&fleet](int64_t ms) {
    for (auto& node : fleet.nodes) {
      node = fleet_rate_limiter();
      node.SetNodeCount(kNodes);
      node.SetTeams(Teams(kLargeRate), At(ms));
    }
    ++fleet.incarnation;
  };
  start(0);
  std::mt19937 random(7);
  std::vector<std::pair<int64_t, int64_t>> taken;
  for (int64_t ms = 0; ms < 30000; ms += 10) {
    if (restart && ms == 10000)
      start(ms);
    fleet.isolated_count = ms >= 5000 && ms < 17000 ? isolated_count : 0;
    if (ms % fleet.interval_ms == 0)
      fleet.Exchange(ms, 0);
    // 160 requests of 9,000 tokens per second.
    for (int i = 0; i < (random() % 10 < 6 ? 2 : 1); ++i) {
      auto& node = fleet.nodes[random() % fleet.nodes.size()];
      if (node.Take(kTeam, kRequestTokens, At(ms)))
        taken.emplace_back(ms, kRequestTokens);
    }
  }
  return MaxTokensWithin(taken, 8000);
}

// Guards against over-admission when many nodes with delayed digests each admit
// a request whenever the bucket has refilled.
BOOST_AUTO_TEST_CASE(LimitsTeamRateOverManyNodes) {
  const int64_t max_tokens = MaxTokensOverManyNodes(0, false);
  BOOST_TEST(max_tokens <= kAllowedTokensAtLargeRate);
  // The team also gets the rate that it is entitled to.
  BOOST_TEST(max_tokens >= kLargeRate * 7);
}

// Each isolated node has a copy of the whole bucket, so the sum of the copies
// could exceed the limit.
BOOST_AUTO_TEST_CASE(LimitsTeamRateWhileManyNodesAreIsolated) {
  BOOST_TEST(MaxTokensOverManyNodes(28, false) <= kAllowedTokensAtLargeRate);
}

BOOST_AUTO_TEST_CASE(LimitsTeamRateWhenAllNodesRestart) {
  BOOST_TEST(MaxTokensOverManyNodes(0, true) <= kAllowedTokensAtLargeRate);
}

BOOST_AUTO_TEST_CASE(AdmitsTeamBelowItsRate) {
  limited_fleet fleet(8);
  int refused = 0;
  for (int64_t ms = 0; ms < 2000; ms += 300)
    fleet.Exchange(ms, 0);
  for (int64_t ms = 2000; ms < 22000; ms += 10) {
    if (ms % 300 == 0)
      fleet.Exchange(ms, 0);
    // Five requests per second: two thirds of the rate.
    if (ms % 200 == 0 &&
        !fleet.nodes[static_cast<std::size_t>(ms / 200) % 3].Take(
            kTeam, kRequestTokens, At(ms)))
      ++refused;
  }
  BOOST_TEST(refused <= 2);
}

BOOST_AUTO_TEST_CASE(ReturnsTokensOfRequestsNotRun) {
  fleet_rate_limiter limiter;
  limiter.SetTeams(Teams(10000), At(0));
  BOOST_TEST(limiter.Take(kTeam, 9000, At(5000)));
  BOOST_TEST(!limiter.Take(kTeam, 9000, At(5000)));
  limiter.Return(kTeam, 9000);
  BOOST_TEST(limiter.Take(kTeam, 9000, At(5000)));
}

BOOST_AUTO_TEST_CASE(DoesNotLimitTeamsWithoutARate) {
  fleet_rate_limiter limiter;
  limiter.SetTeams(Teams(0), At(0));
  BOOST_TEST(limiter.Take(kTeam, 1000000, At(0)));
  BOOST_TEST(limiter.Take(team_id("other"), 1000000, At(0)));
}

BOOST_AUTO_TEST_CASE(ChargesFullUseOfRestartedPeer) {
  fleet_rate_limiter limiter;
  limiter.SetTeams(Teams(10000), At(0));
  peer_digest digest;
  digest.node = vm_id("peer");
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.teams = {{kTeam, 500000}};
  // Tokens used before this node knew the peer.
  limiter.OnDigest(digest, At(5000));
  BOOST_TEST(limiter.Take(kTeam, 4000, At(5000)));
  digest.incarnation = 2;
  digest.teams = {{kTeam, 9000}};
  limiter.OnDigest(digest, At(5001));
  BOOST_TEST(!limiter.Take(kTeam, 4000, At(5001)));
}

}  // namespace
}  // namespace jasminepath::gateway
