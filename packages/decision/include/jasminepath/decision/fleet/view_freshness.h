#ifndef JASMINEPATH_DECISION_FLEET_VIEW_FRESHNESS_H_
#define JASMINEPATH_DECISION_FLEET_VIEW_FRESHNESS_H_

#include <map>
#include <optional>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Tracks whether this node's copy of the facts is recent enough to act on. The
// copy must have been confirmed within the lifetime either by the platform,
// directly or through a peer, or by a majority of the known nodes, including
// this one. A confirmation counts from the time at which the request was sent,
// so that an answer that arrives late, or that is processed after a pause, does
// not confirm a later state.
class view_freshness {
 public:
  explicit view_freshness(duration lifetime);

  // Records that the platform held nothing at `at` that this node lacks.
  void OnPlatformConfirmed(time_point at);
  // Records that the peer held nothing at `at` that this node lacks.
  void OnPeerConfirmed(const instance_id& peer, time_point at);

  // Discards the confirmations of a peer that has ended.
  void RemovePeer(const instance_id& peer);

  // Whether the copy is fresh at `now`. `others` are the other nodes that count
  // for the majority.
  bool IsFresh(const std::vector<instance_id>& others, time_point now) const;

  // When the platform last confirmed the copy, if it has.
  std::optional<time_point> platform_confirmed_at() const {
    return platform_confirmed_at_;
  }

 private:
  bool IsRecent(time_point at, time_point now) const;

  duration lifetime_;
  std::optional<time_point> platform_confirmed_at_;
  std::map<instance_id, time_point> peers_confirmed_at_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_VIEW_FRESHNESS_H_
