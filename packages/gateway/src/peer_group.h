#ifndef JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_
#define JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "jasminepath/base/result.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/http/event_loop.h"
#include "jasminepath/report/event_log.h"

namespace jasminepath::gateway {

// State of one other node.
struct peer_state {
  boost::asio::ip::udp::endpoint address;
  zone_id zone;
  // CPU of the node, in thousandths of a core.
  int64_t cpu_millicores = 0;
  uint64_t incarnation = 0;
  // Time when the node became known and time of its last digest; the epoch if
  // none was received.
  time_point known_at{};
  time_point last_received_at{};
  // Time without a digest after which the node counts as disconnected.
  duration silence_timeout{};
  bool silent = true;
  bool leaving = false;
};

// Sort key of a zone's nodes for its duties: nodes with the most CPU first,
// equal ones by a hash of their names.
struct duty_rank {
  int64_t cpu_millicores = 0;
  uint64_t hash = 0;

  friend bool operator==(const duty_rank&, const duty_rank&) = default;
  friend bool operator<(const duty_rank& a, const duty_rank& b) {
    return std::tie(b.cpu_millicores, a.hash) <
           std::tie(a.cpu_millicores, b.hash);
  }
};

// The node that represents another zone.
struct zone_representative {
  boost::asio::ip::udp::endpoint address;
  time_point last_received_at{};
  duration silence_timeout{};
  // Number of nodes in that zone.
  int64_t nodes = 1;
};

// The other nodes and the datagrams exchanged with them. Nodes of a zone send
// each other everything. One node of each zone, its representative, exchanges
// messages with other zones and forwards what it receives. Runs on the event
// loop.
class peer_group {
 public:
  using receiver = std::function<void(const peer_message& message)>;

  peer_group(http::event_loop& loop,
             vm_id self,
             zone_id zone,
             int64_t cpu_millicores,
             report::event_log& log);

  // Binds to "IP:PORT". The error names the address and the reason.
  result<void, std::string> Open(const std::string& address);

  void OnMessage(receiver callback) { on_message_ = std::move(callback); }
  // Sets the callback for a node or a zone (see NameOfZone()) that has been
  // silent for so long that it was removed.
  void OnGone(std::function<void(const vm_id& node)> callback) {
    on_gone_ = std::move(callback);
  }

  // Bound port, for tests that bind to an ephemeral one.
  unsigned short port() const { return socket_.local_endpoint().port(); }

  // Adds a node that is registered in the store.
  void Add(const vm_id& node,
           const zone_id& zone,
           int64_t cpu_millicores,
           const std::string& address,
           time_point now);

  // The id under which a zone's representative reports.
  static vm_id NameOfZone(const zone_id& zone);

  // Broadcasts the message to all nodes of the zone. This node sends it to a
  // few nodes, which forward it, so that no node's link carries all copies.
  void BroadcastInZone(const peer_message& message);
  // Broadcasts changes of a table, in several datagrams if necessary. The rows
  // are omitted if they are too many, or if a snapshot or a single row is too
  // large for a datagram.
  void BroadcastChanges(table_changes changes);
  // Sends this node's digest to the nodes of the zone: with demand to the
  // representative and the placement holder, without it to the others.
  void SendDigest(const peer_digest& digest,
                  const vm_id& holder,
                  time_point now);
  // Sends the message to the representatives of the other zones, except to the
  // node `except`.
  void SendToOtherZones(const peer_message& message,
                        time_point now,
                        const vm_id& except = {});
  // Sends this zone's digest to the other zones: with demand to the placement
  // holder, without it to the representatives. If the holder is not known, the
  // representatives get it with demand, since one of them may be the holder.
  void SendZoneDigest(const peer_digest& zone_digest,
                      const vm_id& holder,
                      time_point now);
  void SendTo(const vm_id& node, const peer_message& message);
  // Sends a question to some of the nodes that would know the answer if they
  // are well informed: in round 0 to nodes of this zone, in round 1 to nodes of
  // other zones. Which ones depends on `seed`. Returns their number.
  std::size_t Ask(const peer_message& message,
                  int round,
                  uint64_t seed,
                  time_point now);
  // Sends the message to the sender of the one that is being received.
  void Reply(const peer_message& message);

  // Whether this node receives digests that cover at least half of the nodes it
  // knows, including itself.
  bool HearsMost(time_point now) const;

  // Number of live nodes of the zone that rank before this one. The node with
  // rank 0 represents the zone.
  int64_t RankInZone(time_point now) const;
  bool IsZoneRepresentative(time_point now) const {
    return RankInZone(now) == 0;
  }
  // The representative of this zone among the nodes that this one receives
  // digests from.
  vm_id ZoneRepresentative(time_point now) const;

  // Detects nodes and zones that have become silent or have left.
  void Check(time_point now);

  // Number of nodes of all zones, including this one.
  int64_t node_count() const;
  // Number of nodes of this zone, including this one.
  int64_t zone_node_count() const;
  const std::map<vm_id, peer_state>& peers() const { return peers_; }

 private:
  std::vector<boost::asio::ip::udp::endpoint> AskedInZone(uint64_t seed,
                                                          time_point now) const;
  std::vector<boost::asio::ip::udp::endpoint> AskedInOtherZones(
      uint64_t seed,
      time_point now) const;
  void Receive();
  void OnDatagram(std::size_t length);
  // Whether the sender of the last datagram is known to be in another zone;
  // nullopt if the sender is unknown.
  std::optional<bool> IsSenderInOtherZone() const;
  void BroadcastFromOtherZone(const peer_message& message);
  void CountUnreadable();
  void RecordDigest(const peer_digest& digest, bool from_other_zone);
  void RecordNode(const peer_digest& digest, time_point now);
  // Forwards a broadcast of another node of the zone.
  void Forward(const vm_id& origin, std::string_view bytes);
  // The live nodes of the zone except `origin`, by rank.
  std::vector<std::pair<duty_rank, boost::asio::ip::udp::endpoint>>
  BroadcastOrder(const vm_id& origin) const;
  bool IsReachable(const zone_representative& representative,
                   time_point now) const;
  bool IsLive(const peer_state& peer, time_point now) const;
  void BroadcastBytes(std::string_view bytes);
  void SendBytes(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& address);

  vm_id self_;
  zone_id zone_;
  int64_t cpu_millicores_;
  report::event_log& log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_;
  std::map<vm_id, peer_state> peers_;
  std::map<zone_id, zone_representative> representatives_;
  receiver on_message_;
  std::function<void(const vm_id&)> on_gone_;
  int64_t unreadable_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_
