#ifndef JASMINEPATH_DECISION_FLEET_VERSIONED_STORE_H_
#define JASMINEPATH_DECISION_FLEET_VERSIONED_STORE_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/base/digest.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/fleet/versioned_row.h"

namespace jasminepath::decision {

// The approximate size of a row's value in a message, in bytes.
inline int64_t ValueBytes(const std::string& value) {
  return static_cast<int64_t>(value.size());
}
int64_t ValueBytes(const instance_record& value);

// Identifies one version of one row.
struct row_version {
  revision version;
  std::string key;

  friend auto operator<=>(const row_version&, const row_version&) = default;
};

// A node's copy of a replicated set of rows. The version held for a key only
// increases. Every change up to the commit `reflects_through` is reflected: a
// row at or below this version that is not held was superseded or deleted.
// `complete_through`, which may be lower, is the commit up to which every
// change was also received, so that deletions can be listed to other nodes. A
// deleted row is remembered until `kMaxTombstones` newer deletions are known.
template <typename Value>
class versioned_store {
 public:
  using row = versioned_row<Value>;

  static constexpr std::size_t kMaxTombstones = 1024;

  // Applies the rows that are newer than those held and returns them.
  std::vector<row> ApplyRows(const std::vector<row>& rows) {
    std::vector<row> changed;
    for (const row& candidate : rows) {
      if (ApplyRow(candidate))
        changed.push_back(candidate);
    }
    TrimTombstones();
    return changed;
  }

  // Applies `rows`, which hold all changes after `since` up to `through` and
  // may hold later ones. Returns the rows that have changed.
  std::vector<row> ApplyChanges(const std::vector<row>& rows,
                                revision since,
                                revision through) {
    std::vector<row> changed = ApplyRows(rows);
    if (since <= complete_through_)
      SetCompleteThrough(std::max(complete_through_, through));
    return changed;
  }

  // Completes a snapshot whose rows were applied before. `present` identifies
  // all rows that existed at `through`. Removes all other rows up to `through`
  // and returns those that were not yet deleted, marked as deleted.
  std::vector<row> FinishSnapshot(const std::set<row_version>& present,
                                  revision through) {
    if (through <= complete_through_)
      return {};
    std::vector<row> removed = RemoveMissing(present, through);
    SetCompleteThrough(through);
    changes_after_ = through;
    return removed;
  }

  // Applies `rows`, which are all rows that existed at `through`. Returns the
  // rows that have changed.
  std::vector<row> ApplySnapshot(const std::vector<row>& rows,
                                 revision through) {
    std::vector<row> changed = ApplyRows(rows);
    std::set<row_version> present;
    for (const row& applied : rows)
      present.insert({.version = applied.version, .key = applied.key});
    std::vector<row> removed = FinishSnapshot(present, through);
    changed.insert(changed.end(), removed.begin(), removed.end());
    return changed;
  }

  // Returns the next page of the answer to `request`.
  row_page<Value> MakePage(const row_request& request,
                           int64_t page_bytes) const {
    const bool is_snapshot = request.snapshot_cursor.has_value() ||
                             request.since < changes_after_ ||
                             request.since == revision();
    row_page<Value> page;
    page.snapshot = is_snapshot;
    page.since = is_snapshot ? request.snapshot_cursor.value_or(revision())
                             : request.since;
    page.through = complete_through_;
    FillPage(page, page_bytes);
    return page;
  }

  // The row under `key`, or null if it is absent or deleted.
  const row* Find(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.deleted ? nullptr
                                                         : &found->second;
  }

