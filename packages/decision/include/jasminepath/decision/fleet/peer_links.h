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

// The acknowledgement that a received heartbeat contains.
struct heartbeat_receipt {
  // When this node sent the latest heartbeat that the peer had received before
  // it sent this one. The digests of the peer are at least as recent as this
  // time.
  std::optional<time_point> sent_after;
  // Whether the peer has not yet received a heartbeat from this node.
  bool unknown_to_peer = false;

  friend bool operator==(const heartbeat_receipt&,
                         const heartbeat_receipt&) = default;
};

// The links of one instance and the sequence numbers of their heartbeats. A
// link is kept while either end chooses it, so that both ends receive each
// other's heartbeats.
class peer_links {
 public:
  explicit peer_links(fleet_limits limits);

  // Sets the links that this instance chooses. Returns whether the set of links
  // has changed.
  bool SetChosen(const std::vector<peer_link>& chosen, time_point now);
  // Records that a message from `peer` was received. If there is no link to the
  // peer, opens one, which is dropped later unless one end chooses it. Returns
  // whether the set of links has changed.
  bool OnMessageReceived(const peer_link& peer, time_point now);
  // Drops links that neither end has chosen within `suspect_after`. Returns
  // whether any link was dropped.
  bool DropIdle(time_point now);
  // Drops the link immediately. Returns whether there was one.
  bool Drop(const instance_id& peer);

  heartbeat_receipt OnHeartbeat(const instance_id& peer,
                                const heartbeat_message& heartbeat,
                                time_point now);
  // Fills in the sequence, echo and chosen fields of a heartbeat that is being
  // sent to `peer`.
  void OnHeartbeatSent(const instance_id& peer,
                       heartbeat_message& heartbeat,
                       time_point now);

  // Returns the links whose peer has confirmed no heartbeat for `redial_after`
  // and that were not redialled during this time. Records these links as
  // redialled.
  std::vector<peer_link> TakeLinksToRedial(time_point now);
  // The linked peers from which nothing was received for `suspect_after`.
  std::vector<instance_id> SilentPeers(time_point now) const;

  std::vector<peer_link> All() const;
  std::optional<peer_link> Find(const instance_id& peer) const;
  bool Has(const instance_id& peer) const { return links_.contains(peer); }
  // Whether a message was received from the peer within the last `period`.
  bool HasReceivedWithin(const instance_id& peer,
                         duration period,
                         time_point now) const;
  // Whether the peer is linked and has not yet confirmed any heartbeat of this
  // instance.
  bool IsUnknownTo(const instance_id& peer) const;

 private:
  static constexpr std::size_t kSentHeartbeatHistory = 32;

  // The sequence and time of a sent heartbeat.
  struct sent_heartbeat {
    int64_t sequence = 0;
    time_point at{};

    friend bool operator==(const sent_heartbeat&,
                           const sent_heartbeat&) = default;
  };

  struct link {
    peer_link peer;
    bool chosen = false;
    time_point opened_at{};
    time_point last_received_at{};
    // When the peer last reported that it chose the link.
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
