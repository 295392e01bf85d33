#include "jasminepath/tool/command_line.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "commands.h"

namespace jasminepath::tool {

namespace {

constexpr char kVersion[] = "jasminepath 0.1.0";

// One command, named by one or two words.
struct command_entry {
  std::string_view first;
  // Empty if the name has only one word.
  std::string_view second;
  std::string_view description;
  exit_code (*run)(const command_arguments&, command_streams);
};

constexpr std::array kCommands = {
    command_entry{"check", "", "check the files of a site", RunCheck},
    command_entry{"publish", "", "publish a site's configuration", RunPublish},
    command_entry{"key", "give", "issue a key for a team", RunKeyGive},
    command_entry{"key", "withdraw", "withdraw a key", RunKeyWithdraw},
    command_entry{"key", "list", "list the keys, without secrets", RunKeyList},
    command_entry{"status", "", "show the state of every node", RunStatus},
    command_entry{"drain", "", "stop the node of a VM gracefully", RunDrain},
    command_entry{"report", "burn", "show service-level burn", RunReportBurn},
    command_entry{"replay", "", "replay a trace in virtual time", RunReplay},
    command_entry{"trace", "make", "generate a trace for a site", RunTraceMake},
};

std::string NameOf(const command_entry& entry) {
  std::string name(entry.first);
  if (!entry.second.empty())
    name += " " + std::string(entry.second);
  return name;
}

void WriteHelp(std::ostream& out) {
  constexpr std::size_t kNameWidth = 14;
  out << "usage: jasminepath COMMAND [options]\n\ncommands:\n";
  for (const command_entry& entry : kCommands) {
    std::string name = NameOf(entry);
    name.resize(std::max(name.size(), kNameWidth), ' ');
    out << "  " << name << ' ' << entry.description << '\n';
  }
  out << "\n`jasminepath COMMAND --help` shows a command's options.\n"
         "exit codes: 0 done, 1 refused or failed, 2 invalid arguments or "
         "files\n";
}

bool Matches(const command_entry& entry,
             const std::vector<std::string>& arguments) {
  if (arguments[0] != entry.first)
    return false;
  return entry.second.empty() ||
         (arguments.size() > 1 && arguments[1] == entry.second);
}

}  // namespace

exit_code RunCommandLine(const std::vector<std::string>& arguments,
                         command_streams streams) {
  if (arguments.empty()) {
    WriteHelp(streams.err);
    return exit_code::usage;
  }
  if (arguments[0] == "--help" || arguments[0] == "help") {
    WriteHelp(streams.out);
    return exit_code::done;
  }
  if (arguments[0] == "--version") {
    streams.out << kVersion << '\n';
    return exit_code::done;
  }
  const auto entry = std::find_if(kCommands.begin(), kCommands.end(),
                                  [&](const command_entry& candidate) {
                                    return Matches(candidate, arguments);
                                  });
  if (entry == kCommands.end()) {
    streams.err << "jasminepath: unknown command \"" << arguments[0] << "\"\n";
    WriteHelp(streams.err);
    return exit_code::usage;
  }
  const std::ptrdiff_t words = entry->second.empty() ? 1 : 2;
  return entry->run({arguments.begin() + words, arguments.end()}, streams);
}

}  // namespace jasminepath::tool
