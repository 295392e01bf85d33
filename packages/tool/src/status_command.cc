#include <string>
#include <utility>
#include <vector>

#include "command_options.h"
#include "commands.h"
#include "fleet_access.h"
#include "fleet_query.h"
#include "fleet_view.h"

namespace jasminepath::tool {

namespace {

using config::json_value;

json_value MergedStatus(const std::vector<node_response>& responses) {
  json_value nodes{json_value::array()};
  for (const node_response& response : responses) {
    json_value item{json_value::object()};
    item.Append("vm", json_value(response.node.vm.value()));
    item.Append("instance", json_value(response.node.id.value()));
    item.Append("zone", json_value(response.node.zone.value()));
    item.Append("reachable", json_value(response.document.has_value()));
    if (response.document)
      item.Append("status", *response.document);
    else
      item.Append("problem", json_value(response.problem));
    nodes.Append("", std::move(item));
  }
  json_value merged{json_value::object()};
  merged.Append("nodes", std::move(nodes));
  return merged;
}

}  // namespace

exit_code RunStatus(const command_arguments& arguments,
                    command_streams streams) {
  option_spec spec;
  spec.usage = "status";
  spec.needs_platform = true;
  spec.needs_token = true;
  spec.takes_json = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  fleet_access fleet(options.value().platform, options.value());
  const auto nodes = ReadNodes(fleet.platform());
  if (!nodes) {
    streams.err << "failed: the platform cannot be reached, so the nodes are "
                   "not known\n";
    return exit_code::failed;
  }
  const auto responses =
      QueryNodes(fleet.admin(), nodes.value(), "/admin/status");
  if (options.value().json) {
    streams.out << config::WriteJson(MergedStatus(responses), 2) << '\n';
  } else {
    WriteFleetView(responses, streams.out);
  }
  const std::size_t reached = CountResponses(responses);
  streams.err << "reached " << reached << " of " << responses.size()
              << " nodes\n";
  return reached == responses.size() ? exit_code::done : exit_code::failed;
}

}  // namespace jasminepath::tool
