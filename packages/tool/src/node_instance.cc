#include "jasminepath/tool/node_instance.h"

#include <map>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::tool {

std::optional<node_instance> ParseInstance(const platform::table_row& row) {
  const auto document = config::ParseJson(row.value);
  if (row.deleted || !document)
    return std::nullopt;
  const config::json_value& fields = document.value();
  node_instance instance;
  instance.id = instance_id(fields.StringOr("instance", ""));
  instance.vm = vm_id(fields.StringOr("vm", ""));
  instance.zone = zone_id(fields.StringOr("zone", ""));
  instance.mesh_address = fields.StringOr("mesh_address", "");
  instance.caller_address = fields.StringOr("caller_address", "");
  instance.admin_address = fields.StringOr("admin_address", "");
  instance.started = fields.IntegerOr("started", 0);
  if (instance.id.empty() || instance.admin_address.empty())
    return std::nullopt;
  return instance;
}

std::vector<node_instance> CurrentInstances(
    const std::vector<platform::table_row>& rows) {
  std::map<vm_id, node_instance> latest;
  for (const platform::table_row& row : rows) {
    std::optional<node_instance> instance = ParseInstance(row);
    if (!instance)
      continue;
    const auto [known, is_first] = latest.try_emplace(instance->vm, *instance);
    if (!is_first && known->second.started < instance->started)
      known->second = std::move(*instance);
  }
  std::vector<node_instance> current;
  for (auto& [vm, instance] : latest)
    current.push_back(std::move(instance));
  return current;
}

}  // namespace jasminepath::tool
