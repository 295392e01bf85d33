#ifndef JASMINEPATH_NODE_NODE_EVENT_H_
#define JASMINEPATH_NODE_NODE_EVENT_H_

#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "call_channel.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/fleet/versioned_row.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "jasminepath/decision/routing/cache_event.h"
#include "jasminepath/mesh/envelope.h"
#include "platform_executor.h"

namespace jasminepath::node {

// A caller's request was read and waits at its worker.
struct call_arrived {
  decision::call_arrival arrival;
  std::shared_ptr<call_channel> channel;
};

// The first byte of an endpoint's answer has come.
struct first_byte_received {
  request_id id;
  int64_t attempt = 0;
};

// An attempt at an endpoint has ended.
struct attempt_ended {
  request_id id;
  int64_t attempt = 0;
  decision::attempt_report report;
  // The whole answer, encoded, where the attempt brought one that is held.
  std::optional<std::string> buffered_answer;
};

// The caller has closed its connection.
struct caller_disconnected {
  request_id id;
};

// Another node's message has come.
struct envelope_received {
  mesh::envelope message;
};

// An endpoint has answered a status poll.
struct endpoint_polled {
  decision::endpoint_status status;
  std::vector<decision::cache_event> cache_events;
};

// An endpoint has not answered a status poll.
struct endpoint_unreachable {
  endpoint_id id;
};

// An engine has answered an order, or could not be asked.
struct order_ended {
  decision::order_outcome outcome;
};

// Facts that an operator's tool has committed and pushed. The promise is kept
// when they are in force on this node.
struct facts_pushed {
  std::vector<decision::fact> facts;
  std::shared_ptr<std::promise<void>> in_force;
};

// Asks for this node's view as JSON.
struct status_requested {
  std::shared_ptr<std::promise<std::string>> answer;
};

// The node shall stop: take no new authority and give back what it holds.
struct drain_requested {};

// Everything that happens to the decision thread.
using node_event = std::variant<call_arrived,
                                first_byte_received,
                                attempt_ended,
                                caller_disconnected,
                                platform_reply,
                                envelope_received,
                                endpoint_polled,
                                endpoint_unreachable,
                                order_ended,
                                facts_pushed,
                                status_requested,
                                drain_requested>;

using node_event_ring = bounded_ring<node_event>;

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_EVENT_H_
