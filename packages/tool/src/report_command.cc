#include <algorithm>
#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "command_options.h"
#include "commands.h"
#include "fleet_access.h"
#include "fleet_query.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/report/burn_report.h"
#include "jasminepath/tool/parallel_for.h"
#include "jasminepath/tool/published_configuration.h"

namespace jasminepath::tool {

namespace {

// The logs that were read, and how many of the sources could be read.
struct gathered_logs {
  std::vector<report::service_level_log> logs;
  std::size_t nodes = 0;
  std::size_t nodes_read = 0;
  std::size_t objects = 0;
  std::size_t objects_read = 0;
  bool is_store_listed = false;

  bool IsComplete() const {
    return is_store_listed && nodes == nodes_read && objects == objects_read;
  }
};

report::unix_seconds WallClock() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void AddNodeLogs(fleet_access& fleet, gathered_logs& gathered) {
  const auto nodes = ReadNodes(fleet.platform());
  if (!nodes)
    return;
  gathered.nodes = nodes->size();
  for (const node_response& response :
       QueryNodes(fleet.admin(), *nodes, "/admin/histograms")) {
    if (!response.document)
      continue;
    auto log =
        report::ServiceLevelLogFromJson(config::WriteJson(*response.document));
    if (!log)
      continue;
    gathered.logs.push_back(std::move(log).value());
    ++gathered.nodes_read;
  }
}

// Returns the names of the stored objects that hold windows of the longest
// span.
std::vector<std::string> RecentObjects(std::vector<std::string> names,
                                       report::unix_seconds now) {
  const report::unix_seconds oldest =
      now - report::kBurnSpans.back().length - report::kStoredObjectSeconds;
  std::erase_if(names, [&](const std::string& name) {
    return report::HourOfStoredObject(name) < oldest;
  });
  return names;
}

void AddStoredLogs(const std::string& platform_address,
                   report::unix_seconds now,
                   gathered_logs& gathered) {
  const platform::client_timeouts timeouts;
  platform::platform_client store(platform_address, timeouts);
  const auto listed = store.List(report::kStoredObjectPrefix);
  gathered.is_store_listed = listed.has_value();
  if (!listed)
    return;
  const auto names = RecentObjects(listed.value(), now);
  gathered.objects = names.size();
  std::mutex mutex;
  ParallelFor(names.size(), [&](std::size_t i) {
    // One client for each call, since platform_client is not thread-safe.
    platform::platform_client client(platform_address, timeouts);
    const auto body = client.Get(names[i]);
    if (!body)
      return;
    auto log = report::ServiceLevelLogFromJson(body.value());
    if (!log)
      return;
    const std::lock_guard lock(mutex);
    gathered.logs.push_back(std::move(log).value());
    ++gathered.objects_read;
  });
}

std::optional<std::vector<config::objective>> ReadObjectives(
    platform::platform_client& platform) {
  const auto published = ReadPublishedConfiguration(platform);
  if (!published)
    return std::nullopt;
  const auto configuration = config::ConfigurationFromJson(
      published.value().value, published.value().version);
  if (!configuration)
    return std::nullopt;
  return configuration.value().objectives;
}

exit_code WritePlot(const std::string& file,
                    const report::burn_report& burn,
                    command_streams streams) {
  std::ofstream stream(file);
  stream << report::BurnSvg(burn);
  stream.close();
  if (stream)
    return exit_code::done;
  streams.err << "failed: the plot cannot be written to " << file << '\n';
  return exit_code::failed;
}

}  // namespace

exit_code RunReportBurn(const command_arguments& arguments,
                        command_streams streams) {
  option_spec spec;
  spec.usage = "report burn";
  spec.needs_platform = true;
  spec.needs_token = true;
  spec.takes_json = true;
  spec.takes_svg = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  fleet_access fleet(options.value().platform, options.value());
  const auto objectives = ReadObjectives(fleet.platform());
  if (!objectives) {
    streams.err << "failed: no published configuration can be read\n";
    return exit_code::failed;
  }
  const report::unix_seconds now = WallClock();
  gathered_logs gathered;
  AddNodeLogs(fleet, gathered);
  AddStoredLogs(options.value().platform, now, gathered);
  const auto burn = report::MakeBurnReport(gathered.logs, *objectives, now);
  streams.out << (options.value().json ? report::BurnJson(burn) + "\n"
                                       : report::BurnText(burn));
  streams.err << "merged " << gathered.nodes_read << " of " << gathered.nodes
              << " nodes and " << gathered.objects_read << " of "
              << gathered.objects << " stored objects\n";
  const std::string& svg = options.value().svg_file;
  const exit_code plotted =
      svg.empty() ? exit_code::done : WritePlot(svg, burn, streams);
  if (!gathered.IsComplete())
    streams.err << "the report is incomplete\n";
  return gathered.IsComplete() ? plotted : exit_code::failed;
}

}  // namespace jasminepath::tool
