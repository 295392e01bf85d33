#include "command_options.h"

#include <cxxopts.hpp>
#include <fstream>
#include <utility>

#include "jasminepath/config/address.h"

namespace jasminepath::tool {

namespace {

constexpr int64_t kMaxWaitMs = 600'000;
constexpr char kWhitespace[] = " \t\r\n";

cxxopts::Options MakeParser(const option_spec& spec) {
  cxxopts::Options parser("jasminepath " + spec.usage);
  parser.custom_help("[options]");
  parser.positional_help("");
  auto add = parser.add_options();
  add("help", "show this text");
  if (!spec.positional.empty())
    add(spec.positional, "", cxxopts::value<std::string>());
  add("platform", "address of the platform, ip:port",
      cxxopts::value<std::string>());
  if (spec.needs_token) {
    add("operator-token-file", "file that holds the operators' token",
        cxxopts::value<std::string>());
    add("wait-ms", "how long to wait for the nodes to confirm",
        cxxopts::value<int64_t>());
  }
  if (spec.takes_team)
    add("team", "the team's id", cxxopts::value<std::string>());
  if (spec.takes_vm)
    add("vm", "the VM's id", cxxopts::value<std::string>());
  if (spec.takes_base)
    add("base", "publish only if this revision is in force now",
        cxxopts::value<int64_t>());
  if (spec.takes_json)
    add("json", "write JSON");
  if (spec.takes_svg)
    add("svg", "write a plot to this file", cxxopts::value<std::string>());
  if (!spec.positional.empty())
    parser.parse_positional({spec.positional});
  return parser;
}

// Returns the file's text without surrounding white space, or an empty text if
// the file cannot be read.
std::string ReadToken(const std::string& path) {
  std::ifstream stream(path);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

std::string TextOption(const cxxopts::ParseResult& parsed,
                       const std::string& name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>()
                                : std::string();
}

// Returns the first problem with the options, or an empty text.
std::string FindProblem(const option_spec& spec,
                        const cxxopts::ParseResult& parsed,
                        const command_options& options) {
  if (!parsed.unmatched().empty())
    return "unexpected argument \"" + parsed.unmatched().front() + "\"";
  if (!spec.positional.empty() && options.positional.empty())
    return "the argument " + spec.positional + " is missing";
  if (spec.needs_platform && options.platform.empty())
    return "--platform ip:port is missing";
  if (!options.platform.empty() && !config::ParseAddress(options.platform))
    return "--platform \"" + options.platform + "\" is not a valid ip:port";
  if (spec.needs_token && parsed.count("operator-token-file") == 0)
    return "--operator-token-file FILE is missing";
  if (spec.needs_token && options.operator_token.empty())
    return "the operators' token cannot be read from \"" +
           TextOption(parsed, "operator-token-file") + "\"";
  if (options.push_timeout < duration::zero() ||
      options.push_timeout > Milliseconds(kMaxWaitMs))
    return "--wait-ms must be from 0 to 600000";
  return {};
}

command_options ReadOptions(const option_spec& spec,
                            const cxxopts::ParseResult& parsed) {
  command_options options;
  if (!spec.positional.empty())
    options.positional = TextOption(parsed, spec.positional);
  options.platform = TextOption(parsed, "platform");
  if (spec.takes_team)
    options.team = TextOption(parsed, "team");
  if (spec.takes_vm)
    options.vm = TextOption(parsed, "vm");
  if (spec.takes_json)
    options.json = parsed.count("json") > 0;
  if (spec.takes_svg)
    options.svg_file = TextOption(parsed, "svg");
  if (spec.takes_base && parsed.count("base") > 0)
    options.base = revision(parsed["base"].as<int64_t>());
  if (!spec.needs_token)
    return options;
  options.operator_token = ReadToken(TextOption(parsed, "operator-token-file"));
  if (parsed.count("wait-ms") > 0)
    options.push_timeout = Milliseconds(parsed["wait-ms"].as<int64_t>());
  return options;
}

}  // namespace

result<command_options, usage_error> ParseOptions(
    const option_spec& spec,
    const std::vector<std::string>& arguments) {
  cxxopts::Options parser = MakeParser(spec);
  const std::string help = parser.help();
  std::vector<const char*> argv = {"jasminepath"};
  for (const std::string& argument : arguments)
    argv.push_back(argument.c_str());
  try {
    const cxxopts::ParseResult parsed =
        parser.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0)
      return failure(usage_error{"", help});
    command_options options = ReadOptions(spec, parsed);
    std::string problem = FindProblem(spec, parsed, options);
    if (!problem.empty())
      return failure(usage_error{std::move(problem), help});
    return options;
  } catch (const cxxopts::exceptions::exception& error) {
    return failure(usage_error{error.what(), help});
  }
}

exit_code WriteUsage(const usage_error& error, command_streams streams) {
  if (error.problem.empty()) {
    streams.out << error.help;
    return exit_code::done;
  }
  streams.err << "jasminepath: " << error.problem << "\n" << error.help;
  return exit_code::usage;
}

}  // namespace jasminepath::tool
