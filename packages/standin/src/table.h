#ifndef JASMINEPATH_STANDIN_TABLE_H_
#define JASMINEPATH_STANDIN_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jasminepath::standin {

// One row, or the tombstone of a deleted one.
struct stored_row {
  std::string key;
  std::string value;
  int64_t version = 0;
  bool is_deleted = false;

  friend bool operator==(const stored_row&, const stored_row&) = default;
};

// A condition of a transaction; version 0 means that the row is absent.
struct required_version {
  std::string key;
  int64_t version = 0;

  friend bool operator==(const required_version&,
                         const required_version&) = default;
};

// A write of a transaction; no value deletes the row.
struct requested_write {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const requested_write&,
                         const requested_write&) = default;
};

// The outcome of a transaction: the new version, or the conflicting rows.
struct commit_outcome {
  int64_t version = 0;
  std::vector<stored_row> conflicts;

  friend bool operator==(const commit_outcome&,
                         const commit_outcome&) = default;
};

// Changed rows, and the version of the table when they were read.
struct changed_rows {
  int64_t version = 0;
  std::vector<stored_row> rows;

  friend bool operator==(const changed_rows&, const changed_rows&) = default;
};

// The platform's transactional table with one commit counter and atomic
// conditional writes of several rows. Thread-safe.
class table {
 public:
  commit_outcome Transact(const std::vector<required_version>& conditions,
                          const std::vector<requested_write>& writes);

  // Rows whose key starts with the prefix and whose version is above `since`.
  // With 0, deleted rows are left out.
  changed_rows ReadSince(const std::string& prefix, int64_t since) const;

 private:
  // The current row; version 0 if it never existed. Requires the lock.
  stored_row CurrentRow(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, stored_row> rows_;
  int64_t version_ = 0;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_TABLE_H_
