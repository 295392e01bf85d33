#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/decision/admission/call_state.h"
#include "jasminepath/decision/admission/idempotency_claim.h"
#include "jasminepath/decision/admission/token_escrow.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// The refusals that a coordinator gives. Those that take a call tell what is
// known of whether it ran.

// The node takes no calls, for the reason given.
refusal NotReadyRefusal(refusal_code why);
// The node holds as many calls as it may.
refusal TooManyCallsRefusal();
// The request may not run for the time that is left.
refusal QuarantinedRefusal(duration left);
// No tokens could be reserved.
refusal RateRefusal(const call_state& call, const reservation_refusal& why);
refusal QueueFullRefusal(const call_state& call);
// Routing answered neither `picked` nor `wait`.
refusal RoutingRefusal(const call_state& call, routing_verdict verdict);
// The last attempt failed and there is no other.
refusal AttemptRefusal(const call_state& call);
// A newer configuration does not let the call begin.
refusal NoLongerAllowedRefusal(const call_state& call);
refusal KeyWithdrawnRefusal(const call_state& call);
refusal CallerGoneRefusal(const call_state& call);
refusal ClaimRefusal(const claim_rejected& why);
refusal DeadlineRefusal(const call_state& call);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_REFUSALS_H_
