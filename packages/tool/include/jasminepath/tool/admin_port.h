#ifndef JASMINEPATH_TOOL_ADMIN_PORT_H_
#define JASMINEPATH_TOOL_ADMIN_PORT_H_

#include <concepts>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath::tool {

// A versioned fact as it is pushed to nodes.
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

// A node's answer to a push: what it has in force.
struct fact_acknowledgement {
  instance_id instance;
  std::vector<fact_version> versions;

  friend bool operator==(const fact_acknowledgement&,
                         const fact_acknowledgement&) = default;
};

// Why a node's administration gave no usable answer, in one line of text.
struct admin_error {
  std::string message;

  friend bool operator==(const admin_error&, const admin_error&) = default;
};

// The part of a node's administration that spreads facts. Called from several
// threads at a time.
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
