#ifndef JASMINEPATH_NODE_TOKEN_USAGE_H_
#define JASMINEPATH_NODE_TOKEN_USAGE_H_

#include <optional>
#include <string_view>

#include "jasminepath/base/units.h"

namespace jasminepath::node {

// What an engine's answer says of the tokens that it used.
struct token_usage {
  tokens prompt;
  tokens generated;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

// Reads the "usage" object out of an answer or of one stream event, without
// parsing the rest. Nothing if there is none.
std::optional<token_usage> FindTokenUsage(std::string_view text);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_TOKEN_USAGE_H_
