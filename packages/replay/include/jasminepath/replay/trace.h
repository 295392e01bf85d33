#ifndef JASMINEPATH_REPLAY_TRACE_H_
#define JASMINEPATH_REPLAY_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/config/configuration.h"

namespace jasminepath::replay {

// Version of the trace format that this package reads and writes.
inline constexpr int64_t kTraceVersion = 1;

// The outcome that a trace requires of a request.
enum class stated_outcome {
  served,
  refused,           // With the code in `refusal`.
  run_at_most_once,  // With any answer.
};

// A request's stated outcome.
struct expectation {
  stated_outcome outcome = stated_outcome::served;
  // Code of the refusal, for example "rate_limited"; with `refused` only.
  std::string refusal;
  // The maximum time from arrival to end, in milliseconds; 0 for no limit.
  int64_t within_ms = 0;

  friend bool operator==(const expectation&, const expectation&) = default;
};

// One request of a caller.
struct trace_request {
  std::string id;
  int64_t at_ms = 0;
  // The node that the load balancer selects, counted from 1.
  int64_t node = 1;
  // Empty for a caller without a key.
  team_id team;
  // The requested model; empty for a plain service.
  model_id model;
  adapter_id adapter;
  // Identifies the prompt prefix; 0 for a prefix that no other request shares.
  int64_t prefix = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  // For plain services only.
  std::string method;
  std::string path;
  // 0 for the default of the service.
  int64_t deadline_ms = 0;
  std::string idempotency_key;
  // Requests with the same body have the same quarantine fingerprint; empty for
  // a body that no other request has.
  std::string body;
  std::optional<expectation> expect;

  friend bool operator==(const trace_request&, const trace_request&) = default;
};

// The kind of an injected fault.
enum class fault_kind {
  node_killed,    // Target "N": the node ends; its VM starts a new one after
                  // `for_ms`.
  node_paused,    // Target "N": the node is suspended for `for_ms`.
  vm_leaving,     // Target VM: listed as leaving, reclaimed after `for_ms`.
  vm_reclaimed,   // Target VM: reclaimed, replaced by an empty VM after
                  // `for_ms`.
  endpoint_died,  // Target endpoint: it ends and restarts empty after `for_ms`.
  store_slow,     // The weight store is `amount` times slower for `for_ms`.
  platform_down,  // The table is unreachable for `for_ms`.
  answers_lost,   // The next `amount` writes take effect without an answer.
  poison,         // Target body: an endpoint that runs it crashes.
};

// One injected fault.
struct trace_fault {
  int64_t at_ms = 0;
  fault_kind kind = fault_kind::node_killed;
  std::string target;
  int64_t for_ms = 0;
  int64_t amount = 0;

  friend bool operator==(const trace_fault&, const trace_fault&) = default;
};

// A checkpoint that is on the disk of an endpoint's VM at the start.
struct cached_copy {
  endpoint_id endpoint;
  model_id model;

  friend bool operator==(const cached_copy&, const cached_copy&) = default;
};

// A recorded or generated run: the site, the requests and the injected faults.
// Requests and faults are ordered by time.
struct trace {
  config::configuration site;
  int64_t nodes = 8;
  std::vector<cached_copy> cached;
  std::vector<trace_request> requests;
  std::vector<trace_fault> faults;

  friend bool operator==(const trace&, const trace&) = default;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TRACE_H_
