#ifndef JASMINEPATH_TOOL_FACT_PUSH_H_
#define JASMINEPATH_TOOL_FACT_PUSH_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/tool/admin_port.h"
#include "jasminepath/tool/node_instance.h"
#include "jasminepath/tool/parallel_for.h"

namespace jasminepath::tool {

// What is known of a pushed fact on one node.
struct push_outcome {
  node_instance target;
  bool confirmed = false;
  // Why it is not confirmed, from the last attempt.
  std::string problem;

  friend bool operator==(const push_outcome&, const push_outcome&) = default;
};

// How hard a push tries.
struct push_limits {
  duration wait = Seconds(4);
  duration pause = Milliseconds(100);

  friend bool operator==(const push_limits&, const push_limits&) = default;
};

// Whether `answer` says that every fact, or a later version of it, is in force.
bool Confirms(const fact_acknowledgement& answer,
              const std::vector<pushed_fact>& facts);

// Pushes facts to nodes, each by its own call, and repeats until all have
// confirmed or the time is over.
template <fact_push_port Admin>
class fact_push {
 public:
  fact_push(const Admin& admin, push_limits limits)
      : admin_(admin), limits_(limits) {}

  // Blocks up to the limit's wait plus the timeout of one call. The outcomes
  // are in the order of `targets`.
  std::vector<push_outcome> Run(const std::vector<node_instance>& targets,
                                const std::vector<pushed_fact>& facts) const {
    std::vector<push_outcome> outcomes;
    for (const node_instance& target : targets)
      outcomes.push_back({target, false, "not tried"});
    const time_point deadline = boot_clock::now() + limits_.wait;
    while (!RunRound(outcomes, facts) &&
           boot_clock::now() + limits_.pause < deadline)
      std::this_thread::sleep_for(limits_.pause);
    return outcomes;
  }

 private:
  // Tries every node that has not confirmed; returns whether all have now.
  bool RunRound(std::vector<push_outcome>& outcomes,
                const std::vector<pushed_fact>& facts) const {
    ParallelFor(outcomes.size(), [&](std::size_t i) {
      if (!outcomes[i].confirmed)
        Attempt(outcomes[i], facts);
    });
    return std::all_of(outcomes.begin(), outcomes.end(),
                       [](const push_outcome& item) { return item.confirmed; });
  }

  void Attempt(push_outcome& outcome,
               const std::vector<pushed_fact>& facts) const {
    const auto answer = admin_.PostFacts(outcome.target.admin_address, facts);
    if (!answer) {
      outcome.problem = answer.error().message;
      return;
    }
    outcome.confirmed = Confirms(answer.value(), facts);
    outcome.problem = outcome.confirmed ? "" : "has an older version in force";
  }

  const Admin& admin_;
  push_limits limits_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_FACT_PUSH_H_
