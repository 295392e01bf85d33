#ifndef JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_

#include <string_view>

#include "jasminepath/config/configuration.h"

namespace jasminepath::config {

// Finds the team, or null. The pointer lives as long as `source`.
const team* FindTeam(const configuration& source, const team_id& id);

// Finds the service that offers the model, or null.
const service* FindModelService(const configuration& source,
                                const model_id& id);

// Finds a model within a service, or null.
const model* FindModel(const service& source, const model_id& id);

// A plain service and the route of it that matches a call.
struct route_match {
  const service* owner = nullptr;
  const route* matched = nullptr;

  friend bool operator==(const route_match&, const route_match&) = default;
};

// Finds the route with the longest matching prefix; members are null if none.
route_match FindRoute(const configuration& source,
                      std::string_view method,
                      std::string_view path);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_CONFIGURATION_INDEX_H_
