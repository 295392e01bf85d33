#ifndef JASMINEPATH_NODE_ENDPOINT_ADDRESS_PARSER_H_
#define JASMINEPATH_NODE_ENDPOINT_ADDRESS_PARSER_H_

#include <optional>
#include <string_view>

#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::node {

// Parses "ip:port". Returns nullopt if the text is not valid.
std::optional<endpoint::endpoint_address> ParseEndpointAddress(
    std::string_view text);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ENDPOINT_ADDRESS_PARSER_H_
