#ifndef JASMINEPATH_TOOL_FACT_COMMIT_H_
#define JASMINEPATH_TOOL_FACT_COMMIT_H_

#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/units.h"
#include "jasminepath/platform/ports.h"

namespace jasminepath::tool {

// The known state of a commit.
enum class commit_state {
  committed,
  // The row has another version because of another operator's commit. Our
  // commit took no effect, or was replaced if `may_have_applied` is set.
  superseded,
  // The platform was unreachable or refused the commit, which had no effect.
  not_committed,
  // The commit may have taken effect, and the platform cannot be reached now.
  unknown,
};

// The result of a commit.
struct commit_report {
  commit_state state = commit_state::unknown;
  // Version of our row, if committed.
  revision version;
  // The row that replaced the expected one, if superseded.
  std::optional<platform::table_row> current;
  // Whether the response to an earlier attempt was lost.
  bool may_have_applied = false;

  friend bool operator==(const commit_report&, const commit_report&) = default;
};

// A fact to write if its row still has version `base`; version 0 means that
// there is no row.
struct fact_write {
  std::string key;
  std::string value;
  revision base;

  friend bool operator==(const fact_write&, const fact_write&) = default;
};

// Writes facts to the platform's table. A commit whose response was lost is
// retried. This is safe because the version condition lets it take effect at
// most once; a conflict with a row that holds our value shows that an earlier
// attempt took effect. `Pause` is called between attempts.
template <platform::table_port Table, typename Pause>
class fact_commit {
 public:
  fact_commit(Table& table, Pause pause) : table_(table), pause_(pause) {}

  commit_report Run(const fact_write& write) {
    platform::transaction change;
    change.conditions.push_back({write.key, write.base});
    change.writes.push_back({write.key, write.value});
    commit_report report;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0)
        pause_();
      const auto outcome = table_.Commit(change);
      if (outcome)
        return ToReport(outcome.value(), write, report.may_have_applied);
      if (outcome.error() == platform::platform_error::outcome_lost)
        report.may_have_applied = true;
      else if (outcome.error() != platform::platform_error::unreachable)
        break;
    }
    report.state = report.may_have_applied ? commit_state::unknown
                                           : commit_state::not_committed;
    return report;
  }

 private:
  static constexpr int kMaxAttempts = 5;

  static commit_report ToReport(const platform::transaction_outcome& outcome,
                                const fact_write& write,
                                bool may_have_applied) {
    commit_report report;
    report.may_have_applied = may_have_applied;
    if (outcome.committed) {
      report.state = commit_state::committed;
      report.version = outcome.version;
      return report;
    }
    report.state = commit_state::superseded;
    if (outcome.conflicts.empty())
      return report;
    report.current = outcome.conflicts.front();
    if (may_have_applied && report.current->value == write.value) {
      report.state = commit_state::committed;
      report.version = report.current->version;
    }
    return report;
  }

  Table& table_;
  Pause pause_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_FACT_COMMIT_H_
