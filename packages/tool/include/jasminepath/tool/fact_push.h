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

// The result of a push to one node.
struct push_outcome {
  node_instance target;
  bool is_confirmed = false;
  // Why the last attempt was not confirmed.
  std::string problem;

  friend bool operator==(const push_outcome&, const push_outcome&) = default;
};

// Time limits of a push.
struct push_limits {
  duration timeout = Seconds(4);
  duration retry_interval = Milliseconds(100);

  friend bool operator==(const push_limits&, const push_limits&) = default;
};

// Whether `acknowledgement` shows that every fact, or a later version of it, is
// in force.
bool Confirms(const fact_acknowledgement& acknowledgement,
              const std::vector<pushed_fact>& facts);

// Pushes facts to nodes with one call for each node, and retries until all
// nodes have confirmed or the timeout expires.
template <fact_push_port Admin>
class fact_push {
 public:
  fact_push(const Admin& admin, push_limits limits)
      : admin_(admin), limits_(limits) {}

  // Blocks for at most the timeout of the push plus that of one call. The
  // outcomes are in the order of `targets`.
  std::vector<push_outcome> Run(const std::vector<node_instance>& targets,
                                const std::vector<pushed_fact>& facts) const {
    std::vector<push_outcome> outcomes;
    for (const node_instance& target : targets)
      outcomes.push_back({target, false, "not attempted"});
    const time_point deadline = boot_clock::now() + limits_.timeout;
    while (!RunRound(outcomes, facts) &&
           boot_clock::now() + limits_.retry_interval < deadline)
      std::this_thread::sleep_for(limits_.retry_interval);
    return outcomes;
  }

 private:
  // Pushes to every node that has not confirmed. Returns whether all nodes have
  // confirmed.
  bool RunRound(std::vector<push_outcome>& outcomes,
                const std::vector<pushed_fact>& facts) const {
    ParallelFor(outcomes.size(), [&](std::size_t i) {
      if (!outcomes[i].is_confirmed)
        PushTo(outcomes[i], facts);
    });
    return std::all_of(
        outcomes.begin(), outcomes.end(),
        [](const push_outcome& item) { return item.is_confirmed; });
  }

  void PushTo(push_outcome& outcome,
              const std::vector<pushed_fact>& facts) const {
    const auto acknowledgement =
        admin_.PostFacts(outcome.target.admin_address, facts);
    if (!acknowledgement) {
      outcome.problem = acknowledgement.error().message;
      return;
    }
    outcome.is_confirmed = Confirms(acknowledgement.value(), facts);
    outcome.problem =
        outcome.is_confirmed ? "" : "an older version is in force";
  }

  const Admin& admin_;
  push_limits limits_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_FACT_PUSH_H_
