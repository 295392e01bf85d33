#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "command_options.h"
#include "commands.h"
#include "jasminepath/config/site_loader.h"
#include "jasminepath/replay/replay_report.h"
#include "jasminepath/replay/replay_runner.h"
#include "jasminepath/replay/trace_format.h"
#include "jasminepath/replay/trace_generator.h"
#include "site_text.h"

namespace jasminepath::tool {

namespace {

constexpr double kMaxHours = 24 * 7;
constexpr int64_t kMaxNodes = 64;

// Parsed arguments of `replay`.
struct replay_request {
  std::string trace_file;
  replay::replay_options options;
  bool json = false;
  std::string svg_file;
};

// Parsed arguments of `trace make`.
struct trace_make_request {
  std::string directory;
  replay::generator_options options;
  // If empty, the trace goes to standard output.
  std::string out_file;
};

// Parses arguments and passes them to `read`, which returns the first problem
// or an empty text. Returns a usage error, or nullopt if the command can run.
std::optional<usage_error> ParseArguments(
    cxxopts::Options& parser,
    const std::string& positional,
    const std::vector<std::string>& arguments,
    const std::function<std::string(const cxxopts::ParseResult&)>& read) {
  parser.custom_help("[options]");
  parser.positional_help("");
  parser.add_options()("help", "show this text");
  parser.add_options()(positional, "", cxxopts::value<std::string>());
  parser.parse_positional({positional});
  const std::string help = parser.help();
  std::vector<const char*> argv = {"jasminepath"};
  for (const std::string& argument : arguments)
    argv.push_back(argument.c_str());
  try {
    const cxxopts::ParseResult parsed =
        parser.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0)
      return usage_error{"", help};
    if (!parsed.unmatched().empty())
      return usage_error{
          "unexpected argument \"" + parsed.unmatched().front() + "\"", help};
    if (parsed.count(positional) == 0)
      return usage_error{"the argument " + positional + " is missing", help};
    const std::string problem = read(parsed);
    if (!problem.empty())
      return usage_error{problem, help};
  } catch (const cxxopts::exceptions::exception& error) {
    return usage_error{error.what(), help};
  }
  return std::nullopt;
}

std::string ReadReplayArguments(const cxxopts::ParseResult& parsed,
                                replay_request& request) {
  request.trace_file = parsed["TRACE"].as<std::string>();
  request.options.seed = parsed["seed"].as<uint64_t>();
  request.json = parsed.count("json") > 0;
  request.svg_file = parsed["svg"].as<std::string>();
  const auto policy =
      replay::ParsePlacementPolicy(parsed["policy"].as<std::string>());
  if (!policy)
    return "--policy must be one of adaptive, fixed, break_even, least_loaded";
  const auto admission =
      replay::ParseAdmissionPolicy(parsed["admission"].as<std::string>());
  if (!admission)
    return "--admission must be one of escrow, static_split, table_write";
  request.options.policy = *policy;
  request.options.admission = *admission;
  return {};
}

std::string ReadTraceMakeArguments(const cxxopts::ParseResult& parsed,
                                   trace_make_request& request) {
  request.directory = parsed["DIR"].as<std::string>();
  request.out_file = parsed["out"].as<std::string>();
  request.options.hours = parsed["hours"].as<double>();
  request.options.seed = parsed["seed"].as<uint64_t>();
  request.options.nodes = parsed["nodes"].as<int64_t>();
  const auto faults =
      replay::ParseFaultLevel(parsed["faults"].as<std::string>());
  if (!faults)
    return "--faults must be one of none, ordinary, storm";
  request.options.faults = *faults;
  if (!(request.options.hours > 0 && request.options.hours <= kMaxHours))
    return "--hours must be above 0 and at most 168";
  if (request.options.nodes < 1 || request.options.nodes > kMaxNodes)
    return "--nodes must be from 1 to 64";
  return {};
}

exit_code WriteFile(const std::string& file,
                    const std::string& text,
                    command_streams streams) {
  std::ofstream stream(file);
  stream << text;
  stream.close();
  if (stream)
    return exit_code::done;
  streams.err << "failed: " << file << " cannot be written\n";
  return exit_code::failed;
}

}  // namespace

exit_code RunReplay(const command_arguments& arguments,
                    command_streams streams) {
  cxxopts::Options parser("jasminepath replay TRACE");
  auto add = parser.add_options();
  add("policy", "adaptive, fixed, break_even or least_loaded",
      cxxopts::value<std::string>()->default_value("adaptive"));
  add("admission", "escrow, static_split or table_write",
      cxxopts::value<std::string>()->default_value("escrow"));
  add("seed", "seed of the replay's random choices",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("json", "write JSON");
  add("svg", "write a plot to this file",
      cxxopts::value<std::string>()->default_value(""));
  replay_request request;
  const auto error = ParseArguments(
      parser, "TRACE", arguments, [&](const cxxopts::ParseResult& parsed) {
        return ReadReplayArguments(parsed, request);
      });
  if (error)
    return WriteUsage(*error, streams);
  const auto trace = replay::LoadTrace(request.trace_file);
  if (!trace)
    return WriteFaults(trace.error(), streams);
  const replay::replay_report report =
      replay::Replay(trace.value(), request.options);
  streams.out << (request.json ? replay::ToJson(report) + "\n"
                               : replay::ToText(report));
  exit_code code = exit_code::done;
  if (!request.svg_file.empty())
    code = WriteFile(request.svg_file, replay::ToSvg(report), streams);
  return report.violations.empty() ? code : exit_code::failed;
}

exit_code RunTraceMake(const command_arguments& arguments,
                       command_streams streams) {
  cxxopts::Options parser("jasminepath trace make DIR");
  auto add = parser.add_options();
  add("hours", "length of the trace",
      cxxopts::value<double>()->default_value("1"));
  add("seed", "seed of the trace",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("faults", "none, ordinary or storm",
      cxxopts::value<std::string>()->default_value("none"));
  add("nodes", "nodes that requests arrive at",
      cxxopts::value<int64_t>()->default_value("8"));
  add("out", "file to write, instead of standard output",
      cxxopts::value<std::string>()->default_value(""));
  trace_make_request request;
  const auto error = ParseArguments(
      parser, "DIR", arguments, [&](const cxxopts::ParseResult& parsed) {
        return ReadTraceMakeArguments(parsed, request);
      });
  if (error)
    return WriteUsage(*error, streams);
  const auto site = config::LoadSite(request.directory);
  if (!site)
    return WriteFaults(site.error(), streams);
  const replay::trace trace =
      replay::MakeTrace(site.value().compiled, request.options);
  if (request.out_file.empty()) {
    replay::WriteTrace(trace, streams.out);
    return exit_code::done;
  }
  std::ostringstream text;
  replay::WriteTrace(trace, text);
  return WriteFile(request.out_file, text.str(), streams);
}

}  // namespace jasminepath::tool
