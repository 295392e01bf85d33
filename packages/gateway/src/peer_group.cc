#include "peer_group.h"

#include <boost/asio/buffer.hpp>

#include "jasminepath/http/server.h"

namespace jasminepath::gateway {
namespace {

using boost::asio::ip::udp;

// Silence after which a peer counts as cut off: several times the interval of
// digests.
constexpr duration kSilentAfter = Milliseconds(1500);
// Silence after which it counts as gone for good: longer than the usual
// partition.
constexpr duration kGoneAfter = Seconds(20);
// Time that a registered node has to be heard for the first time.
constexpr duration kUnheardAfter = Seconds(5);

}  // namespace

peer_group::peer_group(http::event_loop& loop,
                       vm_id self,
                       report::event_log& log)
    : self_(std::move(self)), log_(log), socket_(loop) {}

result<void, std::string> peer_group::Open(const std::string& address) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint)
    return failure(endpoint.error());
  const udp::endpoint local(endpoint.value().address(),
                            endpoint.value().port());
  boost::system::error_code error;
  socket_.open(local.protocol(), error);
  if (!error)
    socket_.bind(local, error);
  if (!error)
    socket_.non_blocking(true, error);
  if (error)
    return failure("cannot bind to " + address + ": " + error.message());
  Receive();
  return success();
}

void peer_group::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& error, std::size_t length) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (!error)
          OnDatagram(length);
        Receive();
      });
}

void peer_group::OnDatagram(std::size_t length) {
  const auto message =
      DecodePeerMessage(std::string_view(buffer_.data(), length));
  if (!message) {
    ++unreadable_;
    return;
  }
  const auto* digest = std::get_if<peer_digest>(&*message);
  if (digest != nullptr) {
    if (digest->node == self_ || digest->node.empty())
      return;
    peer_state& peer = peers_[digest->node];
    const time_point now = boot_clock::now();
    if (peer.silent || peer.incarnation != digest->incarnation)
      log_.Write(report::log_level::info, "peer_heard",
                 {{"peer", digest->node.value()},
                  {"restarted", static_cast<int64_t>(peer.incarnation !=
                                                     digest->incarnation)}});
    peer.silent = false;
    peer.address = sender_;
    peer.zone = digest->zone;
    peer.facts_address = digest->facts_address;
    peer.incarnation = digest->incarnation;
    peer.site_change = digest->site_change;
    peer.endpoints_change = digest->endpoints_change;
    peer.heard_at = now;
  }
  if (on_message_)
    on_message_(*message);
}

void peer_group::Add(const vm_id& node,
                     const std::string& address,
                     time_point now) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint || node == self_ || peers_.contains(node))
    return;
  peer_state peer;
  peer.address =
      udp::endpoint(endpoint.value().address(), endpoint.value().port());
  peer.known_at = now;
  peers_.emplace(node, peer);
}

void peer_group::SendToAll(const peer_message& message) {
  const std::string bytes = EncodePeerMessage(message);
  for (const auto& [node, peer] : peers_) {
    // A full queue drops the datagram; the next digest replaces it.
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes), peer.address, 0, ignored);
  }
}

void peer_group::SendTo(const vm_id& node, const peer_message& message) {
  const auto found = peers_.find(node);
  if (found == peers_.end())
    return;
  const std::string bytes = EncodePeerMessage(message);
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes), found->second.address, 0,
                  ignored);
}

void peer_group::Check(time_point now) {
  std::vector<vm_id> gone;
  for (auto& [node, peer] : peers_) {
    const bool never = peer.heard_at == time_point{};
    if (never) {
      if (now - peer.known_at > kUnheardAfter)
        gone.push_back(node);
      continue;
    }
    if (!peer.silent && now - peer.heard_at > kSilentAfter) {
      peer.silent = true;
      log_.Write(report::log_level::warning, "peer_silent",
                 {{"peer", node.value()},
                  {"age_ms", ToMilliseconds(now - peer.heard_at)}});
    }
    if (now - peer.heard_at > kGoneAfter)
      gone.push_back(node);
  }
  for (const vm_id& node : gone) {
    log_.Write(report::log_level::info, "peer_gone", {{"peer", node.value()}});
    peers_.erase(node);
    if (on_gone_)
      on_gone_(node);
  }
}

int64_t peer_group::node_count() const {
  return static_cast<int64_t>(peers_.size()) + 1;
}

}  // namespace jasminepath::gateway
