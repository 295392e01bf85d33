#include "fleet_query.h"

#include <algorithm>
#include <utility>

#include "jasminepath/platform/table_keys.h"
#include "jasminepath/tool/parallel_for.h"

namespace jasminepath::tool {

std::optional<std::vector<node_instance>> ReadNodes(
    platform::platform_client& platform) {
  const auto page = platform.ReadSince(platform::kInstancePrefix, revision(0));
  if (!page)
    return std::nullopt;
  return CurrentInstances(page.value().rows);
}

std::vector<node_response> QueryNodes(const admin_client& admin,
                                      const std::vector<node_instance>& nodes,
                                      const std::string& path) {
  std::vector<node_response> responses;
  for (const node_instance& node : nodes)
    responses.push_back({node, std::nullopt, ""});
  ParallelFor(responses.size(), [&](std::size_t i) {
    auto response = admin.Get(responses[i].node.admin_address, path);
    if (!response)
      responses[i].problem = response.error().message;
    else if (response.value().AsObject() == nullptr)
      responses[i].problem = "the response is not a JSON object";
    else
      responses[i].document = std::move(response).value();
  });
  return responses;
}

std::size_t CountResponses(const std::vector<node_response>& responses) {
  return static_cast<std::size_t>(std::count_if(
      responses.begin(), responses.end(), [](const node_response& response) {
        return response.document.has_value();
      }));
}

}  // namespace jasminepath::tool
