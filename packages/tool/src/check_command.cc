#include "command_options.h"
#include "commands.h"
#include "site_text.h"

namespace jasminepath::tool {

exit_code RunCheck(const command_arguments& arguments,
                   command_streams streams) {
  option_spec spec;
  spec.usage = "check DIR";
  spec.positional = "DIR";
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  const auto site = config::LoadSite(options.value().positional);
  if (!site)
    return WriteFaults(site.error(), streams);
  WriteSummary(site.value(), streams.out);
  return exit_code::done;
}

}  // namespace jasminepath::tool
