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

// Limits on what callers may request and on what one node keeps.
struct coordinator_limits {
  // Maximum number of calls on a node at a time, including running calls.
  int64_t max_calls = 8192;
  // Default generation limit of a call, and the largest limit that it may
  // request.
  tokens default_max_tokens = tokens(512);
  tokens max_generated_tokens = tokens(16384);
  tokens max_prompt_tokens = tokens(262144);
  duration max_deadline = Seconds(600);
  // Maximum number of attempts of one call, including the first.
  int64_t max_attempts = 3;
  // Retries allowed per hundred first attempts, and an additional reserve that
  // the whole fleet shares.
  int64_t retry_percent = 10;
  int64_t fleet_retry_reserve = 256;
  // Time for which a request that may crash endpoints is blocked.
  duration quarantine_lifetime = Seconds(600);
  int64_t max_quarantine_records = 4096;
  // Largest answer that is recorded under an idempotency key.
  bytes max_recorded_answer = bytes(1 << 20);
  // Interval between routing attempts while calls wait for an endpoint.
  duration repick_interval = Milliseconds(20);
  // Time after a call's end during which the report of its attempt is awaited.
  duration attempt_grace = Seconds(30);

  friend bool operator==(const coordinator_limits&,
                         const coordinator_limits&) = default;
};

// Identifies a queue: one for each model, and one for each plain service (with
// an empty model).
struct queue_id {
  service_id service;
  model_id model;

  friend auto operator<=>(const queue_id&, const queue_id&) = default;
};

// A call with the settings that the configuration assigns to it.
struct resolved_call {
  queue_id queue;
  // Empty for a call without a key on a route that requires none.
  authenticated_caller caller;
  // Whether the call may be sent a second time.
  bool idempotent = true;
  // Weight of the team and priority of the service.
  int64_t weight = 1;
  int64_t priority = 1;
  int64_t queue_limit = 1;
  // Generation limit; 0 for plain services.
  tokens max_tokens;
  // Tokens to reserve: prompt and generation limit, or the cost of the route.
  tokens size;
  // Maximum duration of the call.
  duration time_allowed = duration::zero();
  request_fingerprint fingerprint;

  friend bool operator==(const resolved_call&, const resolved_call&) = default;
};

// Checks a call against the keys, the configuration and the limits. Every
// refusal has run state `not_run`.
result<resolved_call, refusal> ResolveCall(
    const call_arrival& arrival,
    const key_registry& keys,
    const config::configuration& configuration,
    const coordinator_limits& limits);

// Whether a call that was resolved under an earlier configuration may still be
// started under this one: its service exists and its team may use it.
bool IsStillAllowed(const resolved_call& call,
                    const config::configuration& configuration);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_RESOLUTION_H_
