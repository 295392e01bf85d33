#ifndef JASMINEPATH_REPLAY_TRACE_GENERATOR_H_
#define JASMINEPATH_REPLAY_TRACE_GENERATOR_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "jasminepath/config/configuration.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// How much fails in a generated trace.
enum class fault_level { none, ordinary, storm };

// Parses "none", "ordinary" or "storm".
std::optional<fault_level> ParseFaultLevel(std::string_view name);

// What to generate.
struct generator_options {
  double hours = 1;
  uint64_t seed = 1;
  fault_level faults = fault_level::none;
  int64_t nodes = 8;
  // Requests an hour, over all models and routes.
  double model_requests_per_hour = 900;
  double plain_requests_per_hour = 600;

  friend bool operator==(const generator_options&,
                         const generator_options&) = default;
};

// Makes a trace for a site: few models get most requests, the rest sleep and
// wake in bursts that arrive at several nodes at once; one team sometimes sends
// several times its rate; non-idempotent calls carry idempotency keys and some
// are sent twice. The same options give the same trace.
trace MakeTrace(const config::configuration& site,
                const generator_options& options);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TRACE_GENERATOR_H_
