#include "jasminepath/mesh/link_set.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <utility>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/mesh/message_codec.h"
#include "pull_listener.h"
#include "push_link.h"

namespace jasminepath::mesh {
namespace {

// A link that was opened by Send() is closed after this time without a message.
constexpr duration kShortLivedLinkIdleTimeout = Seconds(30);
constexpr std::size_t kMaxShortLivedLinks = 64;

}  // namespace

class link_set::implementation {
 public:
  implementation(instance_id self, bounded_ring<envelope>& inbound)
      : self_(std::move(self)), inbound_(inbound) {}

  result<void, mesh_error> Listen(const std::string& address);
  void SetLinks(const std::vector<link_peer>& peers);
  void Redial(const link_peer& peer);
  bool Send(const link_peer& peer, const node_message& message);
  const std::string& address() const { return listener_->address(); }
  link_counters counters() const;

 private:
  // An outgoing link. A persistent link stays open until SetLinks() removes its
  // peer.
  struct link {
    push_link connection;
    bool is_persistent = false;
    int64_t sequence = 0;
    time_point last_used{};
  };

  void OnMessage(std::string_view bytes);
  link* FindOrOpen(const link_peer& peer);
  void CloseIdle(time_point now);

  instance_id self_;
  bounded_ring<envelope>& inbound_;
  std::map<link_peer, link> links_;
  std::atomic<int64_t> sent_{0};
  std::atomic<int64_t> sent_bytes_{0};
  std::atomic<int64_t> send_dropped_{0};
  std::atomic<int64_t> received_{0};
  std::atomic<int64_t> received_bytes_{0};
  std::atomic<int64_t> ring_dropped_{0};
  std::atomic<int64_t> discarded_{0};
  std::atomic<int64_t> redials_{0};
  // Declared last, so that it is destroyed before the members that its handler
  // uses.
  std::unique_ptr<pull_listener> listener_;
};

result<void, mesh_error> link_set::implementation::Listen(
    const std::string& address) {
  auto listener = pull_listener::Listen(
      address, [this](std::string_view bytes) { OnMessage(bytes); });
  if (!listener)
    return listener.error();
  listener_ = std::move(listener.value());
  return success();
}

void link_set::implementation::OnMessage(std::string_view bytes) {
  ++received_;
  received_bytes_ += static_cast<int64_t>(bytes.size());
  auto decoded = Decode(bytes);
  // A message may be addressed to an instance that used this address earlier.
  if (!decoded ||
      (!decoded.value().to.empty() && decoded.value().to != self_)) {
    ++discarded_;
    return;
  }
  if (!inbound_.TryPush(std::move(decoded.value())))
    ++ring_dropped_;
}

link_set::implementation::link* link_set::implementation::FindOrOpen(
    const link_peer& peer) {
  const auto found = links_.find(peer);
  if (found != links_.end())
    return &found->second;
  auto connection = push_link::Dial(peer.address);
  if (!connection)
    return nullptr;
  return &links_
              .emplace(peer, link{.connection = std::move(*connection),
                                  .is_persistent = false,
                                  .sequence = 0,
                                  .last_used = boot_clock::now()})
              .first->second;
}

void link_set::implementation::SetLinks(const std::vector<link_peer>& peers) {
  const std::set<link_peer> requested(peers.begin(), peers.end());
  for (auto& [peer, known] : links_)
    known.is_persistent = requested.contains(peer);
  for (const link_peer& peer : requested) {
    if (link* opened = FindOrOpen(peer))
      opened->is_persistent = true;
  }
  CloseIdle(boot_clock::now());
}

void link_set::implementation::CloseIdle(time_point now) {
  std::erase_if(links_, [&](const auto& entry) {
    return !entry.second.is_persistent &&
           now - entry.second.last_used > kShortLivedLinkIdleTimeout;
  });
}

void link_set::implementation::Redial(const link_peer& peer) {
  const auto found = links_.find(peer);
  if (found == links_.end())
    return;
  auto connection = push_link::Dial(peer.address);
  if (!connection)
    return;
  ++redials_;
  found->second.connection = std::move(*connection);
}

bool link_set::implementation::Send(const link_peer& peer,
                                    const node_message& message) {
  const time_point now = boot_clock::now();
  if (links_.size() > kMaxShortLivedLinks)
    CloseIdle(now);
  link* target = FindOrOpen(peer);
  if (!target) {
    ++send_dropped_;
    return false;
  }
  target->last_used = now;
  const auto encoded = Encode({.from = self_,
                               .to = peer.instance,
                               .sequence = ++target->sequence,
                               .message = message});
  if (!encoded || !target->connection.Send(encoded.value())) {
    ++send_dropped_;
    return false;
  }
  ++sent_;
  sent_bytes_ += static_cast<int64_t>(encoded.value().size());
  return true;
}

link_counters link_set::implementation::counters() const {
  return {.sent = sent_,
          .sent_bytes = sent_bytes_,
          .send_dropped = send_dropped_,
          .received = received_,
          .received_bytes = received_bytes_,
          .ring_dropped = ring_dropped_,
          .discarded = discarded_,
          .redials = redials_};
}

result<link_set, mesh_error> link_set::MakeLinkSet(
    instance_id self,
    const std::string& listen_address,
    bounded_ring<envelope>& inbound) {
  auto made = std::make_unique<implementation>(std::move(self), inbound);
  const auto listen_result = made->Listen(listen_address);
  if (!listen_result)
    return listen_result.error();
  return link_set(std::move(made));
}

link_set::link_set(std::unique_ptr<implementation> made)
    : implementation_(std::move(made)) {}
link_set::link_set(link_set&&) noexcept = default;
link_set& link_set::operator=(link_set&&) noexcept = default;
link_set::~link_set() = default;

void link_set::SetLinks(const std::vector<link_peer>& peers) {
  implementation_->SetLinks(peers);
}

void link_set::Redial(const link_peer& peer) {
  implementation_->Redial(peer);
}

bool link_set::Send(const link_peer& peer, const node_message& message) {
  return implementation_->Send(peer, message);
}

const std::string& link_set::address() const {
  return implementation_->address();
}

link_counters link_set::counters() const {
  return implementation_->counters();
}

}  // namespace jasminepath::mesh
