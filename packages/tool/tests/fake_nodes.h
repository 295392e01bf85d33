#ifndef JASMINEPATH_TOOL_TESTS_FAKE_NODES_H_
#define JASMINEPATH_TOOL_TESTS_FAKE_NODES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "jasminepath/tool/admin_port.h"

namespace jasminepath::tool {

// In-memory nodes. Each node can fail a number of pushes before it accepts one.
class fake_nodes {
 public:
  // By address: the number of pushes that the node fails before it accepts one;
  // negative for a node that never responds.
  std::map<std::string, int> failures_left;
  // Address of a node that responds, but keeps an older version in force.
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
    fact_acknowledgement acknowledgement;
    for (const pushed_fact& fact : facts) {
      const revision reported_version =
          address == stale_address ? fact.version - revision(1) : fact.version;
      acknowledgement.versions.push_back({fact.key, reported_version});
    }
    return acknowledgement;
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
