#ifndef JASMINEPATH_REPLAY_TRACE_GENERATOR_H_
#define JASMINEPATH_REPLAY_TRACE_GENERATOR_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "jasminepath/config/configuration.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// The rate of faults in a generated trace.
enum class fault_level { none, ordinary, storm };

// Parses "none", "ordinary" or "storm".
std::optional<fault_level> ParseFaultLevel(std::string_view name);

struct generator_options {
  double hours = 1;
  uint64_t seed = 1;
  fault_level faults = fault_level::none;
  int64_t nodes = 8;
  // Summed over all models and all routes respectively.
  double model_requests_per_hour = 900;
  double plain_requests_per_hour = 600;

  friend bool operator==(const generator_options&,
                         const generator_options&) = default;
};

// Generates a trace for a site. A few models get most requests; the others are
// idle except for bursts that arrive at several nodes at once. From time to
// time a team sends several times its rate. Non-idempotent calls carry
// idempotency keys, and some are sent twice. The same options give the same
// trace.
trace MakeTrace(const config::configuration& site,
                const generator_options& options);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TRACE_GENERATOR_H_
