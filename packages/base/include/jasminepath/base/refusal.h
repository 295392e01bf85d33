#ifndef JASMINEPATH_BASE_REFUSAL_H_
#define JASMINEPATH_BASE_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "jasminepath/base/boot_time.h"

namespace jasminepath {

// What is known of a request that did not get an ordinary answer.
enum class run_state {
  not_run,  // No endpoint began it.
  ran,      // An endpoint ran it.
  unknown,  // An endpoint may have run it.
};

// Why a request was refused. Each code maps to one HTTP status.
enum class refusal_code {
  bad_request,           // 400
  unauthenticated,       // 401: no key, or one that is not valid
  forbidden,             // 403: the key's team may not use the service
  not_found,             // 404: no such service or model
  too_large,             // 413
  idempotency_clash,     // 422: another body under the same idempotency key
  outcome_unknown,       // 409: an earlier call with this key has no known end
  rate_limited,          // 429: beyond the team's rate and burst
  quarantined,           // 422: the request has crashed endpoints
  queue_full,            // 503
  no_endpoint,           // 503
  cannot_meet_deadline,  // 503: the model cannot be loaded in time
  deadline_exceeded,     // 504
  platform_unavailable,  // 503
  isolated,              // 503: this node's view is too old
  shutting_down,         // 503
  key_withdrawn,         // 401: withdrawn while the request was running
  endpoint_failed,       // 502
  internal_error,        // 500
};

// The refusal that a caller sees.
struct refusal {
  refusal_code code = refusal_code::internal_error;
  run_state run = run_state::unknown;
  std::string message;
  // Set where waiting that long helps.
  std::optional<duration> retry_after;

  friend bool operator==(const refusal&, const refusal&) = default;
};

// The name in the "run" field: "not_run", "ran" or "unknown".
std::string_view ToString(run_state state);

// The name in the "code" field, for example "rate_limited".
std::string_view ToString(refusal_code code);

// The HTTP status that carries the code.
int HttpStatus(refusal_code code);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_REFUSAL_H_
