#include <algorithm>

#include "command_options.h"
#include "commands.h"
#include "fleet_access.h"
#include "fleet_query.h"

namespace jasminepath::tool {

exit_code RunDrain(const command_arguments& arguments,
                   command_streams streams) {
  option_spec spec;
  spec.usage = "drain --vm VM";
  spec.needs_platform = true;
  spec.needs_token = true;
  spec.takes_vm = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  if (options.value().vm.empty())
    return WriteUsage({"--vm VM is missing", ""}, streams);
  fleet_access fleet(options.value().platform, options.value());
  const auto nodes = ReadNodes(fleet.platform());
  if (!nodes) {
    streams.err << "failed: the platform cannot be reached\n";
    return exit_code::failed;
  }
  const vm_id vm(options.value().vm);
  const auto node =
      std::find_if(nodes->begin(), nodes->end(),
                   [&](const node_instance& item) { return item.vm == vm; });
  if (node == nodes->end()) {
    streams.err << "refused: no node is registered on VM " << vm << '\n';
    return exit_code::failed;
  }
  const auto response = fleet.admin().Post(node->admin_address, "/admin/drain");
  if (!response) {
    streams.err << "failed: vm=" << vm << " instance=" << node->id
                << " reason=\"" << response.error().message << "\"\n";
    return exit_code::failed;
  }
  streams.out << "draining: vm=" << vm << " instance=" << node->id << '\n';
  return exit_code::done;
}

}  // namespace jasminepath::tool
