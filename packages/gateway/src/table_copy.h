#ifndef JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_
#define JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// A node's copy of a table of the store, with enough history to update peers
// that lag behind. Does no I/O.
class table_copy {
 public:
  explicit table_copy(std::string table) : table_(std::move(table)) {}

  // Replaces the copy with all rows as of `version`. Returns false if the copy
  // is newer.
  bool ApplyRead(std::map<std::string, table_row> rows, revision version);
  // Applies polled changes that follow the copy's version, and advances it to
  // `version`. Returns the changes that were new.
  std::vector<changed_row> ApplyPolled(const std::vector<table_row>& changes,
                                       revision version);

  enum class outcome { changed, unchanged, lacks_earlier_changes };
  // Applies changes received from a peer. Nothing is applied if earlier changes
  // are missing; those must be fetched.
  outcome ApplyChanges(const table_changes& changes);

  // Returns the changes after `after`, or a snapshot if rows were removed since
  // then whose removals are no longer stored.
  table_changes ChangesSince(revision after) const;

  const std::string& table() const { return table_; }
  // The rows that exist.
  const std::map<std::string, table_row>& rows() const { return rows_; }
  // Whether the copy has been filled, by a read or by a snapshot of a peer.
  bool is_initialized() const { return is_initialized_; }
  // Version at which the copy is complete.
  revision version() const { return version_; }
  // Returns and clears the keys of the rows that may have changed since the
  // previous call.
  std::set<std::string> TakeChangedKeys() {
    return std::exchange(changed_keys_, {});
  }
  // Version of the last change in the copy. Unlike version(), it is equal on
  // all nodes that know the same rows.
  revision last_change() const { return last_change_; }

 private:
  outcome ApplySnapshot(const table_changes& changes);
  bool Apply(const table_row& row);
  void RecordRemoval(const table_row& row);
  // Replaces the copy. Removals before `version` are not fully known.
  void Replace(std::map<std::string, table_row> rows,
               revision version,
               revision last_change);

  std::string table_;
  std::map<std::string, table_row> rows_;
  std::set<std::string> changed_keys_;
  bool is_initialized_ = false;
  revision version_;
  revision last_change_;
  // Keys of removed rows since `history_from_`, by version of the removal.
  std::map<revision, std::string> removals_;
  revision history_from_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_
