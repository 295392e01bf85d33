#include "endpoint_address_parser.h"

#include "jasminepath/config/address.h"

namespace jasminepath::node {

std::optional<endpoint::endpoint_address> ParseEndpointAddress(
    std::string_view text) {
  const auto parsed = config::ParseAddress(text);
  if (!parsed || parsed->port == 0)
    return std::nullopt;
  return endpoint::endpoint_address{parsed->ip, parsed->port};
}

}  // namespace jasminepath::node
