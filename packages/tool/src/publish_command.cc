#include <string>

#include "command_options.h"
#include "commands.h"
#include "fleet_access.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/tool/published_configuration.h"
#include "report_text.h"
#include "site_text.h"

namespace jasminepath::tool {

namespace {

constexpr char kFactName[] = "configuration";

// Shows what another operator changed if the commit was superseded.
void WriteConflict(const published_configuration& base,
                   const commit_report& commit,
                   std::ostream& err) {
  if (commit.state != commit_state::superseded || !commit.current)
    return;
  err << "changed since revision " << base.version << ":\n";
  WriteLines(ConfigurationDifference(base.value, commit.current->value), err);
  err << "merge these changes into your files, then publish again\n";
}

exit_code WriteBaseMismatch(revision requested,
                            const published_configuration& published,
                            const std::string& value,
                            std::ostream& err) {
  err << "refused: --base " << requested
      << " is not the current revision; revision " << published.version
      << " is current and differs from your files by:\n";
  WriteLines(ConfigurationDifference(published.value, value), err);
  return exit_code::failed;
}

exit_code Publish(const std::string& value,
                  const command_options& options,
                  fleet_access& fleet,
                  command_streams streams) {
  const auto published = ReadPublishedConfiguration(fleet.platform());
  if (!published) {
    streams.err << "failed: the platform cannot be reached; nothing was "
                   "changed\n";
    return exit_code::failed;
  }
  const published_configuration& base = published.value();
  if (options.base && *options.base != base.version)
    return WriteBaseMismatch(*options.base, base, value, streams.err);
  if (base.value == value) {
    streams.out << "no difference from revision " << base.version << '\n';
    fact_report unchanged;
    unchanged.commit.state = commit_state::committed;
    unchanged.commit.version = base.version;
    unchanged.push = fleet.publisher().Push(
        {platform::kConfigurationKey, value, base.version});
    return WriteFactReport(unchanged, kFactName, streams);
  }
  streams.out << "difference from revision " << base.version << ":\n";
  WriteLines(ConfigurationDifference(base.value, value), streams.out);
  const fact_report report =
      fleet.publisher().Run({platform::kConfigurationKey, value, base.version});
  const exit_code code = WriteFactReport(report, kFactName, streams);
  WriteConflict(base, report.commit, streams.err);
  return code;
}

}  // namespace

exit_code RunPublish(const command_arguments& arguments,
                     command_streams streams) {
  option_spec spec;
  spec.usage = "publish DIR";
  spec.positional = "DIR";
  spec.needs_token = true;
  spec.takes_base = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  const auto site = config::LoadSite(options.value().positional);
  if (!site)
    return WriteFaults(site.error(), streams);
  const std::string& platform_option = options.value().platform;
  const std::string platform =
      platform_option.empty() ? site.value().platform_address : platform_option;
  if (platform.empty()) {
    streams.err << "jasminepath: --platform ip:port is missing, and site.json "
                   "has no platform_address\n";
    return exit_code::usage;
  }
  WriteSummary(site.value(), streams.out);
  fleet_access fleet(platform, options.value());
  return Publish(config::ToJson(site.value().compiled), options.value(), fleet,
                 streams);
}

}  // namespace jasminepath::tool
