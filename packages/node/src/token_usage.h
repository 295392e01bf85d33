#ifndef JASMINEPATH_NODE_TOKEN_USAGE_H_
#define JASMINEPATH_NODE_TOKEN_USAGE_H_

#include <optional>
#include <string_view>

#include "jasminepath/base/units.h"

namespace jasminepath::node {

// The token usage that an engine's answer reports.
struct token_usage {
  tokens prompt;
  tokens generated;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Extracts the "usage" object from an answer or from one stream event without
// parsing the rest. Returns nullopt if there is none.
std::optional<token_usage> FindTokenUsage(std::string_view text);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_TOKEN_USAGE_H_
