#ifndef JASMINEPATH_BASE_REFUSAL_H_
#define JASMINEPATH_BASE_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "jasminepath/base/boot_time.h"

namespace jasminepath {

// Whether an endpoint ran a request that did not get an ordinary answer.
enum class run_state {
  not_run,  // No endpoint started the request.
  ran,      // An endpoint ran the request.
  unknown,  // An endpoint may have run the request.
};

// The reason why a request was refused. Each code maps to one HTTP status.
enum class refusal_code {
  bad_request,           // 400
  unauthenticated,       // 401: the key is missing or invalid
  forbidden,             // 403: the key's team may not use the service
  not_found,             // 404: no such service or model
  too_large,             // 413
  idempotency_clash,     // 422: same idempotency key, different body
  outcome_unknown,       // 409: an earlier call's outcome is unknown
  rate_limited,          // 429: the team's rate and burst are exceeded
  quarantined,           // 422: the request crashed endpoints before
  queue_full,            // 503
  no_endpoint,           // 503
  cannot_meet_deadline,  // 503: the model cannot be loaded in time
  deadline_exceeded,     // 504
  platform_unavailable,  // 503
  isolated,              // 503: the view of this node is outdated
  shutting_down,         // 503
  key_withdrawn,         // 401: the key was withdrawn while the request ran
  endpoint_failed,       // 502
  internal_error,        // 500
};

// The refusal that is sent to a caller.
struct refusal {
  refusal_code code = refusal_code::internal_error;
  run_state run = run_state::unknown;
  std::string message;
  // Set if a retry after this time may succeed.
  std::optional<duration> retry_after;

  friend bool operator==(const refusal&, const refusal&) = default;
};

// Returns the value of the "run" field: "not_run", "ran" or "unknown".
std::string_view ToString(run_state state);

// Returns the value of the "code" field, for example "rate_limited".
std::string_view ToString(refusal_code code);

// Returns the HTTP status for the code.
int HttpStatus(refusal_code code);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_REFUSAL_H_
