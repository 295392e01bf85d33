#include "jasminepath/decision/fleet/peer_links.h"

#include <algorithm>
#include <set>

namespace jasminepath::decision {

peer_links::peer_links(fleet_limits limits) : limits_(limits) {}

peer_links::link peer_links::MakeLink(const peer_link& peer,
                                      bool chosen,
                                      time_point now) const {
  link made;
  made.peer = peer;
  made.chosen = chosen;
  made.opened_at = now;
  made.heard_at = now;
  made.chosen_by_peer_at = now;
  made.confirmed_at = now;
  made.redialled_at = now;
  return made;
}

bool peer_links::Choose(const std::vector<peer_link>& chosen, time_point now) {
  bool changed = false;
  std::set<instance_id> wanted;
  for (const peer_link& peer : chosen) {
    wanted.insert(peer.instance);
    const auto found = links_.find(peer.instance);
    if (found != links_.end() && found->second.peer == peer) {
      found->second.chosen = true;
      continue;
    }
    links_.insert_or_assign(peer.instance, MakeLink(peer, true, now));
    changed = true;
  }
  for (auto& [id, known] : links_) {
    if (!wanted.contains(id))
      known.chosen = false;
  }
  return DropIdle(now) || changed;
}

int64_t peer_links::AnsweringLinks() const {
  return std::count_if(links_.begin(), links_.end(),
                       [](const auto& entry) { return !entry.second.chosen; });
}

bool peer_links::OnHeard(const peer_link& peer, time_point now) {
  const auto found = links_.find(peer.instance);
  if (found != links_.end()) {
    found->second.heard_at = now;
    return false;
  }
  if (peer.address.empty() || AnsweringLinks() >= limits_.max_answering_links)
    return false;
  links_.emplace(peer.instance, MakeLink(peer, false, now));
  return true;
}

bool peer_links::DropIdle(time_point now) {
  const std::size_t dropped = std::erase_if(links_, [&](const auto& entry) {
    const link& known = entry.second;
    return !known.chosen &&
           now - known.chosen_by_peer_at > limits_.suspect_after;
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
  link& known = found->second;
  known.heard_at = now;
  if (heartbeat.chosen)
    known.chosen_by_peer_at = now;
  known.received_sequence =
      std::max(known.received_sequence, heartbeat.sequence);
  known.unknown_to_peer = heartbeat.echo == 0;
  receipt.unknown_to_peer = known.unknown_to_peer;
  const auto slot =
      static_cast<std::size_t>(heartbeat.echo) % kRememberedHeartbeats;
  const sent_heartbeat& echoed = known.sent[slot];
  if (heartbeat.echo > 0 && echoed.sequence == heartbeat.echo) {
    receipt.sent_after = echoed.at;
    known.confirmed_at = std::max(known.confirmed_at, echoed.at);
  }
  return receipt;
}

void peer_links::OnHeartbeatSent(const instance_id& peer,
                                 heartbeat_message& heartbeat,
                                 time_point now) {
  const auto found = links_.find(peer);
  if (found == links_.end())
    return;
  link& known = found->second;
  heartbeat.sequence = ++known.sent_sequence;
  heartbeat.echo = known.received_sequence;
  heartbeat.chosen = known.chosen;
  const auto slot =
      static_cast<std::size_t>(heartbeat.sequence) % kRememberedHeartbeats;
  known.sent[slot] = {.sequence = heartbeat.sequence, .at = now};
}

std::vector<peer_link> peer_links::TakeSilent(time_point now) {
  std::vector<peer_link> silent;
  for (auto& [id, known] : links_) {
    const time_point latest = std::max(known.confirmed_at, known.redialled_at);
    if (now - latest < limits_.redial_after)
      continue;
    known.redialled_at = now;
    silent.push_back(known.peer);
  }
  return silent;
}

std::vector<instance_id> peer_links::Unheard(time_point now) const {
  std::vector<instance_id> unheard;
  for (const auto& [id, known] : links_) {
    if (now - known.heard_at >= limits_.suspect_after)
      unheard.push_back(id);
  }
  return unheard;
}

std::vector<peer_link> peer_links::All() const {
  std::vector<peer_link> all;
  all.reserve(links_.size());
  for (const auto& [id, known] : links_)
    all.push_back(known.peer);
  return all;
}

std::optional<peer_link> peer_links::Find(const instance_id& peer) const {
  const auto found = links_.find(peer);
  if (found == links_.end())
    return std::nullopt;
  return found->second.peer;
}

bool peer_links::HeardWithin(const instance_id& peer,
                             duration span,
                             time_point now) const {
  const auto found = links_.find(peer);
  return found != links_.end() && now - found->second.heard_at < span;
}

bool peer_links::IsUnknownTo(const instance_id& peer) const {
  const auto found = links_.find(peer);
  return found != links_.end() && found->second.unknown_to_peer;
}

}  // namespace jasminepath::decision
