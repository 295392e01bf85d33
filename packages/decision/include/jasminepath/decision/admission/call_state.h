#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_STATE_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/admission/call_resolution.h"
#include "jasminepath/decision/admission/idempotency_claim.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Stage of a call.
enum class call_phase {
  trial,      // Waits for the single trial of a suspected request.
  reserving,  // Waits for tokens.
  claiming,   // Waits for its idempotency claim.
  queued,     // Waits for an endpoint.
  running,    // An attempt runs at an endpoint.
  ended,      // The caller has its answer or refusal; clean-up may be left.
};

// State of one call on a node.
struct call_state {
  call_arrival arrival;
  resolved_call resolved;
  call_phase phase = call_phase::reserving;
  time_point arrived;
  time_point deadline;
  // Number of attempts that were sent, and whether the last one is still
  // running.
  int64_t attempts = 0;
  bool has_running_attempt = false;
  endpoint_id endpoint;
  routing_query query;
  // Endpoints at which the call has failed.
  std::vector<endpoint_id> avoid;
  std::optional<int64_t> resume_position;
  // Combined run state of all attempts that have ended.
  run_state run = run_state::not_run;
  // Whether the running attempt has started to answer.
  bool has_first_byte = false;
  tokens generated;
  bytes relayed;
  // Whether the last attempt gave a whole answer. An error of the endpoint that
  // was relayed to the caller counts as an answer.
  bool answered = false;
  attempt_report last_report;
  std::optional<idempotency_claim> claim;
  std::optional<time_point> claim_wakeup_at;
  // Whether the call holds the single trial of a suspected request.
  bool is_on_trial = false;
  // Time after which an ended call no longer waits for the report of its
  // attempt or for its claim. Set when the call ends.
  time_point expires_at;
  // Time at which the coordinator next processes the call.
  std::optional<time_point> wakeup_at;
};

// What is known about whether the call ran, including its running attempt.
run_state KnownRunState(const call_state& call);

// Combines the known run state of a call with that of one attempt.
run_state MergeRunStates(run_state known, run_state attempt);

// Tokens that the call has used. A model call that ran uses its prompt and the
// generated tokens, at most the reserved amount; a plain call that ran uses its
// whole cost.
tokens ComputeUsedTokens(const call_state& call);

// Builds the routing query for the call's next attempt.
routing_query MakeRoutingQuery(const call_state& call);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_STATE_H_
