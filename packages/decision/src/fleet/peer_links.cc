#include "jasminepath/decision/fleet/peer_links.h"

#include <algorithm>
#include <set>

namespace jasminepath::decision {

peer_links::peer_links(fleet_limits limits) : limits_(limits) {}

peer_links::link peer_links::MakeLink(const peer_link& peer,
                                      bool chosen,
                                      time_point now) const {
  link created;
  created.peer = peer;
  created.chosen = chosen;
  created.opened_at = now;
  created.last_received_at = now;
  created.chosen_by_peer_at = now;
  created.confirmed_at = now;
  created.redialled_at = now;
  return created;
}

bool peer_links::SetChosen(const std::vector<peer_link>& chosen,
                           time_point now) {
  bool changed = false;
  std::set<instance_id> chosen_ids;
  for (const peer_link& peer : chosen) {
    chosen_ids.insert(peer.instance);
    const auto found = links_.find(peer.instance);
    if (found != links_.end() && found->second.peer == peer) {
      found->second.chosen = true;
      continue;
    }
    links_.insert_or_assign(peer.instance, MakeLink(peer, true, now));
    changed = true;
  }
  for (auto& [id, existing] : links_) {
    if (!chosen_ids.contains(id))
      existing.chosen = false;
  }
  return DropIdle(now) || changed;
}

int64_t peer_links::CountAnsweringLinks() const {
  return std::count_if(links_.begin(), links_.end(),
                       [](const auto& entry) { return !entry.second.chosen; });
}

bool peer_links::OnMessageReceived(const peer_link& peer, time_point now) {
  const auto found = links_.find(peer.instance);
  if (found != links_.end()) {
    found->second.last_received_at = now;
    return false;
  }
  if (peer.address.empty() ||
      CountAnsweringLinks() >= limits_.max_answering_links)
    return false;
  links_.emplace(peer.instance, MakeLink(peer, false, now));
  return true;
}

bool peer_links::DropIdle(time_point now) {
  const std::size_t dropped = std::erase_if(links_, [&](const auto& entry) {
    const link& existing = entry.second;
    return !existing.chosen &&
           now - existing.chosen_by_peer_at > limits_.suspect_after;
  });
  return dropped > 0;
}

bool peer_links::Drop(const instance_id& peer) {
  return links_.erase(peer) > 0;
}

heartbeat_receipt peer_links::OnHeartbeat(const instance_id& peer,
                                          const heartbeat_message& heartbeat,
                                          time_point now) {
  heartbeat_receipt receipt;
  const auto found = links_.find(peer);
  if (found == links_.end())
    return receipt;
  link& existing = found->second;
  existing.last_received_at = now;
  if (heartbeat.chosen)
    existing.chosen_by_peer_at = now;
  existing.received_sequence =
      std::max(existing.received_sequence, heartbeat.sequence);
  existing.unknown_to_peer = heartbeat.echo == 0;
  receipt.unknown_to_peer = existing.unknown_to_peer;
  const auto slot =
      static_cast<std::size_t>(heartbeat.echo) % kSentHeartbeatHistory;
  const sent_heartbeat& echoed = existing.sent[slot];
  if (heartbeat.echo > 0 && echoed.sequence == heartbeat.echo) {
    receipt.sent_after = echoed.at;
    existing.confirmed_at = std::max(existing.confirmed_at, echoed.at);
  }
  return receipt;
}

void peer_links::OnHeartbeatSent(const instance_id& peer,
                                 heartbeat_message& heartbeat,
                                 time_point now) {
  const auto found = links_.find(peer);
  if (found == links_.end())
    return;
  link& existing = found->second;
  heartbeat.sequence = ++existing.sent_sequence;
  heartbeat.echo = existing.received_sequence;
  heartbeat.chosen = existing.chosen;
  const auto slot =
      static_cast<std::size_t>(heartbeat.sequence) % kSentHeartbeatHistory;
  existing.sent[slot] = {.sequence = heartbeat.sequence, .at = now};
}

std::vector<peer_link> peer_links::TakeLinksToRedial(time_point now) {
  std::vector<peer_link> silent;
  for (auto& [id, existing] : links_) {
    const time_point latest =
        std::max(existing.confirmed_at, existing.redialled_at);
    if (now - latest < limits_.redial_after)
      continue;
    existing.redialled_at = now;
    silent.push_back(existing.peer);
  }
  return silent;
}

std::vector<instance_id> peer_links::SilentPeers(time_point now) const {
  std::vector<instance_id> silent;
  for (const auto& [id, existing] : links_) {
    if (now - existing.last_received_at >= limits_.suspect_after)
      silent.push_back(id);
  }
  return silent;
}

std::vector<peer_link> peer_links::All() const {
  std::vector<peer_link> all;
  all.reserve(links_.size());
  for (const auto& [id, existing] : links_)
    all.push_back(existing.peer);
  return all;
}

std::optional<peer_link> peer_links::Find(const instance_id& peer) const {
  const auto found = links_.find(peer);
  if (found == links_.end())
    return std::nullopt;
  return found->second.peer;
}

bool peer_links::HasReceivedWithin(const instance_id& peer,
                                   duration period,
                                   time_point now) const {
  const auto found = links_.find(peer);
  return found != links_.end() && now - found->second.last_received_at < period;
}

bool peer_links::IsUnknownTo(const instance_id& peer) const {
  const auto found = links_.find(peer);
  return found != links_.end() && found->second.unknown_to_peer;
}

}  // namespace jasminepath::decision
