#ifndef JASMINEPATH_SOAK_INVARIANT_CHECKER_H_
#define JASMINEPATH_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/http/client.h"
#include "jasminepath/http/message.h"
#include "platform_standin.h"

namespace jasminepath::soak {

// Whether a request may be sent again, or resumed after a part of its answer.
enum class call_kind { non_idempotent, idempotent, resumable };

// A request of a caller, before it is sent.
struct planned_call {
  std::string id;
  call_kind kind = call_kind::non_idempotent;
  std::string target;
  std::string key;
  // The team that holds the key.
  std::string team;
  // "MODEL" or "MODEL/ADAPTER"; empty for a plain service.
  std::string model;
  int64_t tokens = 0;
  // The answer of an engine.
  platform_adapter::stream_shape stream;
  // How long the caller waits for the answer.
  duration timeout{};

  friend bool operator==(const planned_call&, const planned_call&) = default;
};

// The end of a call as its caller sees it.
struct call_end {
  // 0 if no response head arrived.
  int status = 0;
  // The response has a Server-Seal header: an endpoint produced it.
  bool is_sealed = false;
  // The complete response arrived.
  bool is_complete = false;
  std::string body;
  std::optional<http::call_failure> failure;
  // The response did not end within kAnswerSlack after the timeout.
  bool has_timed_out = false;

  friend bool operator==(const call_end&, const call_end&) = default;
};

// What happened around a call at the node to which it was sent.
struct call_conditions {
  std::string node;
  // The call is the first one on its connection.
  bool is_first_on_connection = false;
  // No fault disturbed the call or the settling time before it.
  bool is_undisturbed = false;
  // The last SIGTERM of the node, if the call ended within its grace period;
  // the last SIGHUP of the node and the last change of the configuration, if
  // they were near the call.
  std::optional<time_point> stopped_at;
  std::optional<time_point> reloaded_at;
  std::optional<time_point> reconfigured_at;

  friend bool operator==(const call_conditions&,
                         const call_conditions&) = default;
};

// Rate and burst of a team, in tokens.
struct team_allowance {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const team_allowance&,
                         const team_allowance&) = default;
};

// Counters of a soak run.
struct soak_counts {
  int64_t calls = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  int64_t cancelled = 0;
  // Calls without a complete answer in undisturbed time, and how many of them
  // are not excused.
  int64_t cut = 0;
  int64_t lost = 0;
  int64_t runs = 0;
  int64_t orders = 0;
};

// Checks what callers, endpoints and engines observe against the invariants of
// the system, and records every violation.
class invariant_checker {
 public:
  // `allowances`: of the teams whose token use is checked.
  explicit invariant_checker(std::map<std::string, team_allowance> allowances);

  void OnSent(const planned_call& call, time_point now);
  // The caller cancelled the call before it ended.
  void OnCancelled() { ++counts_.cancelled; }
  void OnEnd(const planned_call& call,
             const call_end& end,
             const call_conditions& conditions,
             time_point now);
  // The same for a call that may be denied, of which only the loss is checked.
  void OnProbeEnd(const planned_call& call,
                  const call_end& end,
                  const call_conditions& conditions,
                  time_point now);

  // An endpoint starts to execute a request.
  void OnRun(const std::string& endpoint,
             const http::request& message,
             time_point now);
  // An endpoint has ended its work on a request.
  void OnRunEnd(const std::string& endpoint,
                const std::string& request,
                platform_adapter::run_end how,
                time_point now);
  // Shape of the stream that the call with this id expects.
  platform_adapter::stream_shape StreamOf(std::string_view id) const;
  // An engine accepts an order from `holder`, the placement holder of the epoch
  // `fencing`.
  void OnOrder(const std::string& engine,
               const std::string& holder,
               int64_t fencing);
  // Number of models and adapters resident on an engine after a change.
  void OnResidency(const std::string& engine,
                   std::size_t models,
                   std::size_t adapters);

  // Records a violation that another component of the soak test found.
  void AddViolation(const std::string& invariant, const std::string& detail);

  // Violated invariants, each with the details of its violations.
  const std::map<std::string, std::vector<std::string>>& violations() const {
    return violations_;
  }
  const soak_counts& counts() const { return counts_; }
  // A line for each call that was cut in undisturbed time, excused or not.
  const std::vector<std::string>& cuts() const { return cuts_; }

 private:
  // The last run of a request at an endpoint.
  struct run_record {
    std::string endpoint;
    time_point began_at;
    std::optional<time_point> ended_at;
    std::optional<platform_adapter::run_end> end;
  };
  struct call_record {
    planned_call call;
    time_point sent_at;
    int runs = 0;
    // The caller got a refusal, which states that the request did not run.
    bool is_reported_not_run = false;
    std::optional<run_record> last_run;
    // Its connection ended so soon that the node need not have read it.
    bool is_unread = false;
  };
  struct token_use {
    time_point at;
    int64_t tokens = 0;
  };

  void CheckAnswer(const call_record& record, const call_end& end);
  // Checks a call that ended without a complete answer.
  void CheckCut(call_record& record,
                const call_end& end,
                const call_conditions& conditions,
                time_point now);
  // A log line that traces a cut call. Times are relative to the SIGTERM of the
  // node if there was one, otherwise to the sending of the call.
  static std::string DescribeCut(const call_record& record,
                                 const call_end& end,
                                 const call_conditions& conditions,
                                 time_point now);
  // Returns why the call may be cut, or an empty string.
  static std::string ExcuseFor(const call_record& record,
                               const call_conditions& conditions,
                               time_point now);
  void CheckTokenUse(const std::string& team, int64_t tokens, time_point now);

  std::map<std::string, team_allowance> allowances_;
  std::map<std::string, call_record, std::less<>> calls_;
  std::map<std::string, std::deque<token_use>> uses_;
  std::map<int64_t, std::string> holders_;
  std::map<std::string, std::vector<std::string>> violations_;
  std::vector<std::string> cuts_;
  soak_counts counts_;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_INVARIANT_CHECKER_H_
