#ifndef JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_

#include <string_view>

#include "jasminepath/config/configuration.h"

namespace jasminepath::config {

// Returns the team, or null. The returned pointers of all functions in this
// header are valid as long as `source`.
const team* FindTeam(const configuration& source, const team_id& id);

// Returns the service that offers the model, or null.
const service* FindModelService(const configuration& source,
                                const model_id& id);

// Returns a model of a service, or null.
const model* FindModel(const service& source, const model_id& id);

// A plain service and its route that matches a call.
struct route_match {
  const service* owner = nullptr;
  const route* matched = nullptr;

  friend bool operator==(const route_match&, const route_match&) = default;
};

// Returns the route with the longest matching prefix. Both members are null if
// no route matches.
route_match FindRoute(const configuration& source,
                      std::string_view method,
                      std::string_view path);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_
