#ifndef JASMINEPATH_REPLAY_REPLAY_METRICS_H_
#define JASMINEPATH_REPLAY_REPLAY_METRICS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/refusal.h"
#include "jasminepath/replay/replay_report.h"
#include "jasminepath/replay/trace.h"
#include "rate_meter.h"

namespace jasminepath::replay {

// Follows every request of a replay, computes the report and records violations
// of invariants and stated outcomes.
class replay_metrics {
 public:
  replay_metrics(const trace& source, time_point start);

  // Events of one request. `size` is the estimated token cost; `allowed` is the
  // time until the deadline.
  void OnArrival(const trace_request& request,
                 bool cold,
                 tokens size,
                 duration allowed,
                 time_point now);
  // An endpoint has begun to run the request.
  void OnExecution(const std::string& id, time_point now);
  void OnFirstByte(const std::string& id, time_point now);
  void OnServed(const std::string& id, tokens used, time_point now);
  void OnRefused(const std::string& id, const refusal& reason, time_point now);
  // The node of the request has ended, so that no answer is expected, or was
  // paused, so that the end may come after the deadline.
  void OnNodeLost(const std::string& id);
  void OnNodePaused(const std::string& id);

  void OnIdle(double accelerators, duration idle);
  void OnViolation(const std::string& rule,
                   const std::string& detail,
                   time_point now);

  // Checks all requests and returns the report, without the fields that the
  // simulation fills in.
  replay_report Finish(time_point end);

 private:
  enum class end_kind { open, served, refused, node_lost };
  struct record {
    const trace_request* request = nullptr;
    bool cold = false;
    bool was_paused = false;
    tokens size;
    time_point arrived;
    time_point latest_end;
    std::optional<time_point> first_byte;
    end_kind end = end_kind::open;
    time_point ended;
    refusal_code refused = refusal_code::internal_error;
    bool is_over_rate = false;
    int64_t executions = 0;
  };
  struct team_usage {
    rate_meter meter;
    tokens used;
  };

  record* FindOpen(const std::string& id);
  void CloseRecord(record& entry, end_kind end, time_point now);
  void CheckExpectation(const record& entry);
  void CheckRates(time_point end);
  cold_start_times ColdStartTimes() const;
  std::vector<team_result> TeamResults() const;

  const trace& source_;
  time_point start_;
  std::vector<std::string> arrival_order_;
  std::unordered_map<std::string, record> records_;
  // Executions by ExecutionKey, for requests that may run at most once.
  std::map<std::string, int64_t> execution_counts_;
  std::map<team_id, team_usage> teams_;
  double idle_accelerator_seconds_ = 0;
  int64_t wrongful_refusals_ = 0;
  std::vector<violation> violations_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_REPLAY_METRICS_H_
