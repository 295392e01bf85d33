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

// One other node.
struct peer_state {
  boost::asio::ip::udp::endpoint address;
  zone_id zone;
  // In thousandths of a core.
  int64_t processor = 0;
  uint64_t incarnation = 0;
  // When it was first known and last heard; the epoch if never.
  time_point known_at{};
  time_point heard_at{};
  // Silence after which it counts as cut off.
  duration silent_after{};
  bool silent = true;
  bool leaving = false;
};

// Order of the nodes of a zone for its duties: those with most processor come
// first, the others as a hash of their names has it.
struct duty_rank {
  int64_t processor = 0;
  uint64_t hash = 0;

  friend bool operator==(const duty_rank&, const duty_rank&) = default;
  friend bool operator<(const duty_rank& a, const duty_rank& b) {
    return std::tie(b.processor, a.hash) < std::tie(a.processor, b.hash);
  }
};

// The node that speaks for another zone.
struct zone_speaker {
  boost::asio::ip::udp::endpoint address;
  time_point heard_at{};
  duration silent_after{};
  // Nodes of that zone.
  int64_t nodes = 1;
};

// The other nodes and the datagrams between them. Nodes of a zone tell each
// other everything; of each zone one node, the speaker, exchanges with those of
// other zones and passes on what it gets. Runs on the loop.
class peer_group {
 public:
  using receiver = std::function<void(const peer_message& message)>;

  peer_group(http::event_loop& loop,
             vm_id self,
             zone_id zone,
             int64_t processor,
             report::event_log& log);

  // Binds to "IP:PORT". The error names the address and the reason.
  result<void, std::string> Open(const std::string& address);

  void OnMessage(receiver callback) { on_message_ = std::move(callback); }
  // A node, or the name of a zone, was not heard for so long that it counts as
  // gone.
  void OnGone(std::function<void(const vm_id& node)> callback) {
    on_gone_ = std::move(callback);
  }

  // The port in use, for tests that bind to free ones.
  unsigned short port() const { return socket_.local_endpoint().port(); }

  // A node that has registered itself.
  void Add(const vm_id& node,
           const zone_id& zone,
           int64_t processor,
           const std::string& address,
           time_point now);

  // The name under which a zone's speaker reports.
  static vm_id NameOfZone(const zone_id& zone);

  // Brings the message to all nodes of the zone: a few get it from this node
  // and pass it on, so that no node's link carries it for the whole zone.
  void SpreadInZone(const peer_message& message);
  // The same for changes of a table, without their rows if these are too large
  // for a datagram.
  void SpreadChanges(table_changes changes);
  // Sends this node's digest to the nodes of the zone: with demand to the
  // speaker and the holder of placement, without it to the others.
  void SendDigest(const peer_digest& digest,
                  const vm_id& holder,
                  time_point now);
  // Sends to the speakers of the other zones, all but `except`.
  void SendToOtherZones(const peer_message& message,
                        time_point now,
                        const vm_id& except = {});
  // Sends what this zone's nodes say together to the other zones: with demand
  // to the holder of placement, without it to the speakers. A holder that has
  // not been heard of is taken for one of the speakers.
  void SendZoneSum(const peer_digest& sum, const vm_id& holder, time_point now);
  void SendTo(const vm_id& node, const peer_message& message);

  // How many live nodes of the zone come before this one; the first speaks.
  int64_t RankInZone(time_point now) const;
  bool IsSpeaker(time_point now) const { return RankInZone(now) == 0; }
  // The node that speaks for the zone, as far as this one hears.
  vm_id Speaker(time_point now) const;

  // Looks for nodes and zones that fell silent or are gone.
  void Check(time_point now);

  // Nodes that share the load, this one included.
  int64_t node_count() const;
  // Nodes of this zone, this one included.
  int64_t zone_node_count() const;
  const std::map<vm_id, peer_state>& peers() const { return peers_; }

 private:
  void Receive();
  void OnDatagram(std::size_t length);
  // Whether the last datagram came from a node that is known to be in another
  // zone; nothing if its sender is not known.
  std::optional<bool> SenderIsElsewhere() const;
  void SpreadFromOtherZone(const peer_message& message);
  void NoteUnreadable();
  void NoteDigest(const peer_digest& digest, bool from_other_zone);
  void NoteNode(const peer_digest& digest, time_point now);
  // Passes on what another node of the zone spreads.
  void PassOn(const vm_id& origin, std::string_view bytes);
  // The nodes of the zone that are heard, but for `origin`, by rank.
  std::vector<std::pair<duty_rank, boost::asio::ip::udp::endpoint>> SpreadOrder(
      const vm_id& origin) const;
  bool IsReachable(const zone_speaker& speaker, time_point now) const;
  bool IsLive(const peer_state& peer, time_point now) const;
  void SpreadBytes(std::string_view bytes);
  void SendBytes(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& address);

  vm_id self_;
  zone_id zone_;
  int64_t processor_;
  report::event_log& log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_;
  std::map<vm_id, peer_state> peers_;
  std::map<zone_id, zone_speaker> speakers_;
  receiver on_message_;
  std::function<void(const vm_id&)> on_gone_;
  int64_t unreadable_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_
