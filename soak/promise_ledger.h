#ifndef JASMINEPATH_SOAK_PROMISE_LEDGER_H_
#define JASMINEPATH_SOAK_PROMISE_LEDGER_H_

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

// What may be done with a request again.
enum class call_kind { once, repeatable, resumable };

// A request that a caller is about to send.
struct planned_call {
  std::string id;
  call_kind kind = call_kind::once;
  std::string target;
  std::string key;
  // The team that holds the key.
  std::string team;
  // "MODEL" or "MODEL/ADAPTER"; empty for a plain service.
  std::string model;
  int64_t tokens = 0;
  // How long the caller waits.
  duration patience{};

  friend bool operator==(const planned_call&, const planned_call&) = default;
};

// How a call ended for its caller.
struct call_end {
  // 0 without a head.
  int status = 0;
  bool is_sealed = false;
  // The whole answer came.
  bool is_whole = false;
  std::string body;
  std::optional<http::call_failure> failure;
  // No answer came although the patience was long over.
  bool was_held = false;

  friend bool operator==(const call_end&, const call_end&) = default;
};

// What a team may use.
struct team_allowance {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const team_allowance&,
                         const team_allowance&) = default;
};

// Counts of a run, for its report.
struct soak_counts {
  int64_t calls = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  int64_t left = 0;
  int64_t runs = 0;
  int64_t orders = 0;
};

// Holds what callers, endpoints and engines see against the promises, and
// keeps what was seen of each one that was broken.
class promise_ledger {
 public:
  // Allowances of the teams whose use is bounded.
  explicit promise_ledger(std::map<std::string, team_allowance> allowances);

  void OnSent(const planned_call& call, time_point now);
  // The caller has gone before the end.
  void OnLeft() { ++counts_.left; }
  // `calm`: nothing unplanned has disturbed the call or the time before it.
  void OnEnd(const planned_call& call,
             const call_end& end,
             bool calm,
             time_point now);

  // An endpoint begins to run a request.
  void OnRun(const std::string& endpoint,
             const http::request& message,
             time_point now);
  // An engine takes an order, and what it holds afterwards.
  void OnOrder(const std::string& engine,
               const std::string& holder,
               int64_t fencing);
  void OnHoldings(const std::string& engine,
                  std::size_t models,
                  std::size_t adapters);

  // Another part of the run found a broken promise.
  void Break(const std::string& promise, const std::string& detail);

  // Broken promises with their details.
  const std::map<std::string, std::vector<std::string>>& violations() const {
    return violations_;
  }
  const soak_counts& counts() const { return counts_; }

 private:
  struct history {
    planned_call call;
    time_point sent_at;
    int runs = 0;
    // A refusal said that it had not run.
    bool said_not_run = false;
  };
  struct use {
    time_point at;
    int64_t tokens = 0;
  };

  void CheckAnswer(const history& known, const call_end& end);
  void CheckUse(const std::string& team, int64_t tokens, time_point now);

  std::map<std::string, team_allowance> allowances_;
  std::map<std::string, history> calls_;
  std::map<std::string, std::deque<use>> uses_;
  std::map<int64_t, std::string> holders_;
  std::map<std::string, std::vector<std::string>> violations_;
  soak_counts counts_;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_PROMISE_LEDGER_H_
