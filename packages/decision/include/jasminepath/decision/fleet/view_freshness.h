#ifndef JASMINEPATH_DECISION_FLEET_VIEW_FRESHNESS_H_
#define JASMINEPATH_DECISION_FLEET_VIEW_FRESHNESS_H_

#include <map>
#include <optional>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Whether this node's copy of the facts is recent enough to act on: confirmed
// within the lifetime by the platform, itself or through a peer, or by a
// majority of the nodes it knows, counting itself. A confirmation counts from
// the time at which the question was sent, so that a late answer, or one read
// after a pause, confirms nothing that it cannot.
class view_freshness {
 public:
  explicit view_freshness(duration lifetime);

  // The platform held nothing at `at` that this node lacks.
  void OnPlatformConfirmed(time_point at);
  // The peer held nothing at `at` that this node lacks.
  void OnPeerConfirmed(const instance_id& peer, time_point at);

  // The peer has ended.
  void RemovePeer(const instance_id& peer);

  // `others` are the nodes that count for the majority.
  bool IsFresh(const std::vector<instance_id>& others, time_point now) const;

  // The latest confirmation by the platform.
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
