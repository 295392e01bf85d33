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

// Time without a digest after which a node is removed: longer than the usual
// partition.
constexpr duration kPeerRemovalTimeout = Seconds(20);
// Time within which the first digest of a registered node must arrive.
constexpr duration kFirstDigestTimeout = Seconds(5);
// Maximum size of a datagram with rows; larger changes are split or fetched
// over a connection.
constexpr std::size_t kMaxDatagramBytes = 8192;
// Maximum number of rows in a broadcast. For more rows, a fetch by each node
// loads the links less than the datagrams do.
constexpr std::size_t kMaxBroadcastRows = 400;
// Number of nodes to which each node forwards a broadcast.
constexpr std::size_t kBroadcastFanout = 4;
// Maximum number of nodes to which a message for a zone without a known
// representative is sent at once.
constexpr std::size_t kMaxRepresentativesTried = 3;

// Maximum number of nodes that are asked a question: of this zone, of each
// other zone, and of all other zones.
constexpr std::size_t kMaxAskedInZone = 2;
constexpr std::size_t kMaxAskedOfZone = 2;
constexpr std::size_t kMaxAskedElsewhere = 6;

// Time without a digest after which a node with digest interval `interval`
// counts as disconnected. Three digests may be lost on congested links.
constexpr duration SilenceTimeout(duration interval) {
  return interval * 11 / 3;
}

duty_rank RankOf(const vm_id& node, int64_t cpu_millicores) {
  return {cpu_millicores, StableHash(node.value() + "/speaker")};
}

struct crash_sender {
  vm_id node;
  zone_id zone;
};

// Who has sent the message, if it reports crashes.
std::optional<crash_sender> SenderOfCrashes(const peer_message& message) {
  if (const auto* report = std::get_if<crash_report>(&message))
    return crash_sender{report->node, report->zone};
  if (const auto* history = std::get_if<crash_history>(&message))
    return crash_sender{history->node, history->zone};
  return std::nullopt;
}

// Returns a position near the middle between two rows of different versions;
// nullopt if all have the same version.
std::optional<std::ptrdiff_t> SplitPosition(
    const std::vector<changed_row>& rows) {
  if (rows.empty())
    return std::nullopt;
  const auto [first, last] =
      std::equal_range(rows.begin(), rows.end(), rows[rows.size() / 2],
                       [](const changed_row& a, const changed_row& b) {
                         return a.version < b.version;
                       });
  if (first != rows.begin())
    return first - rows.begin();
  if (last != rows.end())
    return last - rows.begin();
  return std::nullopt;
}

}  // namespace

peer_group::peer_group(http::event_loop& loop,
                       vm_id self,
                       zone_id zone,
                       int64_t cpu_millicores,
                       report::event_log& log)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      cpu_millicores_(cpu_millicores),
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
    return CountUnreadable();
  const peer_message& message = envelope->message;
  const bool is_broadcast = !envelope->broadcast_origin.empty();
  // Broadcasts come from nodes of this zone.
  const std::optional<bool> sender_in_other_zone =
      is_broadcast ? std::optional(false) : IsSenderInOtherZone();
  bool from_other_zone = sender_in_other_zone.value_or(false);
  if (const auto* digest = std::get_if<peer_digest>(&message)) {
    if (digest->node == self_ || digest->node.empty())
      return;
    from_other_zone =
        digest->zone != zone_ && sender_in_other_zone.value_or(true);
    RecordDigest(*digest, from_other_zone);
  } else if (const auto sender = SenderOfCrashes(message)) {
    if (sender->node == self_ || sender->node.empty())
      return;
    from_other_zone = !is_broadcast && sender->zone != zone_ &&
                      sender_in_other_zone.value_or(true);
  }
  if (is_broadcast && envelope->broadcast_origin != self_)
    Forward(envelope->broadcast_origin, bytes);
  const bool is_for_this_node_only =
      std::holds_alternative<origin_query>(message) ||
      std::holds_alternative<origin_reply>(message);
  if (from_other_zone && !is_for_this_node_only &&
      IsZoneRepresentative(boot_clock::now()))
    BroadcastFromOtherZone(message);
  if (on_message_)
    on_message_(message);
}