  // Calls `visit` for every row that is not deleted, ordered by key.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [key, held] : rows_) {
      if (!held.deleted)
        visit(held);
    }
  }

  store_digest digest() const {
    return {.reflects_through = reflects_through_,
            .highest = highest(),
            .changes_after = changes_after_,
            .hash = hash_};
  }

  // Records that another copy with the digest `theirs` holds the same rows, so
  // this copy reflects every commit that the other one reflects.
  void OnEqualCopy(const store_digest& theirs) {
    reflects_through_ = std::max(reflects_through_, theirs.reflects_through);
  }

  revision complete_through() const { return complete_through_; }
  revision reflects_through() const { return reflects_through_; }

 private:
  revision highest() const {
    if (by_version_.empty())
      return reflects_through_;
    return std::max(reflects_through_, by_version_.rbegin()->version);
  }

  void SetCompleteThrough(revision through) {
    complete_through_ = through;
    reflects_through_ = std::max(reflects_through_, through);
  }

  static uint64_t HashOf(const row& value) {
    return StableHash(value.key + '@' + std::to_string(value.version.count()));
  }

  bool ApplyRow(const row& candidate) {
    const auto held = rows_.find(candidate.key);
    if (held == rows_.end())
      return AddRow(candidate);
    if (candidate.version <= held->second.version)
      return false;
    Erase(held);
    Insert(candidate);
    return true;
  }

  // Applies a row whose key is not held. A deletion that is already reflected
  // is still stored while it may have to be listed to other nodes.
  bool AddRow(const row& added) {
    const bool is_newer = added.version > reflects_through_;
    const bool must_remember_deletion =
        added.deleted && added.version > complete_through_;
    if (is_newer || must_remember_deletion)
      Insert(added);
    return is_newer;
  }

  void Insert(const row& added) {
    if (!added.deleted)
      hash_ ^= HashOf(added);
    else
      tombstones_.insert({.version = added.version, .key = added.key});
    by_version_.insert({.version = added.version, .key = added.key});
    rows_.emplace(added.key, added);
  }

  void Erase(typename std::map<std::string, row>::iterator place) {
    const row& held = place->second;
    if (!held.deleted)
      hash_ ^= HashOf(held);
    const row_version name{.version = held.version, .key = held.key};
    tombstones_.erase(name);
    by_version_.erase(name);
    rows_.erase(place);
  }

  std::vector<row> RemoveMissing(const std::set<row_version>& present,
                                 revision through) {
    std::vector<row> removed;
    for (auto place = rows_.begin(); place != rows_.end();) {
      const auto next = std::next(place);
      const row& held = place->second;
      const bool is_covered = held.version <= through;
      if (is_covered &&
          !present.contains({.version = held.version, .key = held.key})) {
        if (!held.deleted)
          removed.push_back({.key = held.key,
                             .value = Value(),
                             .version = through,
                             .deleted = true});
        Erase(place);
      }
      place = next;
    }
    return removed;
  }

  // Discards the oldest deletions beyond `kMaxTombstones` that are covered by
  // `complete_through_`.
  void TrimTombstones() {
    while (tombstones_.size() > kMaxTombstones &&
           tombstones_.begin()->version <= complete_through_) {
      const row_version oldest = *tombstones_.begin();
      changes_after_ = std::max(changes_after_, oldest.version);
      Erase(rows_.find(oldest.key));
    }
  }

  // Adds rows after `page.since`, ordered by version. The rows of one commit
  // are never split across pages.
  void FillPage(row_page<Value>& page, int64_t page_bytes) const {
    int64_t size = 0;
    revision last_version = page.since;
    const row_version first{.version = page.since + revision(1), .key = {}};
    for (auto place = by_version_.lower_bound(first);
         place != by_version_.end(); ++place) {
      const row& held = rows_.find(place->key)->second;
      const auto added =
          static_cast<int64_t>(held.key.size()) + ValueBytes(held.value);
      const bool is_full = size > 0 && size + added > page_bytes;
      if (is_full && held.version != last_version) {
        EndPageEarly(page, last_version);
        return;
      }
      page.rows.push_back(held);
      size += added;
      last_version = held.version;
    }
  }

  void EndPageEarly(row_page<Value>& page, revision last_version) const {
    page.last = false;
    if (!page.snapshot)
      page.through = std::min(page.through, last_version);
  }

  std::map<std::string, row> rows_;
  std::set<row_version> by_version_;
  std::set<row_version> tombstones_;
  revision complete_through_;
  revision reflects_through_;
  revision changes_after_;
  uint64_t hash_ = 0;
};

using fact_store = versioned_store<std::string>;
using instance_store = versioned_store<instance_record>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_VERSIONED_STORE_H_
