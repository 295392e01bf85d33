#ifndef JASMINEPATH_REPLAY_REPLAY_RUNNER_H_
#define JASMINEPATH_REPLAY_REPLAY_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "jasminepath/replay/replay_report.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// Placement policies to compare. Each baseline differs from `adaptive` in one
// respect.
enum class placement_policy {
  adaptive,      // The policy that the node runs.
  fixed,         // Fixed keep-warm timeout of five minutes.
  break_even,    // Break-even keep-warm timeout.
  least_loaded,  // As adaptive, but without prefix affinity in routing.
};

// How the rate limit of a team is enforced.
enum class admission_policy {
  escrow,        // The policy that the node runs: shares with borrowing.
  static_split,  // Shares without borrowing.
  table_write,   // One table row for each team, written for each admitted
                 // request.
};

// Parse the enumerators by name. Any other name gives nothing.
std::optional<placement_policy> ParsePlacementPolicy(std::string_view name);
std::optional<admission_policy> ParseAdmissionPolicy(std::string_view name);
std::string_view ToString(placement_policy policy);
std::string_view ToString(admission_policy policy);

struct replay_options {
  placement_policy policy = placement_policy::adaptive;
  admission_policy admission = admission_policy::escrow;
  uint64_t seed = 1;

  friend bool operator==(const replay_options&,
                         const replay_options&) = default;
};

// Replays the trace in virtual time. The aggregates are those that the node
// runs; engines, weight store, table and network are simple models. The same
// trace and options give the same report.
replay_report Replay(const trace& source, const replay_options& options);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_REPLAY_RUNNER_H_
