#ifndef JASMINEPATH_DECISION_ADMISSION_ADMISSION_STATUS_H_
#define JASMINEPATH_DECISION_ADMISSION_ADMISSION_STATUS_H_

#include <cstdint>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/call_resolution.h"

namespace jasminepath::decision {

// Number of refusals with one code since the node started.
struct refusal_count {
  refusal_code code = refusal_code::internal_error;
  int64_t count = 0;

  friend bool operator==(const refusal_count&, const refusal_count&) = default;
};

// Admission counters of one team since the node started.
struct team_admission {
  // Empty for calls without a team.
  team_id team;
  // Number of calls admitted, and how many of these were answered.
  int64_t admitted = 0;
  int64_t answered = 0;
  tokens used;
  // This node's fraction of the team's rate in parts per million, and the
  // tokens that can be reserved now.
  int64_t fraction_ppm = 0;
  tokens available;
  std::vector<refusal_count> refusals;

  friend bool operator==(const team_admission&,
                         const team_admission&) = default;
};

// Current state of one queue.
struct queue_status {
  queue_id queue;
  int64_t waiting = 0;
  int64_t running = 0;
  tokens waiting_size;

  friend bool operator==(const queue_status&, const queue_status&) = default;
};

// Admission state of one node for the status page and the metrics.
struct admission_status {
  bool accepting = false;
  // Calls that have not ended.
  int64_t open_calls = 0;
  int64_t retries = 0;
  int64_t quarantine_records = 0;
  std::vector<team_admission> teams;
  std::vector<queue_status> queues;

  friend bool operator==(const admission_status&,
                         const admission_status&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_ADMISSION_STATUS_H_