// A single node of another zone addresses only the placement holder; for all
// others it is counted in its zone's digest.
void peer_group::BroadcastFromOtherZone(const peer_message& message) {
  const auto* digest = std::get_if<peer_digest>(&message);
  if (digest == nullptr)
    BroadcastInZone(message);
  else if (digest->is_zone_digest)
    BroadcastInZone(WithoutDemand(*digest));
}

void peer_group::CountUnreadable() {
  ++unreadable_;
  // Only counts that are powers of two are logged, so that a flood does not
  // fill the log.
  if (std::has_single_bit(static_cast<uint64_t>(unreadable_)))
    log_.Write(
        report::log_level::warning, "datagram_unreadable",
        {{"sender", sender_.address().to_string()}, {"count", unreadable_}});
}

void peer_group::RecordDigest(const peer_digest& digest, bool from_other_zone) {
  const time_point now = boot_clock::now();
  if (!digest.is_zone_digest)
    return RecordNode(digest, now);
  if (digest.zone == zone_)
    return;
  zone_representative& representative = representatives_[digest.zone];
  if (from_other_zone)
    representative.address = sender_;
  representative.last_received_at = now;
  representative.silence_timeout =
      SilenceTimeout(Milliseconds(digest.interval_ms));
  representative.nodes = digest.nodes;
}

std::optional<bool> peer_group::IsSenderInOtherZone() const {
  const auto sender = std::find_if(
      peers_.begin(), peers_.end(),
      [this](const auto& item) { return item.second.address == sender_; });
  if (sender == peers_.end())
    return std::nullopt;
  return sender->second.zone != zone_;
}

void peer_group::RecordNode(const peer_digest& digest, time_point now) {
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
  peer.cpu_millicores = digest.cpu_millicores;
  peer.incarnation = digest.incarnation;
  peer.last_received_at = now;
  peer.silence_timeout = SilenceTimeout(Milliseconds(digest.interval_ms));
}

void peer_group::Add(const vm_id& node,
                     const zone_id& zone,
                     int64_t cpu_millicores,
                     const std::string& address,
                     time_point now) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint || node == self_ || peers_.contains(node))
    return;
  peer_state peer;
  peer.address =
      udp::endpoint(endpoint.value().address(), endpoint.value().port());
  peer.zone = zone;
  peer.cpu_millicores = cpu_millicores;
  peer.known_at = now;
  peers_.emplace(node, peer);
}

vm_id peer_group::NameOfZone(const zone_id& zone) {
  return vm_id("zone/" + zone.value());
}

void peer_group::SendBytes(std::string_view bytes,
                           const udp::endpoint& address) {
  // A full send buffer drops the datagram; the next digest replaces it.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), address, 0,
                  ignored);
}

std::vector<std::pair<duty_rank, udp::endpoint>> peer_group::BroadcastOrder(
    const vm_id& origin) const {
  std::vector<std::pair<duty_rank, udp::endpoint>> order;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ && peer.last_received_at != time_point{} &&
        !peer.silent && node != origin)
      order.emplace_back(RankOf(node, peer.cpu_millicores), peer.address);
  }
  std::sort(order.begin(), order.end());
  return order;
}

void peer_group::BroadcastInZone(const peer_message& message) {
  BroadcastBytes(EncodePeerMessage(message, self_));
}

void peer_group::BroadcastChanges(table_changes changes) {
  const std::string bytes = EncodePeerMessage(changes, self_);
  if (bytes.size() <= kMaxDatagramBytes)
    return BroadcastBytes(bytes);
  const bool is_difference = changes.valid_to < changes.complete_to;
  const auto middle = changes.is_snapshot || is_difference ||
                              changes.rows.size() > kMaxBroadcastRows
                          ? std::nullopt
                          : SplitPosition(changes.rows);
  if (!middle) {
    changes.rows.clear();
    changes.rows_omitted = true;
    return BroadcastInZone(changes);
  }
  // Rows are ordered by version, so a table with the first half applied is
  // complete up to the last version in it.
  const auto second_half = changes.rows.begin() + *middle;
  table_changes first = changes;
  first.rows.assign(changes.rows.begin(), second_half);
  first.last_change = first.complete_to = first.valid_to =
      first.rows.back().version;
  first.is_current = false;
  changes.rows.erase(changes.rows.begin(), second_half);
  changes.valid_from = first.last_change;
  BroadcastChanges(std::move(first));
  BroadcastChanges(std::move(changes));
}

