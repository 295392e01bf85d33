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

// One node's answer to a query.
struct node_answer {
  node_instance node;
  // An object, if the node answered.
  std::optional<config::json_value> document;
  std::string problem;
};

// The registered nodes, or none if the platform cannot be read.
std::optional<std::vector<node_instance>> ReadNodes(
    platform::platform_client& platform);

// Sends a GET to every node, a bounded number at a time.
std::vector<node_answer> AskNodes(const admin_client& admin,
                                  const std::vector<node_instance>& nodes,
                                  const std::string& path);

// How many nodes answered.
std::size_t CountReached(const std::vector<node_answer>& answers);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_FLEET_QUERY_H_
