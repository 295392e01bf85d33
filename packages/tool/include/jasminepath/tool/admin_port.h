#ifndef JASMINEPATH_TOOL_ADMIN_PORT_H_
#define JASMINEPATH_TOOL_ADMIN_PORT_H_

#include <concepts>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath::tool {

// A versioned fact that is pushed to nodes.
struct pushed_fact {
  std::string key;
  std::string value;
  revision version;

  friend bool operator==(const pushed_fact&, const pushed_fact&) = default;
};

// The version of a fact that is in force on a node.
struct fact_version {
  std::string key;
  revision version;

  friend bool operator==(const fact_version&, const fact_version&) = default;
};

// A node's response to a push: the versions that it has in force.
struct fact_acknowledgement {
  instance_id instance;
  std::vector<fact_version> versions;

  friend bool operator==(const fact_acknowledgement&,
                         const fact_acknowledgement&) = default;
};

// Why a request to a node's administration interface failed, in one line.
struct admin_error {
  std::string message;

  friend bool operator==(const admin_error&, const admin_error&) = default;
};

// The part of a node's administration interface that receives facts.
// Implementations must be thread-safe.
template <typename T>
concept fact_push_port = requires(const T port,
                                  const std::string& address,
                                  const std::vector<pushed_fact>& facts) {
  {
    port.PostFacts(address, facts)
    } -> std::same_as<result<fact_acknowledgement, admin_error>>;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_ADMIN_PORT_H_