void peer_group::BroadcastBytes(std::string_view bytes) {
  const auto order = BroadcastOrder(self_);
  for (std::size_t i = 0; i < std::min(order.size(), kBroadcastFanout); ++i)
    SendBytes(bytes, order[i].second);
  // Nodes without a received digest may be unknown to the others as well.
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ && peer.last_received_at == time_point{})
      SendBytes(bytes, peer.address);
  }
}

// The nodes in rank order form a tree, in which each has kBroadcastFanout
// children of higher rank. Messages cannot loop, even while nodes disagree on
// the membership.
void peer_group::Forward(const vm_id& origin, std::string_view bytes) {
  const auto order = BroadcastOrder(origin);
  const duty_rank own = RankOf(self_, cpu_millicores_);
  const auto position = static_cast<std::size_t>(
      std::count_if(order.begin(), order.end(),
                    [own](const auto& item) { return item.first < own; }));
  // The order omits this node, but its position counts in the tree.
  const std::size_t first = kBroadcastFanout * (position + 1) - 1;
  const std::size_t last = std::min(first + kBroadcastFanout, order.size());
  for (std::size_t i = first; i < last; ++i)
    SendBytes(bytes, order[i].second);
}

void peer_group::SendDigest(const peer_digest& digest,
                            const vm_id& holder,
                            time_point now) {
  const std::string full = EncodePeerMessage(digest);
  const std::string brief = EncodePeerMessage(WithoutDemand(digest));
  const vm_id representative = ZoneRepresentative(now);
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_)
      SendBytes(node == representative || node == holder ? full : brief,
                peer.address);
  }
}

void peer_group::SendToOtherZones(const peer_message& message,
                                  time_point now,
                                  const vm_id& except) {
  const std::string bytes = EncodePeerMessage(message);
  const auto excluded = peers_.find(except);
  std::map<zone_id, std::vector<std::pair<duty_rank, udp::endpoint>>> silent;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ || peer.zone.empty())
      continue;
    const auto representative = representatives_.find(peer.zone);
    if (representative == representatives_.end() ||
        !IsReachable(representative->second, now))
      silent[peer.zone].emplace_back(RankOf(node, peer.cpu_millicores),
                                     peer.address);
  }
  for (const auto& [zone, representative] : representatives_) {
    const bool is_excluded = excluded != peers_.end() &&
                             excluded->second.address == representative.address;
    if (IsReachable(representative, now) && !is_excluded)
      SendBytes(bytes, representative.address);
  }
  for (auto& [zone, nodes] : silent) {
    std::sort(nodes.begin(), nodes.end());
    nodes.resize(std::min(nodes.size(), kMaxRepresentativesTried));
    for (const auto& [rank, address] : nodes)
      SendBytes(bytes, address);
  }
}

void peer_group::SendZoneDigest(const peer_digest& zone_digest,
                                const vm_id& holder,
                                time_point now) {
  const auto known = peers_.find(holder);
  if (known == peers_.end() && holder != self_)
    return SendToOtherZones(zone_digest, now);
  SendToOtherZones(WithoutDemand(zone_digest), now, holder);
  if (known != peers_.end() && known->second.zone != zone_)
    SendTo(holder, zone_digest);
}

void peer_group::SendTo(const vm_id& node, const peer_message& message) {
  const auto found = peers_.find(node);
  if (found != peers_.end())
    SendBytes(EncodePeerMessage(message), found->second.address);
}

std::size_t peer_group::Ask(const peer_message& message,
                            int round,
                            uint64_t seed,
                            time_point now) {
  const auto receivers =
      round == 0 ? AskedInZone(seed, now) : AskedInOtherZones(seed, now);
  const std::string bytes = EncodePeerMessage(message);
  for (const udp::endpoint& address : receivers)
    SendBytes(bytes, address);
  return receivers.size();
}

std::vector<udp::endpoint> peer_group::AskedInZone(uint64_t seed,
                                                   time_point now) const {
  std::map<uint64_t, udp::endpoint> ordered;
  for (const auto& [node, peer] : peers_) {
    if (IsLive(peer, now))
      ordered[MixHashes(StableHash(node.value()), seed)] = peer.address;
  }
  std::vector<udp::endpoint> receivers;
  for (const auto& [hash, address] : ordered) {
    if (receivers.size() < kMaxAskedInZone)
      receivers.push_back(address);
  }
  return receivers;
}

