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

// A node's copy of a table of the store, with enough of its history to bring
// peers up to date that lag behind. Does no I/O.
class table_copy {
 public:
  explicit table_copy(std::string table) : table_(std::move(table)) {}

  // Takes all rows as of a version. False if the copy is newer.
  bool TakeRead(std::map<std::string, table_row> rows, revision version);
  // Takes changes that follow the copy's version, and that version; returns
  // those that were new.
  std::vector<changed_row> TakePolled(const std::vector<table_row>& changes,
                                      revision version);

  enum class outcome { changed, unchanged, lacks_earlier_changes };
  // Takes what a peer knows. Nothing is taken if this copy lacks changes before
  // it; those have to be fetched.
  outcome Take(const table_changes& changes);

  // What a peer lacks that knows the changes up to `after`: the whole copy if
  // rows were removed since then that are no longer known.
  table_changes ChangesSince(revision after) const;

  const std::string& table() const { return table_; }
  // The rows that exist.
  const std::map<std::string, table_row>& rows() const { return rows_; }
  // Whether there is a copy yet.
  bool exists() const { return exists_; }
  // Version as of which the copy is complete.
  revision version() const { return version_; }
  // Version of the last change that the copy shows. Unlike version(), it is
  // the same on all nodes that know the same rows.
  // Keys of the rows that may differ from what they were at the last call.
  std::set<std::string> TakeTouched() { return std::exchange(touched_, {}); }
  revision last_change() const { return last_change_; }

 private:
  outcome TakeWhole(const table_changes& changes);
  bool Apply(const table_row& row);
  void NoteRemoval(const table_row& row);
  // Begins anew with all rows; removals before are not all known.
  void Replace(std::map<std::string, table_row> rows,
               revision version,
               revision last_change);

  std::string table_;
  std::map<std::string, table_row> rows_;
  std::set<std::string> touched_;
  bool exists_ = false;
  revision version_;
  revision last_change_;
  // Keys removed since `history_from_`, by the version of their removal.
  std::map<revision, std::string> removals_;
  revision history_from_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_COPY_H_
