#include "endpoint_departures.h"

#include <utility>

namespace jasminepath::gateway {
namespace {

// Time after a return of the store in which endpoints that have left before are
// held back. Endpoints write their entries again within about two seconds, and
// the entry of one that has ended expires after a few of its intervals.
constexpr duration kHoldTime = Seconds(10);
// Time for which a departure is remembered: longer than a copy is old.
constexpr duration kRetention = Seconds(60);

}  // namespace

void endpoint_departures::Record(const endpoint_id& id,
                                 int64_t started_at_ms,
                                 store_era era,
                                 time_point now) {
  std::erase_if(departures_, [now](const auto& item) {
    return now - item.second.at > kRetention;
  });
  const auto known = departures_.find(id);
  // An endpoint that drains is listed repeatedly.
  if (known != departures_.end() &&
      known->second.started_at_ms == started_at_ms && known->second.era < era)
    return;
  departures_[id] = {started_at_ms, era, now};
}

bool endpoint_departures::HasLeft(const endpoint_entry& entry,
                                  store_era era) const {
  const auto known = departures_.find(entry.id);
  return known != departures_.end() && known->second.era < era &&
         known->second.started_at_ms == entry.started_at_ms;
}

endpoint_changes endpoint_departures::Filter(endpoint_changes changes,
                                             store_era era,
                                             time_point now) {
  if (era_ && era > *era_)
    hold_until_ = now + kHoldTime;
  era_ = era;
  for (const endpoint_id& id : changes.removed)
    held_.erase(id);
  std::erase_if(changes.listed, [&](const endpoint_entry& entry) {
    held_.erase(entry.id);
    if (entry.draining)
      return false;
    if (now >= hold_until_ || !HasLeft(entry, era)) {
      departures_.erase(entry.id);
      return false;
    }
    held_[entry.id] = entry;
    return true;
  });
  return changes;
}

std::vector<endpoint_entry> endpoint_departures::TakeReleased(time_point now) {
  std::vector<endpoint_entry> released;
  if (now < hold_until_ || held_.empty())
    return released;
  for (auto& [id, entry] : std::exchange(held_, {})) {
    departures_.erase(id);
    released.push_back(std::move(entry));
  }
  return released;
}

}  // namespace jasminepath::gateway
