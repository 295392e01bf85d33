#ifndef JASMINEPATH_PLATFORM_PLATFORM_CLIENT_H_
#define JASMINEPATH_PLATFORM_PLATFORM_CLIENT_H_

#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/platform/ports.h"

namespace jasminepath::platform {

// Limits of one call to the platform.
struct client_timeouts {
  duration connect = Seconds(1);
  // Longest time without progress while the request is sent or the answer is
  // read.
  duration exchange = Seconds(3);
  // Longest time of the whole call.
  duration total = Seconds(30);

  friend bool operator==(const client_timeouts&,
                         const client_timeouts&) = default;
};

// Client of the platform's table, object store and VM list over HTTP with JSON
// bodies. Every call opens a new connection, so that the HTTP library never
// resends a request. Calls block the calling thread up to the timeouts. Not
// thread-safe: each thread uses its own client.
//
// Errors: `unreachable` if the call had no effect (no connection, or the
// service reports that it is down), `outcome_lost` if the request may have
// taken effect, `rejected` for a malformed request, `not_found` and
// `already_exists` from the object store.
class platform_client {
 public:
  // `address` is "ip:port".
  platform_client(std::string address, client_timeouts timeouts);

  // Table.
  result<transaction_outcome, platform_error> Commit(const transaction& change);
  result<row_page, platform_error> ReadSince(const std::string& prefix,
                                             revision since);

  // Object store.
  result<void, platform_error> Put(const std::string& name,
                                   const std::string& body);
  result<void, platform_error> Create(const std::string& name,
                                      const std::string& body);
  result<std::string, platform_error> Get(const std::string& name);
  result<std::vector<std::string>, platform_error> List(
      const std::string& prefix);

  // VM list.
  result<std::vector<listed_vm>, platform_error> ListVms();

 private:
  std::string address_;
  client_timeouts timeouts_;
};

static_assert(table_port<platform_client>);
static_assert(object_port<platform_client>);
static_assert(vm_list_port<platform_client>);

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_PLATFORM_CLIENT_H_
