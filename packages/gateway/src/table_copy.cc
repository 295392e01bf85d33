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
    const store_version& version) {
  if (is_initialized_ && version < version_)
    return std::nullopt;
  const bool is_new_era = is_initialized_ && version.era() > version_.era();
  const int64_t valid_from = std::max(last_change_, gap_to_).number();
  const int64_t valid_to = version_.number();
  std::vector<changed_row> replaced = Replace(std::move(rows), version);
  if (is_new_era)
    return ChangesSince(store_version());
  table_changes changes = MakeChanges();
  changes.valid_from = valid_from;
  changes.valid_to = valid_to;
  changes.rows = std::move(replaced);
  changes.last_change = last_change_.number();
  changes.complete_to = version_.number();
  return changes;
}

table_changes table_copy::ApplyPolled(const std::vector<table_row>& changes,
                                      const store_version& version) {
  table_changes applied = MakeChanges();
  applied.valid_from = std::max(last_change_, gap_to_).number();
  for (const table_row& row : changes) {
    if (row.version <= version_)
      continue;
    Apply(row);
    last_change_ = std::max(last_change_, row.version);
    applied.rows.push_back(
        {row.key, row.value, row.version.number(), row.removed});
  }
  version_ = std::max({version_, version, last_change_});
  applied.last_change = last_change_.number();
  applied.complete_to = applied.valid_to = version_.number();
  return applied;
}

table_copy::outcome table_copy::ApplyChanges(const table_changes& changes) {
  if (changes.is_snapshot && !changes.rows_omitted)
    return ApplySnapshot(changes);
  if (is_initialized_ && changes.At(changes.complete_to) <= version_)
    return outcome::unchanged;
  if (!is_initialized_ || changes.rows_omitted ||
      changes.At(changes.valid_from) > version_ ||
      changes.At(changes.valid_to) < version_)
    return outcome::lacks_earlier_changes;
  bool changed = false;
  for (const changed_row& row : changes.rows) {
    const store_version version = changes.At(row.version);
    if (version <= version_)
      continue;
    changed |= Apply({row.key, row.value, version, row.removed});
    if (version <= changes.At(changes.complete_to))
      last_change_ = std::max(last_change_, version);
  }
  // The changes may be a net difference, from which a peer with an older copy
  // cannot be updated.
  if (changes.At(changes.valid_to) < changes.At(changes.complete_to)) {
    history_from_ = std::max(history_from_, gap_to_);
    gap_from_ = version_;
    gap_to_ = changes.At(changes.complete_to);
  }
  version_ = changes.At(changes.complete_to);
  return changed ? outcome::changed : outcome::unchanged;
}

table_copy::outcome table_copy::ApplySnapshot(const table_changes& changes) {
  const store_version version = changes.At(changes.complete_to);
  if (is_initialized_ && version <= version_)
    return outcome::unchanged;
  std::map<std::string, table_row> rows;
  for (const changed_row& row : changes.rows)
    rows[row.key] = {row.key, row.value, changes.At(row.version), false};
  const bool is_first = !is_initialized_;
  const auto replaced = Replace(std::move(rows), version);
  last_change_ = std::max(last_change_, changes.At(changes.last_change));
  return is_first || !replaced.empty() ? outcome::changed : outcome::unchanged;
}

bool table_copy::AdvanceTo(const table_status& peer, store_era era) {
  const store_version version(era, peer.complete_to);
  if (!is_initialized_)
    return false;
  if (version <= version_)
    return true;
  if (era != version_.era() ||
      store_version(era, peer.last_change) > version_ ||
      store_version(era, peer.history_from) > version_)
    return false;
  version_ = version;
  return true;
}

table_status table_copy::status() const {
  table_status status;
  status.last_change = last_change_.number();
  status.complete_to = version_.number();
  status.history_from = gap_to_.number();
  return status;
}

store_version table_copy::LastChangeUpTo(const store_version& version) const {
  store_version last;
  for (const auto& [key, row] : rows_) {
    if (row.version <= version)
      last = std::max(last, row.version);
  }
  const auto later = removals_.upper_bound(version);
  if (later != removals_.begin())
    last = std::max(last, std::prev(later)->first);
  return last;
}

store_version table_copy::EquivalentVersion(const store_version& after) const {
  if (after >= gap_to_)
    return std::max(LastChangeUpTo(after), gap_to_);
  if (after >= history_from_ && after <= gap_from_)
    return std::max(LastChangeUpTo(after), history_from_);
  return {};
}

table_changes table_copy::ChangesSince(const store_version& after) const {
  table_changes changes = MakeChanges();
  changes.last_change = last_change_.number();
  changes.complete_to = changes.valid_to = version_.number();
  changes.valid_from = EquivalentVersion(after).number();
  changes.is_snapshot =
      after < history_from_ || (after > gap_from_ && after < gap_to_);
  if (after < gap_to_ && !changes.is_snapshot)
    changes.valid_to = gap_from_.number();
  for (const auto& [key, row] : rows_) {
    if (changes.is_snapshot || row.version > after)
      changes.rows.push_back({key, row.value, row.version.number(), false});
  }
  if (!changes.is_snapshot) {
    for (auto removal = removals_.upper_bound(after);
         removal != removals_.end(); ++removal)
      changes.rows.push_back(
          {removal->second, "", removal->first.number(), true});
  }
  SortByVersion(changes.rows);
  return changes;
}

table_changes table_copy::MakeChanges() const {
  table_changes changes;
  changes.table = table_;
  changes.store_era = version_.era().count();
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

void table_copy::RecordRemoval(const std::string& key,
                               const store_version& version) {
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
    const store_version& version) {
  std::vector<changed_row> changes;
  if (is_initialized_ && version.era() == version_.era()) {
    history_from_ = std::max(history_from_, gap_to_);
    gap_from_ = version_;
  } else {
    history_from_ = gap_from_ = version;
    last_change_ = store_version();
    removals_.clear();
  }
  gap_to_ = version;
  for (const auto& [key, row] : rows_) {
    if (rows.contains(key))
      continue;
    changes.push_back({key, "", version.number(), true});
    changed_keys_.insert(key);
  }
  for (const auto& [key, row] : rows) {
    const auto known = rows_.find(key);
    const bool is_known = known != rows_.end();
    if (is_known && known->second.version == row.version)
      continue;
    changes.push_back({key, row.value, row.version.number(), false});
    if (!is_known || known->second.value != row.value)
      changed_keys_.insert(key);
  }
  SortByVersion(changes);
  is_initialized_ = true;
  rows_ = std::move(rows);
  version_ = version;
  for (const changed_row& row : changes) {
    if (row.removed)
      RecordRemoval(row.key, version);
    if (store_version(version.era(), row.version) <= version)
      last_change_ =
          std::max(last_change_, store_version(version.era(), row.version));
  }
  return changes;
}

}  // namespace jasminepath::gateway
