#ifndef JASMINEPATH_TOOL_TESTS_FAKE_NODES_H_
#define JASMINEPATH_TOOL_TESTS_FAKE_NODES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "jasminepath/tool/admin_port.h"

namespace jasminepath::tool {

// Nodes by address, each of which can refuse a number of pushes first.
class fake_nodes {
 public:
  // Pushes that the node at the address fails before it takes one; negative
  // for a node that never answers.
  std::map<std::string, int> failures_left;
  // A node that answers, but keeps an older version in force.
  std::string stale_address;

  result<fact_acknowledgement, admin_error> PostFacts(
      const std::string& address,
      const std::vector<pushed_fact>& facts) const {
    const std::lock_guard lock(mutex_);
    int& failures =
        remaining_.try_emplace(address, FailuresOf(address)).first->second;
    if (failures != 0) {
      failures -= failures > 0 ? 1 : 0;
      return failure(admin_error{"connection refused"});
    }
    fact_acknowledgement answer;
    for (const pushed_fact& fact : facts) {
      const revision held =
          address == stale_address ? fact.version - revision(1) : fact.version;
      answer.versions.push_back({fact.key, held});
    }
    return answer;
  }

 private:
  int FailuresOf(const std::string& address) const {
    const auto found = failures_left.find(address);
    return found == failures_left.end() ? 0 : found->second;
  }

  mutable std::mutex mutex_;
  mutable std::map<std::string, int> remaining_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_TESTS_FAKE_NODES_H_
