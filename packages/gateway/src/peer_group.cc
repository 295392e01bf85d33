#include "peer_group.h"

#include <algorithm>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <vector>

#include "jasminepath/base/digest.h"
#include "jasminepath/http/server.h"

namespace jasminepath::gateway {
namespace {

using boost::asio::ip::udp;

// Silence after which it counts as gone for good: longer than the usual
// partition.
constexpr duration kGoneAfter = Seconds(20);
// Time that a registered node has to be heard for the first time.
constexpr duration kUnheardAfter = Seconds(5);
// Bytes of a datagram with rows; larger changes are fetched over a connection.
constexpr std::size_t kMostDatagramBytes = 8192;
// Rows that are spread at most; with more of them, a fetch by each node loads
// the links less than the datagrams.
constexpr std::size_t kMostSpreadRows = 400;
// Nodes to which each node passes on what is spread in a zone.
constexpr std::size_t kSpreadFanout = 4;
// Nodes of a zone without a known speaker that are tried at a time.
constexpr std::size_t kSpeakersTried = 3;

// Silence after which a node that sends a digest every `interval` counts as cut
// off: three of them may be lost on full links.
constexpr duration SilentAfter(duration interval) {
  return interval * 11 / 3;
}

duty_rank RankOf(const vm_id& node, int64_t processor) {
  return {processor, StableHash(node.value() + "/speaker")};
}

}  // namespace

peer_group::peer_group(http::event_loop& loop,
                       vm_id self,
                       zone_id zone,
                       int64_t processor,
                       report::event_log& log)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      processor_(processor),
      log_(log),
      socket_(loop) {}

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
  const std::string_view bytes(buffer_.data(), length);
  const auto envelope = DecodePeerMessage(bytes);
  if (!envelope)
    return NoteUnreadable();
  const peer_message& message = envelope->message;
  const bool is_spread = !envelope->spread_by.empty();
  // What is spread in the zone comes from a node of it.
  const std::optional<bool> elsewhere =
      is_spread ? std::optional(false) : SenderIsElsewhere();
  bool from_other_zone = elsewhere.value_or(false);
  if (const auto* digest = std::get_if<peer_digest>(&message)) {
    if (digest->node == self_ || digest->node.empty())
      return;
    from_other_zone = digest->zone != zone_ && elsewhere.value_or(true);
    NoteDigest(*digest, from_other_zone);
  }
  if (is_spread && envelope->spread_by != self_)
    PassOn(envelope->spread_by, bytes);
  if (from_other_zone && IsSpeaker(boot_clock::now()))
    SpreadFromOtherZone(message);
  if (on_message_)
    on_message_(message);
}

// A single node of another zone speaks to the placement holder alone: its
// zone's speaker counts it for everybody else.
void peer_group::SpreadFromOtherZone(const peer_message& message) {
  const auto* digest = std::get_if<peer_digest>(&message);
  if (digest == nullptr)
    SpreadInZone(message);
  else if (digest->whole_zone)
    SpreadInZone(WithoutDemand(*digest));
}

void peer_group::NoteUnreadable() {
  ++unreadable_;
  // At powers of two only, so that a flood does not fill the log.
  if (std::has_single_bit(static_cast<uint64_t>(unreadable_)))
    log_.Write(
        report::log_level::warning, "datagram_unreadable",
        {{"sender", sender_.address().to_string()}, {"count", unreadable_}});
}

void peer_group::NoteDigest(const peer_digest& digest, bool from_other_zone) {
  const time_point now = boot_clock::now();
  if (!digest.whole_zone)
    return NoteNode(digest, now);
  if (digest.zone == zone_)
    return;
  zone_speaker& speaker = speakers_[digest.zone];
  if (from_other_zone)
    speaker.address = sender_;
  speaker.heard_at = now;
  speaker.silent_after = SilentAfter(Milliseconds(digest.interval_ms));
  speaker.nodes = digest.nodes;
}

std::optional<bool> peer_group::SenderIsElsewhere() const {
  const auto sender = std::find_if(
      peers_.begin(), peers_.end(),
      [this](const auto& item) { return item.second.address == sender_; });
  if (sender == peers_.end())
    return std::nullopt;
  return sender->second.zone != zone_;
}

