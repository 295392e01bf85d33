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

// A caller's request was read, and its worker waits for a command.
struct call_arrived {
  decision::call_arrival arrival;
  std::shared_ptr<call_channel> channel;
};

// The first byte of an endpoint's answer was received.
struct first_byte_received {
  request_id id;
  int64_t attempt = 0;
};

// An attempt at an endpoint has ended.
struct attempt_ended {
  request_id id;
  int64_t attempt = 0;
  decision::attempt_report report;
  // The encoded answer, if the attempt produced a complete buffered answer.
  std::optional<std::string> buffered_answer;
};

// The caller has closed its connection.
struct caller_disconnected {
  request_id id;
};

// A message of another node was received.
struct envelope_received {
  mesh::envelope message;
};

// An endpoint answered a status poll.
struct endpoint_polled {
  decision::endpoint_status status;
  std::vector<decision::cache_event> cache_events;
};

// An endpoint did not answer a status poll.
struct endpoint_unreachable {
  endpoint_id id;
};

// An engine answered an order, or the order could not be sent.
struct order_ended {
  decision::order_outcome outcome;
};

// Facts that an operator's tool committed and pushed. `in_force` is fulfilled
// when they are in force on this node.
struct facts_pushed {
  std::vector<decision::fact> facts;
  std::shared_ptr<std::promise<void>> in_force;
};

// Requests this node's status as JSON.
struct status_requested {
  std::shared_ptr<std::promise<std::string>> answer;
};

// Requests a planned stop: the node acquires no new authorities and releases
// those that it holds.
struct drain_requested {};

// All events of the decision thread.
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
