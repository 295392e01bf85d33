#include "jasminepath/config/configuration_index.h"

#include <algorithm>

namespace jasminepath::config {

const team* FindTeam(const configuration& source, const team_id& id) {
  const auto found =
      std::find_if(source.teams.begin(), source.teams.end(),
                   [&id](const team& entry) { return entry.id == id; });
  return found == source.teams.end() ? nullptr : &*found;
}

const service* FindModelService(const configuration& source,
                                const model_id& id) {
  for (const service& entry : source.services) {
    if (FindModel(entry, id) != nullptr)
      return &entry;
  }
  return nullptr;
}

const model* FindModel(const service& source, const model_id& id) {
  const auto found =
      std::find_if(source.models.begin(), source.models.end(),
                   [&id](const model& entry) { return entry.id == id; });
  return found == source.models.end() ? nullptr : &*found;
}

route_match FindRoute(const configuration& source,
                      std::string_view method,
                      std::string_view path) {
  route_match best;
  for (const service& owner : source.services) {
    for (const route& candidate : owner.routes) {
      if (candidate.method != method)
        continue;
      if (!path.starts_with(candidate.path_prefix))
        continue;
      if (best.matched != nullptr &&
          best.matched->path_prefix.size() >= candidate.path_prefix.size())
        continue;
      best = {&owner, &candidate};
    }
  }
  return best;
}

}  // namespace jasminepath::config
