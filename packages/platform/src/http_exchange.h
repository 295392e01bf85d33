#ifndef JASMINEPATH_PLATFORM_HTTP_EXCHANGE_H_
#define JASMINEPATH_PLATFORM_HTTP_EXCHANGE_H_

#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/platform/platform_client.h"
#include "jasminepath/platform/ports.h"

namespace jasminepath::platform {

// One HTTP request to the platform.
struct http_call {
  std::string method;
  // Path and query, already encoded.
  std::string target;
  std::string body;
  // Sends "If-None-Match: *".
  bool only_if_absent = false;

  friend bool operator==(const http_call&, const http_call&) = default;
};

// The complete answer to an `http_call`.
struct http_answer {
  int status = 0;
  std::string body;

  friend bool operator==(const http_answer&, const http_answer&) = default;
};

// Sends `call` once over a new connection and reads the complete answer.
// Returns `unreachable` if no connection was established, and `outcome_lost` if
// the connection failed later.
result<http_answer, platform_error> Exchange(const std::string& address,
                                             const client_timeouts& timeouts,
                                             const http_call& call);

// Maps the status of an unsuccessful answer to an error.
platform_error ErrorOf(const http_answer& answer);

// Percent-encodes a name for use in a path or query value.
std::string EncodeName(const std::string& name);

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_HTTP_EXCHANGE_H_
