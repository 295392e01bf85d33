#ifndef JASMINEPATH_REPLAY_REPLAY_RUNNER_H_
#define JASMINEPATH_REPLAY_REPLAY_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "jasminepath/replay/replay_report.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// Policies that can be compared. The baselines change one thing each.
enum class placement_policy {
  adaptive,      // As the node runs.
  fixed,         // Fixed timeout of five minutes.
  break_even,    // Break-even timeout.
  least_loaded,  // As adaptive, but routing without prefix affinity.
};

// How a team's rate is kept.
enum class admission_policy {
  escrow,        // As the node runs: shares with borrowing.
  static_split,  // Shares without borrowing.
  table_write,   // One row of the table for each team, written for each grant.
};

// Parse the names "adaptive", "fixed", "break_even" and "least_loaded", and
// "escrow", "static_split" and "table_write".
std::optional<placement_policy> ParsePlacementPolicy(std::string_view name);
std::optional<admission_policy> ParseAdmissionPolicy(std::string_view name);
std::string_view ToString(placement_policy policy);
std::string_view ToString(admission_policy policy);

// How to replay.
struct replay_options {
  placement_policy policy = placement_policy::adaptive;
  admission_policy admission = admission_policy::escrow;
  uint64_t seed = 1;

  friend bool operator==(const replay_options&,
                         const replay_options&) = default;
};

// Replays the trace in virtual time with the aggregates that the node runs,
// before plain models of engines, weight store, table and links. The same
// trace and options give the same report.
replay_report Replay(const trace& source, const replay_options& options);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_REPLAY_RUNNER_H_
