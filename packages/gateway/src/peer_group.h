#ifndef JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_
#define JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
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
  std::string facts_address;
  uint64_t incarnation = 0;
  int64_t site_change = 0;
  int64_t endpoints_change = 0;
  // When it was first and last heard; the epoch if never.
  time_point known_at{};
  time_point heard_at{};
  bool silent = true;
};

// The other nodes and the datagrams between them. Knows those that registered
// and those that were heard. Runs on the loop.
class peer_group {
 public:
  peer_group(http::event_loop& loop, vm_id self, report::event_log& log);

  // Binds to "IP:PORT". The error names the address and the reason.
  result<void, std::string> Open(const std::string& address);

  // Digests and notices that come; digests of this node itself never do.
  void OnMessage(std::function<void(const peer_message& message)> callback) {
    on_message_ = std::move(callback);
  }
  // A peer was not heard for so long that it counts as gone.
  void OnGone(std::function<void(const vm_id& node)> callback) {
    on_gone_ = std::move(callback);
  }

  // A node that has registered itself.
  void Add(const vm_id& node, const std::string& address, time_point now);

  void SendToAll(const peer_message& message);
  void SendTo(const vm_id& node, const peer_message& message);

  // Looks for peers that fell silent or are gone.
  void Check(time_point now);

  // Nodes that share the load, this one included.
  int64_t node_count() const;
  const std::map<vm_id, peer_state>& peers() const { return peers_; }
  int64_t unreadable() const { return unreadable_; }

 private:
  void Receive();
  void OnDatagram(std::size_t length);

  vm_id self_;
  report::event_log& log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_;
  std::map<vm_id, peer_state> peers_;
  std::function<void(const peer_message&)> on_message_;
  std::function<void(const vm_id&)> on_gone_;
  int64_t unreadable_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_PEER_GROUP_H_
