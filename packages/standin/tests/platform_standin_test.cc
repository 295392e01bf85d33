#include "jasminepath/standin/platform_standin.h"

#include <boost/test/unit_test.hpp>

#include "test_client.h"
#include "weight_store.h"

namespace jasminepath::standin {
namespace {

struct platform_fixture {
  platform_standin platform{listen_options{}};

  test_answer Transact(const std::string& body) {
    return Call(platform.port(), "POST", "/table/transact", body);
  }
};

BOOST_FIXTURE_TEST_CASE(a_failed_condition_writes_no_row, platform_fixture) {
  BOOST_TEST(Transact(R"({"conditions":[{"key":"a","version":0}],
      "writes":[{"key":"a","value":"1"},{"key":"b","value":"2"}]})")
                 .status == 200);
  const auto refused = Transact(
      R"({"conditions":[{"key":"a","version":0}],
          "writes":[{"key":"c","value":"3"}]})");
  BOOST_TEST(refused.status == 409);
  const auto conflict = refused.Json()->getArray("conflicts")->getObject(0);
  BOOST_TEST(conflict->getValue<std::string>("value") == "1");
  BOOST_TEST(conflict->getValue<int>("version") == 1);
  const auto rows = Call(platform.port(), "GET", "/table/rows?prefix=&since=0");
  BOOST_TEST(rows.Json()->getArray("rows")->size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    a_deleted_row_is_listed_since_a_version_but_not_since_zero,
    platform_fixture) {
  Transact(R"({"writes":[{"key":"a","value":"1"}]})");
  Transact(R"({"writes":[{"key":"a","value":null}]})");
  const auto all = Call(platform.port(), "GET", "/table/rows?prefix=a&since=0");
  BOOST_TEST(all.Json()->getArray("rows")->size() == 0U);
  const auto changed =
      Call(platform.port(), "GET", "/table/rows?prefix=a&since=1").Json();
  BOOST_TEST(changed->getValue<int>("version") == 2);
  const auto row = changed->getArray("rows")->getObject(0);
  BOOST_TEST(row->getValue<bool>("deleted"));
  BOOST_TEST(Transact(R"({"conditions":[{"key":"a","version":0}],
      "writes":[{"key":"a","value":"again"}]})")
                 .status == 200);
}

BOOST_FIXTURE_TEST_CASE(an_object_is_created_once, platform_fixture) {
  const std::vector<test_header> only_new{{"If-None-Match", "*"}};
  const uint16_t port = platform.port();
  BOOST_TEST(Call(port, "PUT", "/objects/a/b", "x", only_new).status == 201);
  BOOST_TEST(Call(port, "PUT", "/objects/a/b", "y", only_new).status == 412);
  BOOST_TEST(Call(port, "GET", "/objects/a/b").body == "x");
  BOOST_TEST(Call(port, "GET", "/objects/none").status == 404);
  BOOST_TEST(Call(port, "GET", "/objects?prefix=a/").body ==
             R"({"names":["a/b"]})");
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_is_lost_takes_effect,
                        platform_fixture) {
  Call(platform.port(), "POST", "/standin/faults", R"({"lose_answer":1})");
  BOOST_TEST(Transact(R"({"writes":[{"key":"a","value":"1"}]})").status == 0);
  const auto rows = Call(platform.port(), "GET", "/table/rows?prefix=&since=0");
  BOOST_TEST(rows.Json()->getArray("rows")->size() == 1U);
  BOOST_TEST(Transact(R"({"writes":[{"key":"b","value":"1"}]})").status == 200);
}

BOOST_FIXTURE_TEST_CASE(
    a_platform_that_is_down_answers_503_or_closes_the_connection,
    platform_fixture) {
  const uint16_t port = platform.port();
  Call(port, "POST", "/standin/faults", R"({"down":true})");
  BOOST_TEST(Transact("{}").status == 503);
  Call(port, "POST", "/standin/faults", R"({"down_mode":"cut"})");
  BOOST_TEST(Transact("{}").status == 0);
  Call(port, "POST", "/standin/faults", R"({"down":false})");
  BOOST_TEST(Transact("{}").status == 200);
}

BOOST_FIXTURE_TEST_CASE(an_unknown_fault_is_refused_and_changes_nothing,
                        platform_fixture) {
  const uint16_t port = platform.port();
  BOOST_TEST(
      Call(port, "POST", "/standin/faults", R"({"down":true,"x":1})").status ==
      400);
  BOOST_TEST(Transact("{}").status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_change_of_the_vm_list_is_visible_after_its_lag,
                        platform_fixture) {
  const uint16_t port = platform.port();
  Call(port, "POST", "/standin/vms",
       R"({"vms":[{"vm":"a","state":"leaving"}]})");
  Call(port, "POST", "/standin/vms",
       R"({"vms":[{"vm":"b","state":"live"}],"lag_ms":600000})");
  BOOST_TEST(Call(port, "GET", "/vms").body ==
             R"({"vms":[{"state":"leaving","vm":"a"}]})");
}

BOOST_FIXTURE_TEST_CASE(requests_are_recorded_with_their_headers,
                        platform_fixture) {
  Call(platform.port(), "GET", "/vms", "", {{"X-Seen", "yes"}});
  const auto log = Call(platform.port(), "GET", "/standin/requests?path=/vms");
  BOOST_TEST(log.body.find(R"({"name":"X-Seen","value":"yes"})") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(more_than_four_loads_slow_down_in_proportion) {
  weight_store store;
  time_point now = time_point(Seconds(1));
  for (int i = 0; i < 8; ++i) {
    store.Begin("load-" + std::to_string(i), load_kind::model, Seconds(1), now);
  }
  BOOST_TEST(!store.IsComplete("load-0", 1, now + Milliseconds(1980)).value());
  BOOST_TEST(store.IsComplete("load-0", 1, now + Milliseconds(2020)).value());
  BOOST_TEST(!store.IsComplete("none", 1, now).has_value());
}

}  // namespace
}  // namespace jasminepath::standin
