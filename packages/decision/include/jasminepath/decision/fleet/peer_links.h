#ifndef JASMINEPATH_DECISION_FLEET_PEER_LINKS_H_
#define JASMINEPATH_DECISION_FLEET_PEER_LINKS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/fleet_action.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/messages.h"

namespace jasminepath::decision {

// What a received heartbeat says about time.
struct heartbeat_receipt {
  // When this node sent the latest heartbeat that the peer had received before
  // it sent this one: the peer's digests are not older.
  std::optional<time_point> sent_after;
  // The peer has not yet heard this node.
  bool unknown_to_peer = false;

  friend bool operator==(const heartbeat_receipt&,
                         const heartbeat_receipt&) = default;
};

// The links of one instance, with the numbering of their heartbeats. A link is
// kept while either end chooses it, so that both ends hear each other.
class peer_links {
 public:
  explicit peer_links(fleet_limits limits);

  // Sets the links chosen by this instance. Returns whether the set of links
  // has changed.
  bool SetChosen(const std::vector<peer_link>& chosen, time_point now);
  // Something came from `peer`: opens a link to it for a while. Returns whether
  // the set of links has changed.
  bool OnMessageReceived(const peer_link& peer, time_point now);
  // Drops links that neither end has chosen of late. Returns whether any was.
  bool DropIdle(time_point now);
  // Drops the link at once.
  bool Drop(const instance_id& peer);

  heartbeat_receipt OnHeartbeat(const instance_id& peer,
                                const heartbeat_message& heartbeat,
                                time_point now);
  // Numbers a heartbeat that is sent to `peer` now.
  void OnHeartbeatSent(const instance_id& peer,
                       heartbeat_message& heartbeat,
                       time_point now);

  // Links whose peer has confirmed nothing for too long and that were not
  // redialled since; counts them as redialled.
  std::vector<peer_link> TakeLinksToRedial(time_point now);
  // Peers not heard for the suspicion time.
  std::vector<instance_id> SilentPeers(time_point now) const;

  std::vector<peer_link> All() const;
  std::optional<peer_link> Find(const instance_id& peer) const;
  bool Has(const instance_id& peer) const { return links_.contains(peer); }
  // Whether something came from the peer within `span`.
  bool HasReceivedWithin(const instance_id& peer,
                         duration period,
                         time_point now) const;
  // The peer has not confirmed any heartbeat of this instance.
  bool IsUnknownTo(const instance_id& peer) const;

 private:
  static constexpr std::size_t kSentHeartbeatHistory = 32;

  // A heartbeat that was sent.
  struct sent_heartbeat {
    int64_t sequence = 0;
    time_point at{};

    friend bool operator==(const sent_heartbeat&,
                           const sent_heartbeat&) = default;
  };

  // One link.
  struct link {
    peer_link peer;
    bool chosen = false;
    time_point opened_at{};
    time_point last_received_at{};
    // When the peer last said that it chose the link.
    time_point chosen_by_peer_at{};
    time_point confirmed_at{};
    time_point redialled_at{};
    int64_t sent_sequence = 0;
    int64_t received_sequence = 0;
    bool unknown_to_peer = true;
    std::array<sent_heartbeat, kSentHeartbeatHistory> sent{};
  };

  link MakeLink(const peer_link& peer, bool chosen, time_point now) const;
  int64_t CountAnsweringLinks() const;

  fleet_limits limits_;
  std::map<instance_id, link> links_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_PEER_LINKS_H_
