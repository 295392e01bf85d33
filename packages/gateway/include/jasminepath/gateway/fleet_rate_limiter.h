#ifndef JASMINEPATH_GATEWAY_FLEET_RATE_LIMITER_H_
#define JASMINEPATH_GATEWAY_FLEET_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/site.h"

namespace jasminepath::gateway {

// Enforces each team's rate and burst across all nodes. Every node keeps a copy
// of the fleet-wide token bucket and subtracts the tokens that it admits and
// those that its peers report. A peer that is silent or has not reported yet is
// charged its even share of the rate. Only the fraction of the burst that
// belongs to the nodes reachable from this one can be used, so that the parts
// of a partitioned fleet together stay within the limit. Not thread-safe; does
// no I/O.
class fleet_rate_limiter {
 public:
  // Replaces the teams with those of a new configuration. Buckets of teams that
  // remain keep their level.
  void SetTeams(const std::vector<team>& teams, time_point now);

  // Sets the number of nodes that share the rate, including this one.
  void SetNodeCount(int64_t count) { node_count_ = count < 1 ? 1 : count; }

  // Charges the tokens that a peer has used since its previous digest.
  void OnDigest(const peer_digest& digest, time_point now);
  // Removes a peer that has left the fleet. It is no longer charged.
  void ForgetPeer(const vm_id& node);

  // Takes `tokens` from the team's bucket and returns true if the team is
  // within its rate. Teams without a limit are always admitted.
  bool Take(const team_id& team, int64_t tokens, time_point now);
  // Returns the tokens of a request that was not run.
  void Return(const team_id& team, int64_t tokens);

  // Estimated time until the bucket can admit another request of the team.
  duration TimeToRefill(const team_id& team, time_point now) const;

  // Tokens that this node has admitted since its start, for its digest.
  std::vector<team_usage> Usage() const;

 private:
  struct bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    time_point filled_at{};
    int64_t used = 0;
  };
  struct peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    time_point last_received_at{};
    // Number of nodes that the digest covers.
    int64_t nodes = 1;
    std::map<team_id, int64_t> used;
    // At least two digests of this incarnation have been received.
    bool has_reported_twice = false;
    // Tokens charged on assumption since the last digest.
    std::map<team_id, double> assumed_tokens;
  };

  int64_t ReachableNodes(time_point now) const;
  void Refill(time_point now);
  void ClampLevel(bucket& value) const;
  void Charge(const team_id& team, double tokens);

  int64_t node_count_ = 1;
  // Fraction of the nodes that this one can reach, including itself.
  double reachable_share_ = 1;
  std::map<team_id, bucket> buckets_;
  std::map<vm_id, peer> peers_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_FLEET_RATE_LIMITER_H_
