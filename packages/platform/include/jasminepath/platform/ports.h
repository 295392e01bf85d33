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

// How a call to the platform ended when it gave no answer.
enum class platform_error {
  unreachable,     // Nothing was sent; the call had no effect.
  outcome_lost,    // The call may have taken effect.
  rejected,        // The platform refused the call as malformed.
  not_found,       // No such object.
  already_exists,  // A create found the object there.
};

// One row of the platform's transactional table.
struct table_row {
  std::string key;
  // Empty for a deleted row.
  std::string value;
  // Commit that wrote it; unique and rising over the whole table.
  revision version;
  bool deleted = false;

  friend bool operator==(const table_row&, const table_row&) = default;
};

// A condition of a transaction: the row has this version; 0 means that the row
// is absent.
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

// All writes take effect if all conditions hold, else none.
struct transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;

  friend bool operator==(const transaction&, const transaction&) = default;
};

// What the table said to a transaction.
struct transaction_outcome {
  bool committed = false;
  // The commit's version, when committed.
  revision version;
  // The rows, as they are, whose conditions failed.
  std::vector<table_row> conflicts;

  friend bool operator==(const transaction_outcome&,
                         const transaction_outcome&) = default;
};

// Rows of a prefix that changed after a version, deletions included.
struct row_page {
  // The table's version at the read.
  revision version;
  std::vector<table_row> rows;

  friend bool operator==(const row_page&, const row_page&) = default;
};

// State of a VM in the platform's lagging list.
enum class vm_state { live, leaving };

// One entry of the platform's lagging list.
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
  // `since` 0 reads every row that is there.
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
  // Creates the object; `already_exists` if it is there.
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
