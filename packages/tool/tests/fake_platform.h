#ifndef JASMINEPATH_TOOL_TESTS_FAKE_PLATFORM_H_
#define JASMINEPATH_TOOL_TESTS_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/platform/ports.h"

namespace jasminepath::tool {

// The fault that a fake commit simulates.
enum class fake_fault {
  none,
  unreachable,         // No effect, no response.
  lost_before_commit,  // No effect, response lost.
  lost_after_commit,   // Takes effect, response lost.
};

// An in-memory table and VM list with scripted faults.
class fake_platform {
 public:
  // Faults of the next commits, in order. Later commits have no fault.
  std::deque<fake_fault> commit_faults;
  // Called before each commit, for example to commit a competing change first.
  std::function<void()> before_commit = [] {};
  bool should_fail_reads = false;
  bool should_fail_list = false;
  std::vector<platform::listed_vm> vms;
  int commits_applied = 0;

  result<platform::transaction_outcome, platform::platform_error> Commit(
      const platform::transaction& change) {
    before_commit();
    const fake_fault fault = NextFault();
    if (fault == fake_fault::unreachable)
      return failure(platform::platform_error::unreachable);
    if (fault == fake_fault::lost_before_commit)
      return failure(platform::platform_error::outcome_lost);
    platform::transaction_outcome outcome = Apply(change);
    if (fault == fake_fault::lost_after_commit)
      return failure(platform::platform_error::outcome_lost);
    return outcome;
  }

  result<platform::row_page, platform::platform_error> ReadSince(
      const std::string& prefix,
      revision since) {
    if (should_fail_reads)
      return failure(platform::platform_error::unreachable);
    platform::row_page page;
    page.version = version_;
    for (const auto& [key, row] : rows_) {
      if (key.compare(0, prefix.size(), prefix) == 0 && row.version > since)
        page.rows.push_back(row);
    }
    return page;
  }

  result<std::vector<platform::listed_vm>, platform::platform_error> ListVms() {
    if (should_fail_list)
      return failure(platform::platform_error::unreachable);
    return vms;
  }

  // Writes a row without conditions, as another operator's commit would.
  void Write(const std::string& key, const std::string& value) {
    platform::transaction change;
    change.writes.push_back({key, value});
    Apply(change);
  }

  std::string ValueOf(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? std::string() : found->second.value;
  }

 private:
  fake_fault NextFault() {
    if (commit_faults.empty())
      return fake_fault::none;
    const fake_fault fault = commit_faults.front();
    commit_faults.pop_front();
    return fault;
  }

  platform::transaction_outcome Apply(const platform::transaction& change) {
    platform::transaction_outcome outcome;
    for (const platform::row_condition& condition : change.conditions) {
      const auto found = rows_.find(condition.key);
      const revision actual =
          found == rows_.end() ? revision(0) : found->second.version;
      if (actual != condition.version) {
        outcome.conflicts.push_back(
            found == rows_.end()
                ? platform::table_row{condition.key, "", revision(0), true}
                : found->second);
      }
    }
    if (!outcome.conflicts.empty())
      return outcome;
    version_ += revision(1);
    ++commits_applied;
    for (const platform::row_write& write : change.writes)
      rows_[write.key] = {write.key, write.value.value_or(""), version_,
                          !write.value.has_value()};
    outcome.committed = true;
    outcome.version = version_;
    return outcome;
  }

  std::map<std::string, platform::table_row> rows_;
  revision version_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_TESTS_FAKE_PLATFORM_H_
