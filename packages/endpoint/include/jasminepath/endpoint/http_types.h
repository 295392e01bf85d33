#ifndef JASMINEPATH_ENDPOINT_HTTP_TYPES_H_
#define JASMINEPATH_ENDPOINT_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepath::endpoint {

// One header field. Names compare without regard to case.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

// Where an endpoint listens: an IP number and a port.
struct endpoint_address {
  std::string host;
  uint16_t port = 0;

  friend bool operator==(const endpoint_address&,
                         const endpoint_address&) = default;
};

// Status line and header fields of an answer.
struct response_head {
  int status = 0;
  std::vector<header> headers;

  friend bool operator==(const response_head&, const response_head&) = default;
};

// Whether the answer has to repeat the request's X-Request-Id.
enum class echo_rule {
  required,    // An answer without it counts as crossed: engines.
  if_present,  // Only a different one counts as crossed: plain services.
  ignored,     // Not looked at: load tools, which see a node's own id.
};

// A request to an endpoint. Host, Content-Length, Connection and X-Request-Id
// are written by the exchange and are left out of `headers`.
struct outbound_request {
  endpoint_address address;
  std::string method;
  // Path with query, as it goes on the request line.
  std::string path;
  std::vector<header> headers;
  std::string body;
  std::string request_id;
  echo_rule echo = echo_rule::required;

  friend bool operator==(const outbound_request&,
                         const outbound_request&) = default;
};

// Whether two header names are the same, without regard to ASCII case.
bool IsEqualIgnoringCase(std::string_view a, std::string_view b);

// The first value of the named header; null if there is none.
const std::string* FindHeader(const std::vector<header>& headers,
                              std::string_view name);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_HTTP_TYPES_H_
