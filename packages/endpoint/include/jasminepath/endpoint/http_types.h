#ifndef JASMINEPATH_ENDPOINT_HTTP_TYPES_H_
#define JASMINEPATH_ENDPOINT_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepath::endpoint {

// One header field. Names are compared case-insensitively.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

// The IP address and port at which an endpoint listens.
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

// Whether an answer must repeat the request's X-Request-Id.
enum class echo_rule {
  required,    // An answer without it counts as crossed; for engines.
  if_present,  // Only a different id counts as crossed; for plain services.
  ignored,     // Not checked; for load tools, which receive the node's own id.
};

// A request to an endpoint. The exchange adds Host, Content-Length, Connection
// and X-Request-Id, which `headers` must not contain.
struct outbound_request {
  endpoint_address address;
  std::string method;
  // Path with query, as written to the request line.
  std::string path;
  std::vector<header> headers;
  std::string body;
  std::string request_id;
  echo_rule echo = echo_rule::required;

  friend bool operator==(const outbound_request&,
                         const outbound_request&) = default;
};

// Whether two strings are equal, ignoring ASCII case.
bool IsEqualIgnoringCase(std::string_view a, std::string_view b);

// The first value of the named header; null if there is none.
const std::string* FindHeader(const std::vector<header>& headers,
                              std::string_view name);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_HTTP_TYPES_H_
