#ifndef JASMINEPATH_CONFIG_ADDRESS_H_
#define JASMINEPATH_CONFIG_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::config {

// A numeric IP address and a port.
struct ip_port {
  // An IPv6 address has no brackets here.
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const ip_port&, const ip_port&) = default;
};

// Parses "ip:port" or "[ipv6]:port". Returns nullopt for any other text. Host
// names are not resolved.
std::optional<ip_port> ParseAddress(std::string_view text);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_ADDRESS_H_
