#ifndef JASMINEPATH_TOOL_SRC_FLEET_QUERY_H_
#define JASMINEPATH_TOOL_SRC_FLEET_QUERY_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/config/json_value.h"
#include "jasminepath/platform/platform_client.h"
#include "jasminepath/tool/admin_client.h"
#include "jasminepath/tool/node_instance.h"

namespace jasminepath::tool {

// One node's response to a query.
struct node_response {
  node_instance node;
  // A JSON object; not set if the request failed.
  std::optional<config::json_value> document;
  // Why the request failed.
  std::string problem;
};

// Returns the registered nodes, or nullopt if the platform cannot be read.
std::optional<std::vector<node_instance>> ReadNodes(
    platform::platform_client& platform);

// Sends a GET request to every node, a bounded number of them concurrently.
std::vector<node_response> QueryNodes(const admin_client& admin,
                                      const std::vector<node_instance>& nodes,
                                      const std::string& path);

// Returns how many nodes sent a valid response.
std::size_t CountResponses(const std::vector<node_response>& responses);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_FLEET_QUERY_H_
