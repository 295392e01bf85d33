#include "jasminepath/tool/json_difference.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace jasminepath::tool {
namespace {

std::vector<std::string> DifferenceOf(const std::string& before,
                                      const std::string& after) {
  return Difference(config::ParseJson(before).value(),
                    config::ParseJson(after).value());
}

void CheckLines(const std::vector<std::string>& actual,
                const std::vector<std::string>& expected) {
  BOOST_TEST(actual == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EqualDocumentsHaveNoDifference) {
  CheckLines(DifferenceOf(R"({"a":[1,{"id":"x"}]})", R"({"a":[1,{"id":"x"}]})"),
             {});
}

BOOST_AUTO_TEST_CASE(MatchesItemsByName) {
  CheckLines(
      DifferenceOf(R"({"teams":[{"id":"a","burst":1},{"id":"b","burst":2}]})",
                   R"({"teams":[{"id":"b","burst":3},{"id":"c"}]})"),
      {"- teams[a]", "~ teams[b].burst: 2 -> 3", "+ teams[c]"});
}

BOOST_AUTO_TEST_CASE(MatchesRoutesByMethodAndPath) {
  CheckLines(
      DifferenceOf(
          R"({"routes":[{"method":"GET","path_prefix":"/s","cost":0}]})",
          R"({"routes":[{"method":"GET","path_prefix":"/s","cost":1}]})"),
      {"~ routes[GET /s].cost: 0 -> 1"});
}

BOOST_AUTO_TEST_CASE(ReportsAChangeOfOrder) {
  CheckLines(DifferenceOf(R"({"a":[{"id":"x"},{"id":"y"}]})",
                          R"({"a":[{"id":"y"},{"id":"x"}]})"),
             {"~ a[]: order"});
}

}  // namespace
}  // namespace jasminepath::tool
