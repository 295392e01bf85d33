#include "endpoint_address_parser.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace jasminepath::node {

std::optional<endpoint::endpoint_address> ParseEndpointAddress(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
    return std::nullopt;
  return endpoint::endpoint_address{std::string(text.substr(0, colon)), port};
}

}  // namespace jasminepath::node
