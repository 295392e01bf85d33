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

// How far a call has come.
enum class call_phase {
  trial,      // Waits for the one try of a suspected request.
  reserving,  // Waits for tokens.
  claiming,   // Waits for its idempotency claim.
  queued,     // Waits for an endpoint.
  running,    // An attempt is at an endpoint.
  ended,      // The caller has its answer or refusal; tidying up is left.
};

// Everything that a node knows of one call.
struct call_state {
  call_arrival arrival;
  resolved_call resolved;
  call_phase phase = call_phase::reserving;
  time_point arrived;
  time_point deadline;
  // Attempts that were sent, and whether the last one is still out.
  int64_t attempts = 0;
  bool attempt_out = false;
  endpoint_id endpoint;
  routing_query query;
  // Endpoints that have failed the call.
  std::vector<endpoint_id> avoid;
  std::optional<int64_t> resume_position;
  // Over all attempts that have ended.
  run_state run = run_state::not_run;
  // The running attempt has begun to answer.
  bool first_byte = false;
  tokens generated;
  bytes relayed;
  // The last attempt gave a whole answer.
  bool answered = false;
  attempt_report last_report;
  std::optional<idempotency_claim> claim;
  std::optional<time_point> claim_wake;
  // The call has the one try of a suspected request.
  bool on_trial = false;
  // Set when the call has ended.
  time_point forget_at;
  // When the coordinator looks at the call again.
  std::optional<time_point> wake;
};

// What is known of whether the call ran, its running attempt included.
run_state KnownRunState(const call_state& call);

// Adds what one attempt has told of whether the call ran.
run_state MergeRunStates(run_state known, run_state attempt);

// Tokens that the call has used: the prompt once it ran, and what it generated,
// at most what was reserved; the whole cost of a plain call that ran.
tokens UsedTokens(const call_state& call);

// The query that routing is asked for the call's next attempt.
routing_query MakeRoutingQuery(const call_state& call);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_STATE_H_
