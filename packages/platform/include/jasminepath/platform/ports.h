#ifndef JASMINEPATH_PLATFORM_PORTS_H_
#define JASMINEPATH_PLATFORM_PORTS_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath::platform {

// Why a call to the platform failed.
enum class platform_error {
  unreachable,     // The call had no effect.
  outcome_lost,    // The call may have taken effect.
  rejected,        // The platform refused the call as malformed.
  not_found,       // No such object.
  already_exists,  // The object to be created already exists.
};

// One row of the platform's transactional table.
struct table_row {
  std::string key;
  // Empty for a deleted row.
  std::string value;
  // Version of the commit that wrote the row; unique and increasing over the
  // whole table.
  revision version;
  bool deleted = false;

  friend bool operator==(const table_row&, const table_row&) = default;
};

// A condition of a transaction: the row must have this version; 0 means that
// the row must not exist.
struct row_condition {
  std::string key;
  revision version;

  friend bool operator==(const row_condition&, const row_condition&) = default;
};

// A write of a transaction; no value deletes the row.
struct row_write {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const row_write&, const row_write&) = default;
};

// An atomic change: all writes take effect if all conditions hold, otherwise
// none.
struct transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;

  friend bool operator==(const transaction&, const transaction&) = default;
};

// Result of a transaction.
struct transaction_outcome {
  bool committed = false;
  // Version of the commit, if committed.
  revision version;
  // Current state of the rows whose conditions failed.
  std::vector<table_row> conflicts;

  friend bool operator==(const transaction_outcome&,
                         const transaction_outcome&) = default;
};

// Rows with a prefix that changed after a version, including deleted rows.
struct row_page {
  // Version of the table at the time of the read.
  revision version;
  std::vector<table_row> rows;

  friend bool operator==(const row_page&, const row_page&) = default;
};

// State of a VM in the platform's VM list, which lags behind the actual state.
enum class vm_state { live, leaving };

// One entry of the platform's VM list.
struct listed_vm {
  vm_id id;
  vm_state state = vm_state::live;

  friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

// The platform's transactional table.
template <typename T>
concept table_port = requires(T port,
                              const transaction& change,
                              const std::string& prefix,
                              revision since) {
  {
    port.Commit(change)
    } -> std::same_as<result<transaction_outcome, platform_error>>;
  // `since` 0 reads all existing rows.
  {
    port.ReadSince(prefix, since)
    } -> std::same_as<result<row_page, platform_error>>;
};

// The platform's object store.
template <typename T>
concept object_port = requires(T port,
                               const std::string& name,
                               const std::string& body) {
  { port.Put(name, body) } -> std::same_as<result<void, platform_error>>;
  // Creates the object; fails with `already_exists` if it exists.
  { port.Create(name, body) } -> std::same_as<result<void, platform_error>>;
  { port.Get(name) } -> std::same_as<result<std::string, platform_error>>;
  {
    port.List(name)
    } -> std::same_as<result<std::vector<std::string>, platform_error>>;
};

// The platform's list of live and leaving VMs.
template <typename T>
concept vm_list_port = requires(T port) {
  {
    port.ListVms()
    } -> std::same_as<result<std::vector<listed_vm>, platform_error>>;
};

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_PORTS_H_
