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

std::vector<node_answer> AskNodes(const admin_client& admin,
                                  const std::vector<node_instance>& nodes,
                                  const std::string& path) {
  std::vector<node_answer> answers;
  for (const node_instance& node : nodes)
    answers.push_back({node, std::nullopt, ""});
  ParallelFor(answers.size(), [&](std::size_t i) {
    auto answer = admin.Get(answers[i].node.admin_address, path);
    if (!answer)
      answers[i].problem = answer.error().message;
    else if (answer.value().AsObject() == nullptr)
      answers[i].problem = "answered no object";
    else
      answers[i].document = std::move(answer).value();
  });
  return answers;
}

std::size_t CountReached(const std::vector<node_answer>& answers) {
  return static_cast<std::size_t>(std::count_if(
      answers.begin(), answers.end(),
      [](const node_answer& answer) { return answer.document.has_value(); }));
}

}  // namespace jasminepath::tool
