#include "software_versions.h"

namespace jasminepath::gateway {
namespace {

// A closed interval of time.
struct time_interval {
  time_point from;
  time_point to;
};

// The parts of `intervals` outside of `removed`.
std::vector<time_interval> Subtract(const std::vector<time_interval>& intervals,
                                    const time_interval& removed) {
  std::vector<time_interval> rest;
  for (const time_interval& item : intervals) {
    if (removed.to < item.from || removed.from > item.to) {
      rest.push_back(item);
      continue;
    }
    if (item.from < removed.from)
      rest.push_back({item.from, removed.from});
    if (removed.to < item.to)
      rest.push_back({removed.to, item.to});
  }
  return rest;
}

}  // namespace

void software_versions::Add(const service_id& service,
                            const software_version& version,
                            time_point now) {
  const auto [found, is_new] = services_[service].try_emplace(version);
  version_use& use = found->second;
  const bool has_expired =
      use.endpoints <= 0 && now - use.last_listed_at > span_;
  if (is_new || (is_settled_ && has_expired))
    use.first_listed_at = is_settled_ ? now : time_point::min();
  ++use.endpoints;
}

void software_versions::Remove(const service_id& service,
                               const software_version& version,
                               time_point now) {
  version_use& use = services_[service][version];
  --use.endpoints;
  use.last_listed_at = now;
}

void software_versions::Restore(const service_id& service,
                                const software_version& version,
                                time_point left_at) {
  const auto [found, is_new] = services_[service].try_emplace(version);
  version_use& use = found->second;
  if (is_new)
    use.first_listed_at = time_point::min();
  use.last_listed_at = std::max(use.last_listed_at, left_at);
}

void software_versions::Settle(time_point now) {
  is_settled_ = true;
  // Before the first configuration, the span is not known.
  if (span_ == duration::zero())
    return;
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [this, now](const auto& item) {
      return item.second.endpoints <= 0 &&
             now - item.second.last_listed_at > memory();
    });
  }
}

std::vector<software_versions::listing> software_versions::Listings(
    const service_id& service) const {
  std::vector<listing> listings;
  const auto found = services_.find(service);
  if (found == services_.end())
    return listings;
  for (const auto& [version, use] : found->second)
    listings.push_back({version, use.endpoints > 0
                                     ? std::nullopt
                                     : std::optional(use.last_listed_at)});
  return listings;
}

std::vector<service_id> software_versions::Services() const {
  std::vector<service_id> services;
  for (const auto& [service, versions] : services_) {
    if (!versions.empty())
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
  const versions_of_service& versions = found->second;
  return std::count_if(versions.begin(), versions.end(), [&](const auto& item) {
           return item.second.endpoints > 0 ||
                  now - item.second.last_listed_at < age;
         }) > 1;
}

// Such a stream began while only one version counted, which was listed then.
std::optional<software_version> software_versions::VersionOfUnrecorded(
    const service_id& service,
    time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return std::nullopt;
  const versions_of_service& versions = found->second;
  std::optional<software_version> only;
  for (const auto& [version, use] : versions) {
    const time_interval listed{std::max(use.first_listed_at, now - span_),
                               use.endpoints > 0 ? now : use.last_listed_at};
    if (listed.from > listed.to)
      continue;
    std::vector<time_interval> alone{listed};
    for (const auto& [other, other_use] : versions) {
      if (other != version)
        alone = Subtract(
            alone,
            {other_use.first_listed_at,
             other_use.endpoints > 0 ? now : other_use.last_listed_at + span_});
    }
    if (alone.empty())
      continue;
    if (only)
      return std::nullopt;
    only = version;
  }
  return only;
}

}  // namespace jasminepath::gateway