void peer_group::NoteNode(const peer_digest& digest, time_point now) {
  peer_state& peer = peers_[digest.node];
  const bool restarted = peer.incarnation != digest.incarnation;
  if (peer.silent || restarted)
    log_.Write(report::log_level::info, "peer_heard",
               {{"peer", digest.node.value()},
                {"restarted", static_cast<int64_t>(restarted)}});
  peer.silent = false;
  peer.leaving = digest.leaving;
  peer.address = sender_;
  peer.zone = digest.zone;
  peer.processor = digest.processor;
  peer.incarnation = digest.incarnation;
  peer.heard_at = now;
  peer.silent_after = SilentAfter(Milliseconds(digest.interval_ms));
}

void peer_group::Add(const vm_id& node,
                     const zone_id& zone,
                     int64_t processor,
                     const std::string& address,
                     time_point now) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint || node == self_ || peers_.contains(node))
    return;
  peer_state peer;
  peer.address =
      udp::endpoint(endpoint.value().address(), endpoint.value().port());
  peer.zone = zone;
  peer.processor = processor;
  peer.known_at = now;
  peers_.emplace(node, peer);
}

vm_id peer_group::NameOfZone(const zone_id& zone) {
  return vm_id("zone/" + zone.value());
}

void peer_group::SendBytes(std::string_view bytes,
                           const udp::endpoint& address) {
  // A full queue drops the datagram; the next digest replaces it.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), address, 0,
                  ignored);
}

std::vector<std::pair<duty_rank, udp::endpoint>> peer_group::SpreadOrder(
    const vm_id& origin) const {
  std::vector<std::pair<duty_rank, udp::endpoint>> order;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ && peer.heard_at != time_point{} && !peer.silent &&
        node != origin)
      order.emplace_back(RankOf(node, peer.processor), peer.address);
  }
  std::sort(order.begin(), order.end());
  return order;
}

void peer_group::SpreadInZone(const peer_message& message) {
  SpreadBytes(EncodePeerMessage(message, self_));
}

void peer_group::SpreadChanges(table_changes changes) {
  const std::string bytes = EncodePeerMessage(changes, self_);
  if (bytes.size() <= kMostDatagramBytes)
    return SpreadBytes(bytes);
  if (changes.whole || changes.rows.size() < 2 ||
      changes.rows.size() > kMostSpreadRows) {
    changes.rows.clear();
    return SpreadInZone(changes);
  }
  // Rows are in the order of their versions, so that the first half makes the
  // table complete up to its last row.
  const auto middle = changes.rows.begin() + std::ssize(changes.rows) / 2;
  table_changes first = changes;
  first.rows.assign(changes.rows.begin(), middle);
  first.last_change = first.complete_to = first.rows.back().version;
  changes.rows.erase(changes.rows.begin(), middle);
  changes.previous_change = first.last_change;
  SpreadChanges(std::move(first));
  SpreadChanges(std::move(changes));
}

void peer_group::SpreadBytes(std::string_view bytes) {
  const auto order = SpreadOrder(self_);
  for (std::size_t i = 0; i < std::min(order.size(), kSpreadFanout); ++i)
    SendBytes(bytes, order[i].second);
  // Those that have not been heard yet may not be known to the others either.
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ && peer.heard_at == time_point{})
      SendBytes(bytes, peer.address);
  }
}

// The nodes in the order of their ranks form a tree, in which each has
// kSpreadFanout children of higher ranks; so nothing goes round in circles,
// even while nodes disagree on who is there.
void peer_group::PassOn(const vm_id& origin, std::string_view bytes) {
  const auto order = SpreadOrder(origin);
  const duty_rank own = RankOf(self_, processor_);
  const auto place = static_cast<std::size_t>(
      std::count_if(order.begin(), order.end(),
                    [own](const auto& item) { return item.first < own; }));
  // This node is not in the order itself, but counts at its place.
  const std::size_t first = kSpreadFanout * (place + 1) - 1;
  const std::size_t last = std::min(first + kSpreadFanout, order.size());
  for (std::size_t i = first; i < last; ++i)
    SendBytes(bytes, order[i].second);
}

void peer_group::SendDigest(const peer_digest& digest,
                            const vm_id& holder,
                            time_point now) {
  const std::string full = EncodePeerMessage(digest);
  const std::string brief = EncodePeerMessage(WithoutDemand(digest));
  const vm_id speaker = Speaker(now);
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_)
      SendBytes(node == speaker || node == holder ? full : brief, peer.address);
  }
}

