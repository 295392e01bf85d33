#ifndef JASMINEPATH_TOOL_ADMIN_CLIENT_H_
#define JASMINEPATH_TOOL_ADMIN_CLIENT_H_

#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/json_value.h"
#include "jasminepath/tool/admin_port.h"

namespace jasminepath::tool {

// HTTP client for the nodes' administration interface. Opens one connection for
// each call. Every call is idempotent and may be retried. Thread-safe.
class admin_client {
 public:
  // `operator_token` is sent in the Authorization header. `timeout` applies to
  // the connect and to each pause without a byte; a call takes a minute at
  // most.
  admin_client(std::string operator_token, duration timeout);

  // Sends POST /admin/facts.
  result<fact_acknowledgement, admin_error> PostFacts(
      const std::string& address,
      const std::vector<pushed_fact>& facts) const;

  // Sends a GET request; the response body must be a JSON document.
  result<config::json_value, admin_error> Get(const std::string& address,
                                              const std::string& path) const;

  // Sends a POST request with an empty JSON object; the response body must be a
  // JSON document.
  result<config::json_value, admin_error> Post(const std::string& address,
                                               const std::string& path) const;

 private:
  result<config::json_value, admin_error> Call(const std::string& address,
                                               const std::string& method,
                                               const std::string& path,
                                               const std::string& body) const;

  std::string operator_token_;
  duration timeout_;
};

static_assert(fact_push_port<admin_client>);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_ADMIN_CLIENT_H_
