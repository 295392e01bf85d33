#ifndef JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_
#define JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// A node's copy of a table of the store, with enough history to update peers
// that lag behind. The copy is complete as of version(): it reflects every
// change up to that version, and possibly some later ones. All its rows are of
// one era of the store. Does no I/O.
class table_copy {
 public:
  explicit table_copy(std::string table) : table_(std::move(table)) {}

  // Replaces the copy with the rows of a whole read that is complete as of
  // `version`. Rows that the read lacks count as removed at that version.
  // Returns the difference to the previous rows, for peers that had the same
  // ones; all rows if the previous ones are of an earlier era; nullopt if the
  // copy is newer.
  std::optional<table_changes> ApplyRead(std::map<std::string, table_row> rows,
                                         const store_version& version);
  // Applies polled changes that follow the copy's version and are of its era,
  // and advances it to `version`. Returns the changes, for peers.
  table_changes ApplyPolled(const std::vector<table_row>& changes,
                            const store_version& version);

  enum class outcome { changed, unchanged, lacks_earlier_changes };
  // Applies changes received from a peer. Nothing is applied if the copy is
  // older than these changes require; then they must be fetched.
  outcome ApplyChanges(const table_changes& changes);

  // Takes over the version of a peer's copy, which is of the given era, if that
  // copy provably has the same rows. Returns false if it is newer and may
  // differ.
  bool AdvanceTo(const table_status& peer, store_era era);

  // Returns the changes for a copy that is complete as of `after`, or a
  // snapshot if the changes since then are not fully known.
  table_changes ChangesSince(const store_version& after) const;
  // Returns the lowest version with the same ChangesSince() as `after`; the
  // default one if that is a snapshot.
  store_version EquivalentVersion(const store_version& after) const;

  const std::string& table() const { return table_; }
  // The rows that exist.
  const std::map<std::string, table_row>& rows() const { return rows_; }
  // Whether the copy has been filled, by a read or by a snapshot of a peer.
  bool is_initialized() const { return is_initialized_; }
  // Version as of which the copy is complete.
  store_version version() const { return version_; }
  // Returns and clears the keys of the rows that may have changed since the
  // previous call.
  std::set<std::string> TakeChangedKeys() {
    return std::exchange(changed_keys_, {});
  }
  // Version of the last known change up to version().
  store_version last_change() const { return last_change_; }
  table_status status() const;

 private:
  table_changes MakeChanges() const;
  outcome ApplySnapshot(const table_changes& changes);
  bool Apply(const table_row& row);
  void RecordRemoval(const std::string& key, const store_version& version);
  // Replaces the rows and returns those that differ, ordered by version.
  std::vector<changed_row> Replace(std::map<std::string, table_row> rows,
                                   const store_version& version);
  // Version of the last known change up to `version`.
  store_version LastChangeUpTo(const store_version& version) const;

  std::string table_;
  std::map<std::string, table_row> rows_;
  std::set<std::string> changed_keys_;
  bool is_initialized_ = false;
  store_version version_;
  store_version last_change_;
  // Keys of removed rows by version of the removal.
  std::multimap<store_version, std::string> removals_;
  // Changes are known from `history_from_` on. Between `gap_from_` and
  // `gap_to_`, which are equal if there is no gap, only their net effect is
  // known: that part was covered by a read of the whole table.
  store_version history_from_;
  store_version gap_from_;
  store_version gap_to_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_
