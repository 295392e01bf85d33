#include "jasminepath/config/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace jasminepath::config {

namespace {

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const auto end =
      std::from_chars(text.data(), text.data() + text.size(), port);
  const bool is_fully_parsed = end.ptr == text.data() + text.size();
  if (text.empty() || end.ec != std::errc() || !is_fully_parsed)
    return std::nullopt;
  return port;
}

bool IsIp(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> parsed;
  return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

}  // namespace

std::optional<ip_port> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port)
    return std::nullopt;
  std::string ip(text.substr(0, colon));
  if (IsIp(AF_INET, ip))
    return ip_port{ip, *port};
  if (ip.size() < 2 || ip.front() != '[' || ip.back() != ']')
    return std::nullopt;
  ip = ip.substr(1, ip.size() - 2);
  if (!IsIp(AF_INET6, ip))
    return std::nullopt;
  return ip_port{ip, *port};
}

}  // namespace jasminepath::config
