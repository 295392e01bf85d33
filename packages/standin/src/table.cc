#include "table.h"

namespace jasminepath::standin {

stored_row table::CurrentRow(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? stored_row{key, "", 0, true} : found->second;
}

commit_outcome table::Transact(const std::vector<required_version>& conditions,
                               const std::vector<requested_write>& writes) {
  const std::lock_guard lock(mutex_);
  commit_outcome outcome;
  for (const required_version& condition : conditions) {
    const stored_row row = CurrentRow(condition.key);
    const int64_t visible = row.is_deleted ? 0 : row.version;
    if (visible != condition.version)
      outcome.conflicts.push_back(row);
  }
  if (!outcome.conflicts.empty())
    return outcome;
  outcome.version = ++version_;
  for (const requested_write& write : writes) {
    rows_[write.key] = stored_row{write.key, write.value.value_or(""), version_,
                                  !write.value.has_value()};
  }
  return outcome;
}

changed_rows table::ReadSince(const std::string& prefix, int64_t since) const {
  const std::lock_guard lock(mutex_);
  changed_rows changed{version_, {}};
  for (auto row = rows_.lower_bound(prefix);
       row != rows_.end() && row->first.starts_with(prefix); ++row) {
    const bool is_included =
        since == 0 ? !row->second.is_deleted : row->second.version > since;
    if (is_included)
      changed.rows.push_back(row->second);
  }
  return changed;
}

}  // namespace jasminepath::standin
