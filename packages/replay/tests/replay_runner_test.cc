#include "jasminepath/replay/replay_runner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "jasminepath/config/site_loader.h"
#include "jasminepath/replay/trace_format.h"
#include "jasminepath/replay/trace_generator.h"

namespace jasminepath::replay {
namespace {

trace MakeGeneratedTrace() {
  const std::string directory =
      std::string(JASMINEPATH_SOURCE_DIR) + "/examples/threadwell";
  generator_options options;
  options.hours = 0.1;
  options.nodes = 3;
  return MakeTrace(config::LoadSite(directory).value().compiled, options);
}

std::vector<std::filesystem::path> ExampleTraces() {
  std::vector<std::filesystem::path> paths;
  const std::string directory =
      std::string(JASMINEPATH_SOURCE_DIR) + "/examples/traces";
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == ".jsonl")
      paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

BOOST_AUTO_TEST_CASE(every_example_trace_meets_its_stated_outcomes) {
  const auto paths = ExampleTraces();
  BOOST_TEST(!paths.empty());
  for (const auto& path : paths) {
    const auto read = LoadTrace(path.string());
    BOOST_REQUIRE_MESSAGE(bool(read), path);
    const replay_report report = Replay(read.value(), {});
    BOOST_TEST(report.violations.empty(), path.filename()
                                              << ": " << ToText(report));
  }
}

BOOST_AUTO_TEST_CASE(the_same_trace_and_seed_give_the_same_report) {
  const trace source = MakeGeneratedTrace();
  const replay_report first = Replay(source, {});
  BOOST_TEST(first.requests == static_cast<int64_t>(source.requests.size()));
  BOOST_TEST(ToJson(Replay(source, {})) == ToJson(first));
}

BOOST_AUTO_TEST_CASE(an_unmet_stated_outcome_is_a_violation) {
  trace source = MakeGeneratedTrace();
  source.requests.resize(1);
  source.requests.front().expect =
      expectation{stated_outcome::refused, "rate_limited", 0};
  const replay_report report = Replay(source, {});
  BOOST_REQUIRE(report.violations.size() == 1U);
  BOOST_TEST(report.violations.front().rule == "stated_outcome");
}

BOOST_AUTO_TEST_CASE(table_write_admission_writes_the_table_for_each_request) {
  const trace source = MakeGeneratedTrace();
  replay_options options;
  const int64_t before = Replay(source, options).table_writes;
  options.admission = admission_policy::table_write;
  const int64_t keyed = std::count_if(
      source.requests.begin(), source.requests.end(),
      [](const trace_request& request) { return !request.team.empty(); });
  BOOST_TEST(Replay(source, options).table_writes >= before / 2 + keyed);
}

BOOST_AUTO_TEST_CASE(policies_are_parsed_by_name) {
  for (const auto policy :
       {placement_policy::adaptive, placement_policy::fixed,
        placement_policy::break_even, placement_policy::least_loaded})
    BOOST_TEST((ParsePlacementPolicy(ToString(policy)) == policy));
  for (const auto policy :
       {admission_policy::escrow, admission_policy::static_split,
        admission_policy::table_write})
    BOOST_TEST((ParseAdmissionPolicy(ToString(policy)) == policy));
  BOOST_TEST(!ParsePlacementPolicy("none"));
}

}  // namespace
}  // namespace jasminepath::replay
