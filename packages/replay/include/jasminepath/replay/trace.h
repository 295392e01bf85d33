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

// What must become of a request.
enum class stated_outcome {
  served,
  refused,           // With the code in `refusal`.
  run_at_most_once,  // Whatever else happens.
};

// A request's stated outcome.
struct expectation {
  stated_outcome outcome = stated_outcome::served;
  // Code of the refusal, for example "rate_limited"; with `refused` only.
  std::string refusal;
  // Latest end, in milliseconds after the request's arrival; 0 for none.
  int64_t within_ms = 0;

  friend bool operator==(const expectation&, const expectation&) = default;
};

// One request of a caller.
struct trace_request {
  std::string id;
  int64_t at_ms = 0;
  // Node that the balancer gives it to, counted from 1.
  int64_t node = 1;
  // Empty for a caller without a key.
  team_id team;
  // Model services: the model; empty for a plain service.
  model_id model;
  adapter_id adapter;
  // Names the prompt's leading part; 0 for one of its own.
  int64_t prefix = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  // Plain services.
  std::string method;
  std::string path;
  // 0 for the service's own.
  int64_t deadline_ms = 0;
  std::string idempotency_key;
  // Requests with the same body are the same to quarantine; empty for one of
  // its own.
  std::string body;
  std::optional<expectation> expect;

  friend bool operator==(const trace_request&, const trace_request&) = default;
};

// What fails.
enum class fault_kind {
  node_killed,    // Target "N": the node ends; its VM runs a new one later.
  node_paused,    // Target "N": the node does nothing for `for_ms`.
  vm_leaving,     // Target VM: listed as leaving, gone after `for_ms`.
  vm_reclaimed,   // Target VM: gone at once, back empty after `for_ms`.
  endpoint_died,  // Target endpoint: restarts empty after `for_ms`.
  store_slow,     // The weight store is `amount` times slower for `for_ms`.
  platform_down,  // The table answers nothing for `for_ms`.
  answers_lost,   // The next `amount` writes take effect without an answer.
  poison,         // Target body: each endpoint that runs it dies.
};

// One fault.
struct trace_fault {
  int64_t at_ms = 0;
  fault_kind kind = fault_kind::node_killed;
  std::string target;
  int64_t for_ms = 0;
  int64_t amount = 0;

  friend bool operator==(const trace_fault&, const trace_fault&) = default;
};

// A checkpoint on the disk of an endpoint's VM at the start.
struct cached_copy {
  endpoint_id endpoint;
  model_id model;

  friend bool operator==(const cached_copy&, const cached_copy&) = default;
};

// A recorded or generated run: the site, what callers ask, what fails. Requests
// and faults are ordered by time.
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
