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

// Keeps each team within its rate and burst over all nodes. Every node holds
// a copy of the fleet's token bucket and takes from it what it lets through
// and what its peers report. A peer that is silent or not yet heard is charged
// its even part of the rate, and only the part of the burst can be used that
// falls to the nodes which hear each other, so that the parts of a cut fleet
// together stay within the limit. Not
// thread-safe; does no I/O.
class fleet_rate_limiter {
 public:
  // Takes the teams of a new configuration.
  void SetTeams(const std::vector<team>& teams, time_point now);

  // How many nodes share the rate, this one included.
  void SetNodeCount(int64_t count) { node_count_ = count < 1 ? 1 : count; }

  // Takes in what a peer has used.
  void OnDigest(const peer_digest& digest, time_point now);
  // The peer is gone for good; it is no longer charged.
  void ForgetPeer(const vm_id& node);

  // Takes `tokens` if the team is within its rate. Teams that are not limited
  // always are.
  bool Take(const team_id& team, int64_t tokens, time_point now);
  // Gives back what a request took that has not run.
  void Return(const team_id& team, int64_t tokens);

  // Time until the team may send again.
  duration TimeToRefill(const team_id& team, time_point now) const;

  // What this node has let through, for its digest.
  std::vector<team_use> Used() const;

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
    time_point heard_at{};
    // Nodes that it speaks for.
    int64_t nodes = 1;
    std::map<team_id, int64_t> used;
    // This run of it has reported more than once.
    bool reported_twice = false;
    // Charged since its last report.
    std::map<team_id, double> assumed;
  };

  int64_t ReachableNodes(time_point now) const;
  void Fill(time_point now);
  void Bound(bucket& value) const;
  void Charge(const team_id& team, double tokens);

  int64_t node_count_ = 1;
  // Part of the nodes that this one hears, itself included.
  double reachable_share_ = 1;
  std::map<team_id, bucket> buckets_;
  std::map<vm_id, peer> peers_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_FLEET_RATE_LIMITER_H_
