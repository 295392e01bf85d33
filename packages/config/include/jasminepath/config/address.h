#ifndef JASMINEPATH_CONFIG_ADDRESS_H_
#define JASMINEPATH_CONFIG_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::config {

// A numeric IP address and a port.
struct ip_port {
  // Without the brackets of an IPv6 address.
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const ip_port&, const ip_port&) = default;
};

// Parses "ip:port" or "[ipv6]:port"; none if it is neither. Names are not
// resolved.
std::optional<ip_port> ParseAddress(std::string_view text);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_ADDRESS_H_
