#include "jasminepath/decision/fleet/view_freshness.h"

#include <algorithm>
#include <cstddef>

namespace jasminepath::decision {

view_freshness::view_freshness(duration lifetime) : lifetime_(lifetime) {}

void view_freshness::OnPlatformConfirmed(time_point at) {
  platform_confirmed_at_ = std::max(platform_confirmed_at_.value_or(at), at);
}

void view_freshness::OnPeerConfirmed(const instance_id& peer, time_point at) {
  const auto [entry, added] = peers_confirmed_at_.emplace(peer, at);
  if (!added)
    entry->second = std::max(entry->second, at);
}

void view_freshness::RemovePeer(const instance_id& peer) {
  peers_confirmed_at_.erase(peer);
}

bool view_freshness::IsRecent(time_point at, time_point now) const {
  return now - at <= lifetime_;
}

bool view_freshness::IsFresh(const std::vector<instance_id>& others,
                             time_point now) const {
  if (platform_confirmed_at_ && IsRecent(*platform_confirmed_at_, now))
    return true;
  std::size_t confirmed = 1;
  for (const instance_id& other : others) {
    const auto found = peers_confirmed_at_.find(other);
    if (found != peers_confirmed_at_.end() && IsRecent(found->second, now))
      ++confirmed;
  }
  return 2 * confirmed > others.size() + 1;
}

}  // namespace jasminepath::decision
