#include "jasminepath/decision/admission/call_refusals.h"

#include <string>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kOverloadRetryAfter = Seconds(1);

refusal MakeNotRunRefusal(refusal_code code, std::string message) {
  return {code, run_state::not_run, std::move(message), std::nullopt};
}

refusal MakeRefusal(const call_state& call,
                    refusal_code code,
                    std::string message) {
  return {code, KnownRunState(call), std::move(message), std::nullopt};
}

}  // namespace

refusal MakeNotReadyRefusal(refusal_code why) {
  refusal reason = MakeNotRunRefusal(why, "this node takes no calls now");
  reason.retry_after = kOverloadRetryAfter;
  return reason;
}

refusal MakeTooManyCallsRefusal() {
  refusal reason = MakeNotRunRefusal(refusal_code::queue_full,
                                     "this node has too many calls");
  reason.retry_after = kOverloadRetryAfter;
  return reason;
}

refusal MakeQuarantinedRefusal(duration left) {
  refusal reason = MakeNotRunRefusal(
      refusal_code::quarantined, "an endpoint ended while it ran this request");
  reason.retry_after = left;
  return reason;
}

refusal MakeRateRefusal(const call_state& call,
                        const reservation_refusal& why) {
  const std::string size = std::to_string(call.resolved.size.count());
  if (why.exceeds_burst) {
    return MakeNotRunRefusal(
        refusal_code::too_large,
        "the call reserves " + size +
            " tokens, more than the team's burst allows at once");
  }
  if (!why.retry_after) {
    return MakeNotRunRefusal(refusal_code::platform_unavailable,
                             "this node has no part of the team's rate yet");
  }
  refusal reason = MakeNotRunRefusal(
      refusal_code::rate_limited,
      "the call reserves " + size +
          " tokens, beyond the team's rate and burst for now");
  reason.retry_after = why.retry_after;
  return reason;
}

refusal MakeQueueFullRefusal(const call_state& call) {
  refusal reason =
      MakeRefusal(call, refusal_code::queue_full, "too many calls wait");
  reason.retry_after = kOverloadRetryAfter;
  return reason;
}

refusal MakeRoutingRefusal(const call_state& call, routing_verdict verdict) {
  if (verdict == routing_verdict::cannot_meet_deadline) {
    return MakeRefusal(call, refusal_code::cannot_meet_deadline,
                       "the model cannot be ready before the deadline");
  }
  return MakeRefusal(call, refusal_code::no_endpoint,
                     "no endpoint of the service can be used");
}

refusal MakeAttemptRefusal(const call_state& call) {
  switch (call.last_report.end) {
    case attempt_end::connect_failed:
    case attempt_end::refused:
      return MakeRefusal(call, refusal_code::no_endpoint,
                         "no endpoint has taken the call");
    case attempt_end::server_error:
      return MakeRefusal(call, refusal_code::endpoint_failed,
                         "the endpoint answered with an error");
    case attempt_end::silent:
      return MakeRefusal(call, refusal_code::endpoint_failed,
                         "the endpoint has gone silent");
    case attempt_end::cancelled:
      return MakeRefusal(call, refusal_code::internal_error,
                         "the attempt was cancelled");
    default:
      return MakeRefusal(call, refusal_code::endpoint_failed,
                         "the endpoint's answer was cut");
  }
}

refusal MakeNoLongerAllowedRefusal(const call_state& call) {
  return MakeRefusal(call, refusal_code::forbidden,
                     "the team may no longer use service " +
                         call.resolved.queue.service.value());
}

refusal MakeKeyWithdrawnRefusal(const call_state& call) {
  return MakeRefusal(call, refusal_code::key_withdrawn,
                     "the team key has been withdrawn");
}

refusal MakeCallerDisconnectedRefusal(const call_state& call) {
  return MakeRefusal(call, refusal_code::internal_error,
                     "the caller has closed the connection");
}

refusal MakeClaimRefusal(const claim_rejected& why) {
  refusal reason{why.code, why.run, "", std::nullopt};
  reason.message = why.code == refusal_code::idempotency_clash
                       ? "the Idempotency-Key was used for another request"
                       : "an earlier call with this Idempotency-Key has no "
                         "known outcome";
  return reason;
}

refusal MakeDeadlineRefusal(const call_state& call) {
  if (call.phase != call_phase::claiming) {
    return MakeRefusal(call, refusal_code::deadline_exceeded,
                       "the call has reached its deadline");
  }
  if (call.claim->IsWaitingForOwner()) {
    return {refusal_code::outcome_unknown, run_state::unknown,
            "an earlier call with this Idempotency-Key has not ended",
            std::nullopt};
  }
  return MakeRefusal(call, refusal_code::platform_unavailable,
                     "the Idempotency-Key could not be claimed in time");
}

}  // namespace jasminepath::decision
