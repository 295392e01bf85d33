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

// The answer to an `http_call` when it came whole.
struct http_answer {
  int status = 0;
  std::string body;

  friend bool operator==(const http_answer&, const http_answer&) = default;
};

// Sends `call` once over a fresh connection and reads the whole answer.
// Returns `unreachable` if no connection was made, `outcome_lost` if the
// connection failed later.
result<http_answer, platform_error> Exchange(const std::string& address,
                                             const client_timeouts& timeouts,
                                             const http_call& call);

// The error that an answer's status stands for; call it for answers that are
// not a success.
platform_error ErrorOf(const http_answer& answer);

// Percent-encodes a name for use in a path or query value.
std::string EncodeName(const std::string& name);

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_HTTP_EXCHANGE_H_
