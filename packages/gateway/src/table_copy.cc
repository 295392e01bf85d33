#include "table_copy.h"

#include <algorithm>
#include <utility>

namespace jasminepath::gateway {
namespace {

// Maximum number of stored removals for peers that lag behind.
constexpr std::size_t kMaxRemovals = 512;

}  // namespace

bool table_copy::ApplyRead(std::map<std::string, table_row> rows,
                           revision version) {
  if (is_initialized_ && version < version_)
    return false;
  revision last_change = last_change_;
  for (const auto& [key, row] : rows)
    last_change = std::max(last_change, row.version);
  Replace(std::move(rows), version, last_change);
  return true;
}

std::vector<changed_row> table_copy::ApplyPolled(
    const std::vector<table_row>& changes,
    revision version) {
  std::vector<changed_row> applied;
  for (const table_row& row : changes) {
    if (Apply(row))
      applied.push_back({row.key, row.value, row.version.count(), row.removed});
  }
  version_ = std::max(version_, version);
  return applied;
}

table_copy::outcome table_copy::ApplyChanges(const table_changes& changes) {
  if (changes.is_snapshot)
    return ApplySnapshot(changes);
  if (revision(changes.last_change) <= last_change_)
    return outcome::unchanged;
  if (!is_initialized_ || changes.rows.empty() ||
      revision(changes.previous_change) > last_change_)
    return outcome::lacks_earlier_changes;
  bool changed = false;
  for (const changed_row& row : changes.rows)
    changed |= Apply({row.key, row.value, revision(row.version), row.removed});
  version_ = std::max(version_, revision(changes.complete_to));
  return changed ? outcome::changed : outcome::unchanged;
}

table_copy::outcome table_copy::ApplySnapshot(const table_changes& changes) {
  const revision version(changes.complete_to);
  const revision last_change(changes.last_change);
  if (is_initialized_ && (version <= version_ || last_change <= last_change_))
    return outcome::unchanged;
  std::map<std::string, table_row> rows;
  for (const changed_row& row : changes.rows)
    rows[row.key] = {row.key, row.value, revision(row.version), false};
  Replace(std::move(rows), version, last_change);
  return outcome::changed;
}

table_changes table_copy::ChangesSince(revision after) const {
  table_changes changes;
  changes.table = table_;
  changes.is_snapshot = after < history_from_;
  changes.previous_change = changes.is_snapshot ? 0 : after.count();
  changes.last_change = last_change_.count();
  changes.complete_to = version_.count();
  for (const auto& [key, row] : rows_) {
    if (changes.is_snapshot || row.version > after)
      changes.rows.push_back({key, row.value, row.version.count(), false});
  }
  if (!changes.is_snapshot) {
    for (const auto& [version, key] : removals_) {
      if (version > after)
        changes.rows.push_back({key, "", version.count(), true});
    }
  }
  std::sort(changes.rows.begin(), changes.rows.end(),
            [](const changed_row& a, const changed_row& b) {
              return a.version < b.version;
            });
  return changes;
}

bool table_copy::Apply(const table_row& row) {
  const auto known = rows_.find(row.key);
  if (row.version <= last_change_ && known == rows_.end())
    return false;
  if (known != rows_.end() && known->second.version >= row.version)
    return false;
  last_change_ = std::max(last_change_, row.version);
  changed_keys_.insert(row.key);
  if (row.removed)
    RecordRemoval(row);
  else
    rows_[row.key] = row;
  return true;
}

void table_copy::RecordRemoval(const table_row& row) {
  rows_.erase(row.key);
  removals_[row.version] = row.key;
  if (removals_.size() <= kMaxRemovals)
    return;
  history_from_ = removals_.begin()->first;
  removals_.erase(removals_.begin());
}

void table_copy::Replace(std::map<std::string, table_row> rows,
                         revision version,
                         revision last_change) {
  is_initialized_ = true;
  for (const auto& [key, row] : rows_)
    changed_keys_.insert(key);
  rows_ = std::move(rows);
  for (const auto& [key, row] : rows_)
    changed_keys_.insert(key);
  version_ = version;
  last_change_ = last_change;
  removals_.clear();
  history_from_ = version;
}

}  // namespace jasminepath::gateway
