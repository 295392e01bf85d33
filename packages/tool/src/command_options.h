#ifndef JASMINEPATH_TOOL_SRC_COMMAND_OPTIONS_H_
#define JASMINEPATH_TOOL_SRC_COMMAND_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/tool/command_line.h"

namespace jasminepath::tool {

// Which options a command takes.
struct option_spec {
  // For example "publish DIR"; shown by --help.
  std::string usage;
  // Name of the one positional argument, or empty.
  std::string positional;
  bool needs_platform = false;
  bool needs_token = false;
  bool takes_team = false;
  bool takes_vm = false;
  bool takes_base = false;
  bool takes_json = false;
  bool takes_svg = false;
};

// The options as given, checked for form.
struct command_options {
  std::string positional;
  // "ip:port"; empty if not given.
  std::string platform;
  std::string operator_token;
  std::string team;
  std::string vm;
  std::optional<revision> base;
  bool json = false;
  // Empty if no plot is asked for.
  std::string svg_file;
  duration wait = Seconds(4);
};

// Why a command does not run.
struct usage_error {
  // Empty if --help was asked for.
  std::string problem;
  std::string help;
};

// Parses the arguments of a command.
result<command_options, usage_error> ParseOptions(
    const option_spec& spec,
    const std::vector<std::string>& arguments);

// Shows a usage error: help with code 0 if it was asked for, else the problem
// with code 2.
exit_code WriteUsage(const usage_error& error, command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_COMMAND_OPTIONS_H_
