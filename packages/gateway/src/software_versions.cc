#include "software_versions.h"

#include <algorithm>

namespace jasminepath::gateway {

void software_versions::Add(const service_id& service,
                            const software_version& version) {
  ++services_[service].versions[version].endpoints;
}

void software_versions::Remove(const service_id& service,
                               const software_version& version,
                               time_point now) {
  version_use& use = services_[service].versions[version];
  --use.endpoints;
  use.last_listed_at = now;
}

void software_versions::Settle(time_point now) {
  for (auto& [service, state] : services_) {
    std::erase_if(state.versions, [this, now](const auto& item) {
      // Before the first configuration, the span is not known.
      return span_ > duration::zero() && item.second.endpoints <= 0 &&
             now - item.second.last_listed_at > memory();
    });
    const auto listed = std::count_if(
        state.versions.begin(), state.versions.end(),
        [](const auto& item) { return item.second.endpoints > 0; });
    if (listed == 1) {
      // Kept when other versions appear, since earlier streams began on it.
      state.only_version =
          std::find_if(
              state.versions.begin(), state.versions.end(),
              [](const auto& item) { return item.second.endpoints > 0; })
              ->first;
      state.several_since.reset();
    } else if (listed > 1 && !state.several_since) {
      state.several_since = now;
    }
  }
}

void software_versions::Restore(const service_id& service,
                                const software_version& version,
                                time_point left_at) {
  version_use& use = services_[service].versions[version];
  use.last_listed_at = std::max(use.last_listed_at, left_at);
}

std::vector<software_versions::listing> software_versions::Listings(
    const service_id& service) const {
  std::vector<listing> listings;
  const auto found = services_.find(service);
  if (found == services_.end())
    return listings;
  for (const auto& [version, use] : found->second.versions)
    listings.push_back({version, use.endpoints > 0
                                     ? std::nullopt
                                     : std::optional(use.last_listed_at)});
  return listings;
}

std::vector<service_id> software_versions::Services() const {
  std::vector<service_id> services;
  for (const auto& [service, state] : services_) {
    if (!state.versions.empty())
      services.push_back(service);
  }
  return services;
}

bool software_versions::HasSeveral(const service_id& service,
                                   duration age,
                                   time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return false;
  const auto& versions = found->second.versions;
  return std::count_if(versions.begin(), versions.end(), [&](const auto& item) {
           return item.second.endpoints > 0 ||
                  now - item.second.last_listed_at < age;
         }) > 1;
}

std::optional<software_version> software_versions::FormerOnlyVersion(
    const service_id& service,
    duration age,
    time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.several_since ||
      now - *found->second.several_since > age)
    return std::nullopt;
  return found->second.only_version;
}

std::optional<software_version> software_versions::VersionOfUnrecorded(
    const service_id& service,
    time_point now) const {
  if (HasSeveral(service, span_, now))
    return FormerOnlyVersion(service, span_, now);
  for (const listing& item : Listings(service)) {
    if (!item.left_at || now - *item.left_at < span_)
      return item.version;
  }
  return std::nullopt;
}

}  // namespace jasminepath::gateway
