#ifndef JASMINEPATH_ENDPOINT_ENGINE_CLIENT_H_
#define JASMINEPATH_ENDPOINT_ENGINE_CLIENT_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/endpoint/engine_types.h"
#include "jasminepath/endpoint/exchange.h"
#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::endpoint {

// Why a control call to an engine failed.
enum class engine_error_kind {
  unreachable,   // Nothing was sent; the call had no effect.
  outcome_lost,  // The call may have taken effect.
  malformed,     // The engine's answer does not follow the protocol.
};

struct engine_error {
  engine_error_kind kind = engine_error_kind::outcome_lost;
  std::string detail;

  friend bool operator==(const engine_error&, const engine_error&) = default;
};

// Makes control calls to one engine, each on a new connection and limited to
// `timeout`. Thread-safe.
class engine_client {
 public:
  engine_client(endpoint_address address, duration timeout);

  result<engine_status, engine_error> Status() const;

  // Sends an order once. After `outcome_lost` the caller finds out by Status()
  // whether the order took effect.
  result<order_answer, engine_error> SendOrder(const engine_order& order) const;

  // Returns the cache events that follow the sequence number `after`.
  result<cache_event_page, engine_error> Events(int64_t after) const;

  // Ends the generation of a request. Succeeds if it has already ended.
  result<void, engine_error> Cancel(const request_id& request) const;

 private:
  endpoint_address address_;
  duration timeout_;
};

// Returns the request that resumes a stream at the event with index
// `next_event`; the caller passes it to Run().
outbound_request ResumeRequest(const endpoint_address& address,
                               const request_id& request,
                               int64_t next_event);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_ENGINE_CLIENT_H_
