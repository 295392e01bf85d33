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

// The options that a command accepts.
struct option_spec {
  // Shown by --help, for example "publish DIR".
  std::string usage;
  // Name of the only positional argument, or empty if there is none.
  std::string positional;
  bool needs_platform = false;
  bool needs_token = false;
  bool takes_team = false;
  bool takes_vm = false;
  bool takes_base = false;
  bool takes_json = false;
  bool takes_svg = false;
};

// The parsed options. Their syntax is checked.
struct command_options {
  std::string positional;
  // "ip:port"; empty if not given.
  std::string platform;
  std::string operator_token;
  std::string team;
  std::string vm;
  std::optional<revision> base;
  bool json = false;
  // Empty if no plot is requested.
  std::string svg_file;
  duration push_timeout = Seconds(4);
};

// Why a command was not run.
struct usage_error {
  // Empty if --help was given.
  std::string problem;
  std::string help;
};

// Parses the arguments of a command.
result<command_options, usage_error> ParseOptions(
    const option_spec& spec,
    const std::vector<std::string>& arguments);

// Writes the help to standard output and returns `done` if --help was given.
// Otherwise writes the problem and the help to the error stream and returns
// `usage`.
exit_code WriteUsage(const usage_error& error, command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_COMMAND_OPTIONS_H_
