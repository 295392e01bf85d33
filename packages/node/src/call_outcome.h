#ifndef JASMINEPATH_NODE_CALL_OUTCOME_H_
#define JASMINEPATH_NODE_CALL_OUTCOME_H_

#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"

namespace jasminepath::node {

// How one call ended, for the metrics and the burn-rate report.
struct call_outcome {
  team_id team;
  service_id service;
  // The model, or "METHOD prefix" of a plain service's route.
  std::string route;
  // Empty if the caller received a complete answer.
  std::optional<refusal_code> refused;
  // From the arrival of the call to the endpoint's first byte.
  std::optional<duration> first_byte;
  duration total = duration::zero();

  friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALL_OUTCOME_H_
