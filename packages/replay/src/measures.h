#ifndef JASMINEPATH_REPLAY_MEASURES_H_
#define JASMINEPATH_REPLAY_MEASURES_H_

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

// Follows every request of a replay and notes what is broken.
class measures {
 public:
  measures(const trace& source, time_point start);

  // What the replay says of a request.
  void OnArrival(const trace_request& request,
                 bool cold,
                 tokens size,
                 duration allowed,
                 time_point now);
  // An endpoint has begun to run it.
  void OnExecution(const std::string& id, time_point now);
  void OnFirstByte(const std::string& id, time_point now);
  void OnServed(const std::string& id, tokens used, time_point now);
  void OnRefused(const std::string& id, const refusal& reason, time_point now);
  // Its node has ended or was paused: the caller's connection is of no use, or
  // its time is not the node's to keep.
  void OnNodeLost(const std::string& id);
  void OnNodePaused(const std::string& id);

  void OnIdle(double accelerators, duration idle);
  void OnViolation(const std::string& rule,
                   const std::string& detail,
                   time_point now);

  // Fills in all but the counts that others keep.
  replay_report Finish(time_point end);

 private:
  enum class end_kind { open, served, refused, node_lost };
  struct record {
    const trace_request* request = nullptr;
    bool cold = false;
    bool paused = false;
    tokens size;
    time_point arrived;
    time_point latest;
    std::optional<time_point> first_byte;
    end_kind end = end_kind::open;
    time_point ended;
    refusal_code refused = refusal_code::internal_error;
    bool rightly_limited = false;
    int64_t executions = 0;
  };
  struct team_use {
    rate_meter meter;
    tokens used;
  };

  record* FindOpen(const std::string& id);
  void Close(record& entry, end_kind end, time_point now);
  void CheckExpectation(const record& entry);
  void CheckRates(time_point end);
  cold_start_times ColdStarts() const;
  std::vector<team_result> Teams() const;

  const trace& source_;
  time_point start_;
  std::vector<std::string> order_;
  std::unordered_map<std::string, record> records_;
  // Executions of what may run at most once.
  std::map<std::string, int64_t> runs_;
  std::map<team_id, team_use> teams_;
  double idle_accelerator_seconds_ = 0;
  int64_t wrongful_refusals_ = 0;
  std::vector<violation> violations_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_MEASURES_H_
