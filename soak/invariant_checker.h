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
  // `is_undisturbed`: no fault disturbed the call or the settling time before
  // it.
  void OnEnd(const planned_call& call,
             const call_end& end,
             bool is_undisturbed,
             time_point now);

  // An endpoint starts to execute a request.
  void OnRun(const std::string& endpoint,
             const http::request& message,
             time_point now);
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

 private:
  struct call_record {
    planned_call call;
    time_point sent_at;
    int runs = 0;
    // The caller got a refusal, which states that the request did not run.
    bool is_reported_not_run = false;
  };
  struct token_use {
    time_point at;
    int64_t tokens = 0;
  };

  void CheckAnswer(const call_record& record, const call_end& end);
  void CheckTokenUse(const std::string& team, int64_t tokens, time_point now);

  std::map<std::string, team_allowance> allowances_;
  std::map<std::string, call_record> calls_;
  std::map<std::string, std::deque<token_use>> uses_;
  std::map<int64_t, std::string> holders_;
  std::map<std::string, std::vector<std::string>> violations_;
  soak_counts counts_;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_INVARIANT_CHECKER_H_
