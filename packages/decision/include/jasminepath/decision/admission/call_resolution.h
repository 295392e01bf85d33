#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_RESOLUTION_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_RESOLUTION_H_

#include <compare>
#include <cstdint>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/admission/key_registry.h"
#include "jasminepath/decision/admission/quarantine_record.h"

namespace jasminepath::decision {

// Bounds of what callers may ask for and of what one node keeps.
struct coordinator_limits {
  // Calls that a node holds at a time, running ones included.
  int64_t max_calls = 8192;
  // Generation limit of a call that gives none, and the most it may give.
  tokens default_max_tokens = tokens(512);
  tokens max_generated_tokens = tokens(16384);
  tokens max_prompt_tokens = tokens(262144);
  duration longest_deadline = Seconds(600);
  // Attempts of one call, the first included.
  int64_t max_attempts = 3;
  // Retries allowed for each hundred first attempts, and the reserve beyond
  // that which the whole fleet shares.
  int64_t retry_percent = 10;
  int64_t fleet_retry_reserve = 256;
  // How long a request that may crash endpoints is kept from running.
  duration quarantine_lifetime = Seconds(600);
  int64_t max_quarantine_records = 4096;
  // Longest answer that is recorded under an idempotency key.
  bytes max_recorded_answer = bytes(1 << 20);
  // How often routing is asked again while calls wait for an endpoint.
  duration repick_interval = Milliseconds(20);
  // How long after a call's end its attempt may go unreported.
  duration attempt_grace = Seconds(30);

  friend bool operator==(const coordinator_limits&,
                         const coordinator_limits&) = default;
};

// The queue that a call waits in: one for each model, one for each plain
// service (with no model).
struct queue_id {
  service_id service;
  model_id model;

  friend auto operator<=>(const queue_id&, const queue_id&) = default;
};

// What the configuration says of a call.
struct resolved_call {
  queue_id queue;
  // Empty on a route open to all that was called without a key.
  authenticated_caller caller;
  // Whether the call may be sent a second time.
  bool idempotent = true;
  // Weight of the team and priority of the service.
  int64_t weight = 1;
  int64_t priority = 1;
  int64_t queue_limit = 1;
  // Generation limit; 0 for plain services.
  tokens max_tokens;
  // What is reserved: prompt and generation limit, or the route's cost.
  tokens size;
  // Longest time that the call may take.
  duration time_allowed = duration::zero();
  request_fingerprint fingerprint;

  friend bool operator==(const resolved_call&, const resolved_call&) = default;
};

// Checks a call against the keys, the configuration and the limits. Every
// refusal is `not_run`.
result<resolved_call, refusal> ResolveCall(
    const call_arrival& arrival,
    const key_registry& keys,
    const config::configuration& configuration,
    const coordinator_limits& limits);

// Whether a call that was resolved under an earlier configuration may still
// begin to run under this one: its service exists and its team may use it.
bool IsStillAllowed(const resolved_call& call,
                    const config::configuration& configuration);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_RESOLUTION_H_
