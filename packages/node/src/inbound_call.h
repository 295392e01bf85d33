#ifndef JASMINEPATH_NODE_INBOUND_CALL_H_
#define JASMINEPATH_NODE_INBOUND_CALL_H_

#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/endpoint/http_types.h"
#include "model_call_parser.h"

namespace Poco::Net {
class HTTPServerRequest;
}

namespace jasminepath::node {

// Limits on the requests of callers.
struct inbound_limits {
  bytes max_header_bytes = bytes(32 * 1024);
  bytes max_body_bytes = bytes(8 * 1024 * 1024);
  duration body_timeout = Seconds(30);
  model_call_limits model;

  friend bool operator==(const inbound_limits&,
                         const inbound_limits&) = default;
};

// A caller's request after validation, and the request to send to an endpoint.
struct inbound_call {
  decision::call_arrival arrival;
  // Request line, headers and body for the endpoint, without any team key.
  std::string method;
  std::string endpoint_path;
  std::vector<endpoint::header> endpoint_headers;
  std::string endpoint_body;
  // Whether the call is for a model engine.
  bool is_engine = false;
};

// Reads and validates the head and body of a request. A refusal has the run
// state `not_run`, and its message names the invalid part.
result<inbound_call, refusal> ReadInboundCall(
    Poco::Net::HTTPServerRequest& request,
    const request_id& id,
    const inbound_limits& limits);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_INBOUND_CALL_H_
