#include "table_copy.h"

#include <algorithm>
#include <utility>

namespace jasminepath::gateway {
namespace {

// Maximum number of stored removals for peers that lag behind.
constexpr std::size_t kMaxRemovals = 512;

void SortByVersion(std::vector<changed_row>& rows) {
  std::stable_sort(rows.begin(), rows.end(),
                   [](const changed_row& a, const changed_row& b) {
                     return a.version < b.version;
                   });
}

}  // namespace

std::optional<table_changes> table_copy::ApplyRead(
    std::map<std::string, table_row> rows,
    revision version) {
  if (is_initialized_ && version < version_)
    return std::nullopt;
  table_changes changes = MakeChanges();
  changes.valid_from = std::max(last_change_, gap_to_).count();
  changes.valid_to = version_.count();
  changes.rows = Replace(std::move(rows), version);
  changes.last_change = last_change_.count();
  changes.complete_to = version_.count();
  return changes;
}

table_changes table_copy::ApplyPolled(const std::vector<table_row>& changes,
                                      revision version) {
  table_changes applied = MakeChanges();
  applied.valid_from = std::max(last_change_, gap_to_).count();
  for (const table_row& row : changes) {
    if (row.version <= version_)
      continue;
    Apply(row);
    last_change_ = std::max(last_change_, row.version);
    applied.rows.push_back(
        {row.key, row.value, row.version.count(), row.removed});
  }
  version_ = std::max({version_, version, last_change_});
  applied.last_change = last_change_.count();
  applied.complete_to = applied.valid_to = version_.count();
  return applied;
}

table_copy::outcome table_copy::ApplyChanges(const table_changes& changes) {
  if (changes.is_snapshot && !changes.rows_omitted)
    return ApplySnapshot(changes);
  if (is_initialized_ && revision(changes.complete_to) <= version_)
    return outcome::unchanged;
  if (!is_initialized_ || changes.rows_omitted ||
      revision(changes.valid_from) > version_ ||
      revision(changes.valid_to) < version_)
    return outcome::lacks_earlier_changes;
  bool changed = false;
  for (const changed_row& row : changes.rows) {
    const revision version(row.version);
    if (version <= version_)
      continue;
    changed |= Apply({row.key, row.value, version, row.removed});
    if (version <= revision(changes.complete_to))
      last_change_ = std::max(last_change_, version);
  }
  // The changes may be a net difference, from which a peer with an older copy
  // cannot be updated.
  if (revision(changes.valid_to) < revision(changes.complete_to)) {
    history_from_ = std::max(history_from_, gap_to_);
    gap_from_ = version_;
    gap_to_ = revision(changes.complete_to);
  }
  version_ = revision(changes.complete_to);
  return changed ? outcome::changed : outcome::unchanged;
}

table_copy::outcome table_copy::ApplySnapshot(const table_changes& changes) {
  const revision version(changes.complete_to);
  if (is_initialized_ && version <= version_)
    return outcome::unchanged;
  std::map<std::string, table_row> rows;
  for (const changed_row& row : changes.rows)
    rows[row.key] = {row.key, row.value, revision(row.version), false};
  const bool is_first = !is_initialized_;
  const auto replaced = Replace(std::move(rows), version);
  last_change_ = std::max(last_change_, revision(changes.last_change));
  return is_first || !replaced.empty() ? outcome::changed : outcome::unchanged;
}

bool table_copy::AdvanceTo(const table_status& peer) {
  const revision version(peer.complete_to);
  if (!is_initialized_)
    return false;
  if (version <= version_)
    return true;
  if (revision(peer.last_change) > version_ ||
      revision(peer.history_from) > version_)
    return false;
  version_ = version;
  return true;
}

table_status table_copy::status() const {
  table_status status;
  status.last_change = last_change_.count();
  status.complete_to = version_.count();
  status.history_from = gap_to_.count();
  return status;
}

revision table_copy::LastChangeUpTo(revision version) const {
  revision last;
  for (const auto& [key, row] : rows_) {
    if (row.version <= version)
      last = std::max(last, row.version);
  }
  const auto later = removals_.upper_bound(version);
  if (later != removals_.begin())
    last = std::max(last, std::prev(later)->first);
  return last;
}

revision table_copy::EquivalentVersion(revision after) const {
  if (after >= gap_to_)
    return std::max(LastChangeUpTo(after), gap_to_);
  if (after >= history_from_ && after <= gap_from_)
    return std::max(LastChangeUpTo(after), history_from_);
  return {};
}

table_changes table_copy::ChangesSince(revision after) const {
  table_changes changes = MakeChanges();
  changes.last_change = last_change_.count();
  changes.complete_to = changes.valid_to = version_.count();
  changes.valid_from = EquivalentVersion(after).count();
  changes.is_snapshot =
      after < history_from_ || (after > gap_from_ && after < gap_to_);
  if (after < gap_to_ && !changes.is_snapshot)
    changes.valid_to = gap_from_.count();
  for (const auto& [key, row] : rows_) {
    if (changes.is_snapshot || row.version > after)
      changes.rows.push_back({key, row.value, row.version.count(), false});
  }
  if (!changes.is_snapshot) {
    for (auto removal = removals_.upper_bound(after);
         removal != removals_.end(); ++removal)
      changes.rows.push_back(
          {removal->second, "", removal->first.count(), true});
  }
  SortByVersion(changes.rows);
  return changes;
}

table_changes table_copy::MakeChanges() const {
  table_changes changes;
  changes.table = table_;
  return changes;
}

bool table_copy::Apply(const table_row& row) {
  const auto known = rows_.find(row.key);
  if (known != rows_.end() && known->second.version >= row.version)
    return false;
  if (row.removed) {
    RecordRemoval(row.key, row.version);
    if (known == rows_.end())
      return false;
    rows_.erase(known);
  } else {
    rows_[row.key] = row;
  }
  changed_keys_.insert(row.key);
  return true;
}

void table_copy::RecordRemoval(const std::string& key, revision version) {
  removals_.emplace(version, key);
  if (removals_.size() <= kMaxRemovals)
    return;
  history_from_ = std::max(history_from_, removals_.begin()->first);
  removals_.erase(removals_.begin());
  if (history_from_ > gap_from_)
    history_from_ = gap_from_ = gap_to_ = std::max(history_from_, gap_to_);
}

std::vector<changed_row> table_copy::Replace(
    std::map<std::string, table_row> rows,
    revision version) {
  std::vector<changed_row> changes;
  if (is_initialized_) {
    history_from_ = std::max(history_from_, gap_to_);
    gap_from_ = version_;
  } else {
    history_from_ = gap_from_ = version;
  }
  gap_to_ = version;
  for (const auto& [key, row] : rows_) {
    if (rows.contains(key))
      continue;
    changes.push_back({key, "", version.count(), true});
    changed_keys_.insert(key);
  }
  for (const auto& [key, row] : rows) {
    const auto known = rows_.find(key);
    if (known != rows_.end() && known->second.version == row.version)
      continue;
    changes.push_back({key, row.value, row.version.count(), false});
    changed_keys_.insert(key);
  }
  SortByVersion(changes);
  is_initialized_ = true;
  rows_ = std::move(rows);
  version_ = version;
  for (const changed_row& row : changes) {
    if (row.removed)
      RecordRemoval(row.key, version);
    if (revision(row.version) <= version)
      last_change_ = std::max(last_change_, revision(row.version));
  }
  return changes;
}

}  // namespace jasminepath::gateway
