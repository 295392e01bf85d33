#ifndef JASMINEPATH_REPLAY_REPLAY_REPORT_H_
#define JASMINEPATH_REPLAY_REPLAY_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"

namespace jasminepath::replay {

// First-byte latencies of requests that arrived while no replica was ready.
struct cold_start_times {
  int64_t count = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;

  friend bool operator==(const cold_start_times&,
                         const cold_start_times&) = default;
};

// Request counts of one team.
struct team_result {
  team_id team;
  int64_t requests = 0;
  int64_t served = 0;
  // Served requests divided by the requests that were not refused for exceeding
  // the rate of the team; 1 if there were none.
  double served_ratio = 1;

  friend bool operator==(const team_result&, const team_result&) = default;
};

// A violated invariant or stated outcome of the trace. `detail` names the
// request, model, endpoint or team concerned.
struct violation {
  std::string rule;
  int64_t at_ms = 0;
  std::string detail;

  friend bool operator==(const violation&, const violation&) = default;
};

// The results of one replay.
struct replay_report {
  std::string policy;
  std::string admission;
  int64_t requests = 0;
  cold_start_times cold_start;
  double idle_accelerator_hours = 0;
  std::vector<team_result> teams;
  team_result worst_team;
  int64_t wrongful_refusals = 0;
  int64_t table_reads = 0;
  int64_t table_writes = 0;
  int64_t loads = 0;
  int64_t node_messages = 0;
  std::vector<violation> violations;

  friend bool operator==(const replay_report&, const replay_report&) = default;
};

// JSON with the keys of docs/TRACE_FORMAT.md, on one line.
std::string ToJson(const replay_report& report);
// The same values as lines of text.
std::string ToText(const replay_report& report);
// A bar chart of the served ratio of each team, headed by the policies, the
// cold start times and the idle accelerator hours.
std::string ToSvg(const replay_report& report);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_REPLAY_REPORT_H_
