#ifndef JASMINEPATH_TOOL_NODE_INSTANCE_H_
#define JASMINEPATH_TOOL_NODE_INSTANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/platform/ports.h"

namespace jasminepath::tool {

// A node instance as it registered itself in the platform's table.
struct node_instance {
  instance_id id;
  vm_id vm;
  zone_id zone;
  std::string mesh_address;
  std::string caller_address;
  std::string admin_address;
  // Table version that it read before it registered: of two instances on one
  // VM, the one with the higher number is the successor. Rows are rewritten
  // later on, so that their own versions do not tell.
  int64_t started = 0;

  friend bool operator==(const node_instance&, const node_instance&) = default;
};

// Reads an instance row; none if it is deleted or malformed.
std::optional<node_instance> ParseInstance(const platform::table_row& row);

// The instances that may be running: for each VM the one that registered last,
// since an earlier one on the same VM has ended. Ordered by VM.
std::vector<node_instance> CurrentInstances(
    const std::vector<platform::table_row>& rows);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_NODE_INSTANCE_H_
