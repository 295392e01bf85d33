#include "jasminepath/tool/command_line.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace jasminepath::tool {
namespace {

struct run_outcome {
  exit_code code;
  std::string out;
  std::string err;
};

run_outcome Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code = RunCommandLine(arguments, {out, err});
  return {code, out.str(), err.str()};
}

std::string Example(const std::string& name) {
  return std::string(JASMINEPATH_SOURCE_DIR) + "/examples/" + name;
}

BOOST_AUTO_TEST_CASE(ChecksTheExampleSites) {
  const run_outcome threadwell = Run({"check", Example("threadwell")});
  BOOST_TEST((threadwell.code == exit_code::done));
  BOOST_TEST(threadwell.out ==
             "checked: site=threadwell services=2 endpoints=12 models=30 "
             "teams=5\n");
  BOOST_TEST((Run({"check", Example("pegworks")}).code == exit_code::done));
}

BOOST_AUTO_TEST_CASE(FaultyDirectoryIsAUsageError) {
  const run_outcome run = Run({"check", "/nonexistent"});
  BOOST_TEST((run.code == exit_code::usage));
  BOOST_TEST(run.err.find("/nonexistent: $: cannot be listed") == 0);
}

BOOST_AUTO_TEST_CASE(ReportsInvalidArguments) {
  struct invalid_arguments {
    std::vector<std::string> arguments;
    std::string expected;
  };
  const std::string token = Example("README.md");
  const invalid_arguments cases[] = {
      {{"pubish"}, "unknown command \"pubish\""},
      {{"key"}, "unknown command \"key\""},
      {{"check"}, "the argument DIR is missing"},
      {{"check", "a", "b"}, "unexpected argument \"b\""},
      {{"check", "--colour"}, "colour"},
      {{"publish", "a"}, "--operator-token-file FILE is missing"},
      {{"publish", "a", "--operator-token-file", "/nonexistent"},
       "the operators' token cannot be read from \"/nonexistent\""},
      {{"key", "list"}, "--platform ip:port is missing"},
      {{"key", "list", "--platform", "platform:1"},
       "--platform \"platform:1\" is not a valid ip:port"},
      {{"key", "give", "--platform", "127.0.0.1:1", "--operator-token-file",
        token},
       "--team TEAM is missing"},
      {{"replay"}, "the argument TRACE is missing"},
      {{"replay", "a", "--policy", "best"}, "--policy must be one of"},
      {{"replay", "/nonexistent"}, "/nonexistent"},
      {{"trace", "make", "a", "--hours", "0"},
       "--hours must be above 0 and at most 168"},
      {{"trace", "make", "a", "--faults", "all"}, "--faults must be one of"},
      {{"drain", "--platform", "127.0.0.1:1", "--operator-token-file", token},
       "--vm VM is missing"},
      {{"publish", "a", "--operator-token-file", token, "--wait-ms", "x"}, "x"},
      {{"publish", "a", "--operator-token-file", token, "--wait-ms", "-1"},
       "--wait-ms must be from 0 to 600000"},
  };
  for (const invalid_arguments& item : cases) {
    BOOST_TEST_CONTEXT(item.expected) {
      const run_outcome run = Run(item.arguments);
      BOOST_TEST((run.code == exit_code::usage));
      BOOST_TEST(run.err.find(item.expected) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(TraceGenerationIsDeterministicAndExampleTraceReplays) {
  const std::vector<std::string> make = {"trace", "make", Example("threadwell"),
                                         "--hours", "0.02"};
  const run_outcome made = Run(make);
  BOOST_TEST((made.code == exit_code::done));
  BOOST_TEST(made.out == Run(make).out);
  const run_outcome replayed =
      Run({"replay", Example("traces/order_sent_twice.jsonl"), "--json"});
  BOOST_TEST((replayed.code == exit_code::done));
  BOOST_TEST(replayed.out.find("\"violations\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(HelpAndVersionSucceed) {
  BOOST_TEST((Run({"--help"}).code == exit_code::done));
  BOOST_TEST((Run({"--version"}).code == exit_code::done));
  const run_outcome help = Run({"publish", "--help"});
  BOOST_TEST((help.code == exit_code::done));
  BOOST_TEST(help.out.find("--operator-token-file") != std::string::npos);
}

}  // namespace
}  // namespace jasminepath::tool
