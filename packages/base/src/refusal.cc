#include "jasminepath/base/refusal.h"

namespace jasminepath {

std::string_view ToString(run_state state) {
  switch (state) {
    case run_state::not_run:
      return "not_run";
    case run_state::ran:
      return "ran";
    case run_state::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(refusal_code code) {
  switch (code) {
    case refusal_code::bad_request:
      return "bad_request";
    case refusal_code::unauthenticated:
      return "unauthenticated";
    case refusal_code::forbidden:
      return "forbidden";
    case refusal_code::not_found:
      return "not_found";
    case refusal_code::too_large:
      return "too_large";
    case refusal_code::idempotency_clash:
      return "idempotency_clash";
    case refusal_code::outcome_unknown:
      return "outcome_unknown";
    case refusal_code::rate_limited:
      return "rate_limited";
    case refusal_code::quarantined:
      return "quarantined";
    case refusal_code::queue_full:
      return "queue_full";
    case refusal_code::no_endpoint:
      return "no_endpoint";
    case refusal_code::cannot_meet_deadline:
      return "cannot_meet_deadline";
    case refusal_code::deadline_exceeded:
      return "deadline_exceeded";
    case refusal_code::platform_unavailable:
      return "platform_unavailable";
    case refusal_code::isolated:
      return "isolated";
    case refusal_code::shutting_down:
      return "shutting_down";
    case refusal_code::key_withdrawn:
      return "key_withdrawn";
    case refusal_code::endpoint_failed:
      return "endpoint_failed";
    case refusal_code::internal_error:
      return "internal_error";
  }
  return "internal_error";
}

int HttpStatus(refusal_code code) {
  switch (code) {
    case refusal_code::bad_request:
      return 400;
    case refusal_code::unauthenticated:
    case refusal_code::key_withdrawn:
      return 401;
    case refusal_code::forbidden:
      return 403;
    case refusal_code::not_found:
      return 404;
    case refusal_code::outcome_unknown:
      return 409;
    case refusal_code::too_large:
      return 413;
    case refusal_code::idempotency_clash:
    case refusal_code::quarantined:
      return 422;
    case refusal_code::rate_limited:
      return 429;
    case refusal_code::internal_error:
      return 500;
    case refusal_code::endpoint_failed:
      return 502;
    case refusal_code::queue_full:
    case refusal_code::no_endpoint:
    case refusal_code::cannot_meet_deadline:
    case refusal_code::platform_unavailable:
    case refusal_code::isolated:
    case refusal_code::shutting_down:
      return 503;
    case refusal_code::deadline_exceeded:
      return 504;
  }
  return 500;
}

}  // namespace jasminepath
