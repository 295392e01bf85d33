#ifndef JASMINEPATH_DECISION_ROUTING_ROUTING_CHOICE_H_
#define JASMINEPATH_DECISION_ROUTING_ROUTING_CHOICE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// Routing inputs of one attempt of a call.
struct routing_query {
  service_id service;
  // Empty for a plain service.
  model_id model;
  // Empty if the base model is requested.
  adapter_id adapter;
  // Stable hash of the start of the prompt; 0 if there is none.
  uint64_t prefix_hash = 0;
  // Prompt tokens plus the generation limit.
  tokens size;
  // 0 is the highest priority.
  int64_t priority = 1;
  time_point deadline;
  // Endpoints at which this call has already failed.
  std::vector<endpoint_id> avoid;

  friend bool operator==(const routing_query&, const routing_query&) = default;
};

// Result of a pick.
enum class routing_verdict {
  picked,       // `endpoint` and `address` are set.
  wait,         // No capacity or no ready replica now; try again later.
  no_endpoint,  // No endpoint of the service can be used.
  cannot_meet_deadline,  // A replica cannot be ready before the deadline.
};

// The endpoint for one attempt, or the reason why there is none.
struct routing_choice {
  routing_verdict verdict = routing_verdict::no_endpoint;
  endpoint_id endpoint;
  std::string address;

  friend bool operator==(const routing_choice&,
                         const routing_choice&) = default;
};

// End of one attempt at an endpoint, as input of outlier detection.
enum class attempt_end {
  answered,        // A whole answer with any status below 500.
  refused,         // The endpoint reported that it did not run the call.
  server_error,    // An answer with a status of 500 or more.
  connect_failed,  // No connection was established; nothing was sent.
  cut,             // The connection ended before the answer was complete.
  silent,          // No data arrived within the idle timeout.
  cancelled,       // This node ended the attempt.
};

// A router that picks endpoints and uses the outcomes of the attempts.
template <typename T>
concept endpoint_router = requires(T router,
                                   const routing_query& query,
                                   const endpoint_id& endpoint,
                                   attempt_end end,
                                   time_point now) {
  { router.Pick(query, now) } -> std::same_as<routing_choice>;
  // The attempt is about to be sent to the picked endpoint.
  { router.OnDispatched(endpoint, query, now) } -> std::same_as<void>;
  // The attempt has ended; called once for each OnDispatched.
  { router.OnFinished(endpoint, query, end, now) } -> std::same_as<void>;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_ROUTING_CHOICE_H_