// Only a zone's representative receives digests of other zones directly. The
// other nodes know those zones by their registered nodes, which may be gone.
std::vector<udp::endpoint> peer_group::AskedInOtherZones(uint64_t seed,
                                                         time_point now) const {
  std::map<zone_id, std::map<uint64_t, udp::endpoint>> ordered;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ && !peer.zone.empty())
      ordered[peer.zone][MixHashes(StableHash(node.value()), seed)] =
          peer.address;
  }
  for (const auto& [zone, representative] : representatives_) {
    if (IsReachable(representative, now))
      ordered[zone] = {{0, representative.address}};
  }
  std::vector<udp::endpoint> receivers;
  for (const auto& [zone, nodes] : ordered) {
    std::size_t asked = 0;
    for (const auto& [hash, address] : nodes) {
      if (asked++ < kMaxAskedOfZone && receivers.size() < kMaxAskedElsewhere)
        receivers.push_back(address);
    }
  }
  return receivers;
}

void peer_group::Reply(const peer_message& message) {
  SendBytes(EncodePeerMessage(message), sender_);
}

bool peer_group::HearsMost(time_point now) const {
  int64_t heard = 1;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_ && peer.last_received_at != time_point{} &&
        now - peer.last_received_at <= peer.silence_timeout)
      ++heard;
  }
  for (const auto& [zone, representative] : representatives_) {
    if (now - representative.last_received_at <= representative.silence_timeout)
      heard += representative.nodes;
  }
  return 2 * heard >= node_count();
}

bool peer_group::IsReachable(const zone_representative& representative,
                             time_point now) const {
  // The address is unset for a zone whose digests have only been received
  // through this zone's representative.
  return representative.address.port() != 0 &&
         now - representative.last_received_at <=
             representative.silence_timeout;
}

bool peer_group::IsLive(const peer_state& peer, time_point now) const {
  return peer.zone == zone_ && !peer.leaving &&
         peer.last_received_at != time_point{} &&
         now - peer.last_received_at <= peer.silence_timeout;
}

int64_t peer_group::RankInZone(time_point now) const {
  const duty_rank own = RankOf(self_, cpu_millicores_);
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
    return IsLive(item.second, now) &&
           RankOf(item.first, item.second.cpu_millicores) < own;
  });
}

vm_id peer_group::ZoneRepresentative(time_point now) const {
  vm_id representative = self_;
  duty_rank lowest = RankOf(self_, cpu_millicores_);
  for (const auto& [node, peer] : peers_) {
    if (IsLive(peer, now) && RankOf(node, peer.cpu_millicores) < lowest) {
      representative = node;
      lowest = RankOf(node, peer.cpu_millicores);
    }
  }
  return representative;
}

void peer_group::Check(time_point now) {
  std::vector<vm_id> gone;
  for (auto& [node, peer] : peers_) {
    // Nodes of other zones are monitored through their representatives only.
    if (peer.zone != zone_)
      continue;
    const bool never_received = peer.last_received_at == time_point{};
    if (never_received) {
      if (now - peer.known_at > kFirstDigestTimeout)
        gone.push_back(node);
      continue;
    }
    if (!peer.silent && now - peer.last_received_at > peer.silence_timeout) {
      peer.silent = true;
      log_.Write(report::log_level::warning, "peer_silent",
                 {{"peer", node.value()},
                  {"age_ms", ToMilliseconds(now - peer.last_received_at)}});
    }
    if (now - peer.last_received_at > kPeerRemovalTimeout)
      gone.push_back(node);
  }
  for (const vm_id& node : gone)
    peers_.erase(node);
  for (auto representative = representatives_.begin();
       representative != representatives_.end();) {
    if (now - representative->second.last_received_at <= kPeerRemovalTimeout) {
      ++representative;
      continue;
    }
    gone.push_back(NameOfZone(representative->first));
    representative = representatives_.erase(representative);
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
  for (const auto& [zone, representative] : representatives_)
    count += representative.nodes;
  // Zones without a digest count with their registered nodes.
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ && !representatives_.contains(peer.zone))
      ++count;
  }
  return count;
}

}  // namespace jasminepath::gateway
