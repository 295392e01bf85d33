#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/decision/admission/call_state.h"
#include "jasminepath/decision/admission/idempotency_claim.h"
#include "jasminepath/decision/admission/token_escrow.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Refusals of the coordinator. Those that take a call include what is known
// about whether the call ran.

// The node does not accept calls, for the given reason.
refusal MakeNotReadyRefusal(refusal_code why);
// The node has reached its limit of calls.
refusal MakeTooManyCallsRefusal();
// The request is quarantined for the remaining time `left`.
refusal MakeQuarantinedRefusal(duration left);
// No tokens could be reserved.
refusal MakeRateRefusal(const call_state& call, const reservation_refusal& why);
refusal MakeQueueFullRefusal(const call_state& call);
// Routing returned neither `picked` nor `wait`.
refusal MakeRoutingRefusal(const call_state& call, routing_verdict verdict);
// The last attempt failed and no further attempt is made.
refusal MakeAttemptRefusal(const call_state& call);
// The current configuration no longer allows the call.
refusal MakeNoLongerAllowedRefusal(const call_state& call);
refusal MakeKeyWithdrawnRefusal(const call_state& call);
refusal MakeCallerDisconnectedRefusal(const call_state& call);
refusal MakeClaimRefusal(const claim_rejected& why);
refusal MakeDeadlineRefusal(const call_state& call);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_
