#ifndef JASMINEPATH_TOOL_NODE_INSTANCE_H_
#define JASMINEPATH_TOOL_NODE_INSTANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/platform/ports.h"

namespace jasminepath::tool {

// A node instance that has registered in the platform's table.
struct node_instance {
  instance_id id;
  vm_id vm;
  zone_id zone;
  std::string mesh_address;
  std::string caller_address;
  std::string admin_address;
  // Table version that the instance read before it registered. Of two instances
  // on one VM, the one with the higher value started later. The rows' own
  // versions do not show this, since rows are rewritten.
  int64_t started = 0;

  friend bool operator==(const node_instance&, const node_instance&) = default;
};

// Parses an instance row. Returns nullopt if the row is deleted or malformed.
std::optional<node_instance> ParseInstance(const platform::table_row& row);

// Returns the instances that may be running, ordered by VM: for each VM the one
// that started last, since earlier instances on the VM have stopped.
std::vector<node_instance> CurrentInstances(
    const std::vector<platform::table_row>& rows);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_NODE_INSTANCE_H_
