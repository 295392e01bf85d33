#include "jasminepath/replay/trace_format.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "jasminepath/config/site_loader.h"
#include "jasminepath/replay/trace_generator.h"

namespace jasminepath::replay {
namespace {

config::configuration LoadThreadwell() {
  return config::LoadSite(std::string(JASMINEPATH_SOURCE_DIR) +
                          "/examples/threadwell")
      .value()
      .compiled;
}

std::string WriteToString(const trace& value) {
  std::ostringstream out;
  WriteTrace(value, out);
  return out.str();
}

// The faults of a trace with a valid header followed by the line.
config::fault_list FaultsOf(const std::string& line) {
  trace empty;
  empty.site = LoadThreadwell();
  std::istringstream in(WriteToString(empty) + line + "\n");
  const auto read = ReadTrace("t", in);
  return read ? config::fault_list{} : read.error();
}

bool HasFault(const std::string& line, const std::string& path) {
  for (const config::fault& fault : FaultsOf(line)) {
    if (fault.file == "t:2" && fault.json_path == path)
      return true;
  }
  return false;
}

BOOST_AUTO_TEST_CASE(a_generated_trace_reads_back_equal) {
  generator_options options;
  options.faults = fault_level::storm;
  const trace generated = MakeTrace(LoadThreadwell(), options);
  std::istringstream in(WriteToString(generated));
  const auto read = ReadTrace("t", in);
  BOOST_REQUIRE(bool(read));
  BOOST_TEST((read.value() == generated));
  BOOST_TEST(generated.requests.size() > 1000U);
  BOOST_TEST(!generated.faults.empty());
}

BOOST_AUTO_TEST_CASE(the_same_seed_makes_the_same_trace) {
  generator_options options;
  const trace first = MakeTrace(LoadThreadwell(), options);
  BOOST_TEST((MakeTrace(LoadThreadwell(), options) == first));
  options.seed = 2;
  BOOST_TEST(!(MakeTrace(LoadThreadwell(), options) == first));
}

BOOST_AUTO_TEST_CASE(invalid_lines_are_reported_with_line_and_path) {
  BOOST_TEST(HasFault("{", "$"));
  BOOST_TEST(HasFault("{\"other\":{}}", "$"));
  BOOST_TEST(
      HasFault(R"({"request":{"at_ms":1,"model":"m"}})", "$.request.id"));
  BOOST_TEST(HasFault(R"({"request":{"id":"a","at_ms":-1,"model":"m"}})",
                      "$.request.at_ms"));
  BOOST_TEST(
      HasFault(R"({"request":{"id":"a","modle":"m"}})", "$.request.modle"));
  BOOST_TEST(HasFault(R"({"request":{"id":"a","model":"m","node":9}})",
                      "$.request.node"));
  BOOST_TEST(HasFault(R"({"request":{"id":"a","model":"m","team":"none"}})",
                      "$.request.team"));
  BOOST_TEST(HasFault(R"({"request":{"id":"a"}})", "$.request.path"));
  BOOST_TEST(
      HasFault(R"({"request":{"id":"a","model":"m","expect":{"outcome":"x"}}})",
               "$.request.expect.outcome"));
  BOOST_TEST(HasFault(R"({"fault":{"kind":"rain"}})", "$.fault.kind"));
}

BOOST_AUTO_TEST_CASE(lines_out_of_time_order_are_a_fault) {
  const std::string first = R"({"request":{"id":"a","at_ms":5,"model":"m"}})";
  const std::string second = R"({"request":{"id":"b","at_ms":4,"model":"m"}})";
  const config::fault_list faults = FaultsOf(first + "\n" + second);
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults.front().file == "t:3");
  BOOST_TEST(faults.front().json_path == "$.request.at_ms");
}

BOOST_AUTO_TEST_CASE(a_trace_of_another_version_or_without_a_site_is_a_fault) {
  std::istringstream empty("");
  BOOST_TEST(!ReadTrace("t", empty));
  std::istringstream wrong(R"({"trace_version":2,"nodes":1})");
  const auto read = ReadTrace("t", wrong);
  BOOST_REQUIRE(!read);
  BOOST_TEST(read.error().size() == 2U);
}

}  // namespace
}  // namespace jasminepath::replay