void peer_group::SendToOtherZones(const peer_message& message,
                                  time_point now,
                                  const vm_id& except) {
  const std::string bytes = EncodePeerMessage(message);
  const auto left_out = peers_.find(except);
  std::map<zone_id, std::vector<std::pair<duty_rank, udp::endpoint>>> silent;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ || peer.zone.empty())
      continue;
    const auto speaker = speakers_.find(peer.zone);
    if (speaker == speakers_.end() || !IsReachable(speaker->second, now))
      silent[peer.zone].emplace_back(RankOf(node, peer.processor),
                                     peer.address);
  }
  for (const auto& [zone, speaker] : speakers_) {
    const bool is_left_out =
        left_out != peers_.end() && left_out->second.address == speaker.address;
    if (IsReachable(speaker, now) && !is_left_out)
      SendBytes(bytes, speaker.address);
  }
  for (auto& [zone, nodes] : silent) {
    std::sort(nodes.begin(), nodes.end());
    nodes.resize(std::min(nodes.size(), kSpeakersTried));
    for (const auto& [rank, address] : nodes)
      SendBytes(bytes, address);
  }
}

void peer_group::SendZoneSum(const peer_digest& sum,
                             const vm_id& holder,
                             time_point now) {
  const auto known = peers_.find(holder);
  if (known == peers_.end() && holder != self_)
    return SendToOtherZones(sum, now);
  SendToOtherZones(WithoutDemand(sum), now, holder);
  if (known != peers_.end() && known->second.zone != zone_)
    SendTo(holder, sum);
}

void peer_group::SendTo(const vm_id& node, const peer_message& message) {
  const auto found = peers_.find(node);
  if (found != peers_.end())
    SendBytes(EncodePeerMessage(message), found->second.address);
}

bool peer_group::IsReachable(const zone_speaker& speaker,
                             time_point now) const {
  // A node that has never spoken for its zone has heard the others through its
  // own speaker only and does not know where they are.
  return speaker.address.port() != 0 &&
         now - speaker.heard_at <= speaker.silent_after;
}

bool peer_group::IsLive(const peer_state& peer, time_point now) const {
  return peer.zone == zone_ && !peer.leaving && peer.heard_at != time_point{} &&
         now - peer.heard_at <= peer.silent_after;
}

int64_t peer_group::RankInZone(time_point now) const {
  const duty_rank own = RankOf(self_, processor_);
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
    return IsLive(item.second, now) &&
           RankOf(item.first, item.second.processor) < own;
  });
}

vm_id peer_group::Speaker(time_point now) const {
  vm_id speaker = self_;
  duty_rank lowest = RankOf(self_, processor_);
  for (const auto& [node, peer] : peers_) {
    if (IsLive(peer, now) && RankOf(node, peer.processor) < lowest) {
      speaker = node;
      lowest = RankOf(node, peer.processor);
    }
  }
  return speaker;
}

void peer_group::Check(time_point now) {
  std::vector<vm_id> gone;
  for (auto& [node, peer] : peers_) {
    // Nodes of other zones are known by their speakers only.
    if (peer.zone != zone_)
      continue;
    const bool never = peer.heard_at == time_point{};
    if (never) {
      if (now - peer.known_at > kUnheardAfter)
        gone.push_back(node);
      continue;
    }
    if (!peer.silent && now - peer.heard_at > peer.silent_after) {
      peer.silent = true;
      log_.Write(report::log_level::warning, "peer_silent",
                 {{"peer", node.value()},
                  {"age_ms", ToMilliseconds(now - peer.heard_at)}});
    }
    if (now - peer.heard_at > kGoneAfter)
      gone.push_back(node);
  }
  for (const vm_id& node : gone)
    peers_.erase(node);
  for (auto speaker = speakers_.begin(); speaker != speakers_.end();) {
    if (now - speaker->second.heard_at <= kGoneAfter) {
      ++speaker;
      continue;
    }
    gone.push_back(NameOfZone(speaker->first));
    speaker = speakers_.erase(speaker);
  }
  for (const vm_id& node : gone) {
    log_.Write(report::log_level::info, "peer_gone", {{"peer", node.value()}});
    if (on_gone_)
      on_gone_(node);
  }
}

int64_t peer_group::zone_node_count() const {
  return 1 + std::count_if(peers_.begin(), peers_.end(), [this](const auto& i) {
           return i.second.zone == zone_;
         });
}

int64_t peer_group::node_count() const {
  int64_t count = zone_node_count();
  for (const auto& [zone, speaker] : speakers_)
    count += speaker.nodes;
  // Zones that have not been heard yet count as they are registered.
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ && !speakers_.contains(peer.zone))
      ++count;
  }
  return count;
}

}  // namespace jasminepath::gateway
