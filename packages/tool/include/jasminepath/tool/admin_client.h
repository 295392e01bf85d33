#ifndef JASMINEPATH_TOOL_ADMIN_CLIENT_H_
#define JASMINEPATH_TOOL_ADMIN_CLIENT_H_

#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/json_value.h"
#include "jasminepath/tool/admin_port.h"

namespace jasminepath::tool {

// The administration of nodes over HTTP. Opens one connection for each call;
// every call may be repeated. Safe to use from several threads.
class admin_client {
 public:
  // `operator_token` goes into the Authorization header. `timeout` bounds the
  // connect and each read.
  admin_client(std::string operator_token, duration timeout);

  // POST /admin/facts.
  result<fact_acknowledgement, admin_error> PostFacts(
      const std::string& address,
      const std::vector<pushed_fact>& facts) const;

  // GET of a path that answers with a JSON document.
  result<config::json_value, admin_error> Get(const std::string& address,
                                              const std::string& path) const;

  // POST of an empty object to a path.
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
