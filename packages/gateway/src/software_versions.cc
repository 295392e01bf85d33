#include "software_versions.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Time for which a version without endpoints is remembered: longer than any
// stream lasts.
constexpr duration kVersionMemory = Seconds(600);

}  // namespace

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
    std::erase_if(state.versions, [now](const auto& item) {
      return item.second.endpoints <= 0 &&
             now - item.second.last_listed_at > kVersionMemory;
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

}  // namespace jasminepath::gateway
