#include "jasminepath/report/burn_report.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "jasminepath/report/service_level_recorder.h"

namespace jasminepath::report {
namespace {

// A multiple of an hour.
constexpr unix_seconds kStart = 3600 * 500'000;

const service_level_key kKey = {team_id("care"), service_id("assistant"),
                                "peyote-1"};

std::vector<config::objective> Objectives() {
  return {{team_id("care"), service_id("assistant"), 0.9, Seconds(2)}};
}

recorded_call ServedAfter(int64_t milliseconds) {
  return {kKey, std::nullopt, Milliseconds(milliseconds)};
}

recorded_call Refused(refusal_code code) {
  return {kKey, code, duration::zero()};
}

service_level_recorder MakeRecorder(const char* instance) {
  service_level_recorder recorder{instance_id(instance)};
  recorder.SetObjectives(Objectives());
  return recorder;
}

BOOST_AUTO_TEST_CASE(CountsGoodSlowAndRefusedCalls) {
  service_level_recorder recorder = MakeRecorder("run-1");
  recorder.Record(ServedAfter(2000), kStart);
  recorder.Record(ServedAfter(2001), kStart + 1);
  recorder.Record(Refused(refusal_code::no_endpoint), kStart + 2);
  recorder.Record(Refused(refusal_code::rate_limited), kStart + 3);
  recorder.Record(Refused(refusal_code::unauthenticated), kStart + 4);
  BOOST_REQUIRE(recorder.log().windows.size() == 1);
  const service_level& level = recorder.log().windows[0].levels.at(kKey);
  BOOST_TEST(level.total == 3);
  BOOST_TEST(level.good == 1);
  BOOST_TEST(level.first_byte.count() == 2);
}

BOOST_AUTO_TEST_CASE(StoresEachChangedHourOnce) {
  service_level_recorder recorder = MakeRecorder("run-1");
  recorder.Record(ServedAfter(1), kStart);
  recorder.Record(ServedAfter(1), kStart + 3599);
  recorder.Record(ServedAfter(1), kStart + 3600);
  const auto objects = recorder.TakeChanged();
  BOOST_REQUIRE(objects.size() == 2);
  BOOST_TEST(objects[0].name == "report/run-1/1800000000");
  BOOST_TEST(ServiceLevelLogFromJson(objects[0].body).value().windows.size() ==
             2);
  BOOST_TEST(recorder.TakeChanged().empty());
  recorder.MarkUnstored(objects[1].name);
  BOOST_REQUIRE(recorder.TakeChanged().size() == 1);
  recorder.MarkUnstored("report/run-1/0");
  BOOST_TEST(recorder.TakeChanged().empty());
}

BOOST_AUTO_TEST_CASE(KeepsWindowsOfTwoHours) {
  service_level_recorder recorder = MakeRecorder("run-1");
  for (unix_seconds t = 0; t < 10 * kStoredObjectSeconds; t += kWindowSeconds)
    recorder.Record(ServedAfter(1), kStart + t);
  BOOST_TEST(recorder.log().windows.size() == 24);
  BOOST_TEST(recorder.log().windows[0].start ==
             kStart + 8 * kStoredObjectSeconds);
}

BOOST_AUTO_TEST_CASE(ClockSetBackKeepsCountingInTheLatestWindow) {
  service_level_recorder recorder = MakeRecorder("run-1");
  recorder.Record(ServedAfter(1), kStart + 900);
  recorder.Record(ServedAfter(1), kStart);
  BOOST_REQUIRE(recorder.log().windows.size() == 1);
  BOOST_TEST(recorder.log().windows[0].levels.at(kKey).total == 2);
}

BOOST_AUTO_TEST_CASE(LogRoundTripsThroughJson) {
  service_level_recorder recorder = MakeRecorder("run-1");
  recorder.Record(ServedAfter(17), kStart);
  recorder.Record(Refused(refusal_code::queue_full), kStart + 400);
  const auto read = ServiceLevelLogFromJson(ToJson(recorder.log()));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == recorder.log()));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedLogs) {
  for (const char* text :
       {"", "{}", R"({"instance":"a"})", R"({"instance":"a","windows":[1]})",
        R"({"instance":"a","windows":[{"start":7,"levels":[]}]})",
        R"({"instance":"a","windows":[{"start":300}]})",
        R"({"instance":"a","windows":[{"start":300,"levels":[
            {"total":1,"good":2,"first_byte":[]}]}]})"}) {
    BOOST_TEST_CONTEXT(text)
    BOOST_TEST(!ServiceLevelLogFromJson(text).has_value());
  }
}

// 20 of 100 calls are bad and the objective allows 10%: the burn rate is 2.
service_level_log LogWith(const char* instance, unix_seconds start) {
  service_level_log log{instance_id(instance), {{start, {}}}};
  service_level& level = log.windows[0].levels[kKey];
  level.total = 100;
  level.good = 80;
  return log;
}

BOOST_AUTO_TEST_CASE(BurnIsComputedForEachSpan) {
  const unix_seconds now = kStart + 7200;
  std::vector<service_level_log> logs = {LogWith("run-1", now - 300)};
  logs.push_back(LogWith("run-2", now - 3600 * 4));
  logs[1].windows[0].levels[kKey].good = 100;
  const burn_report report = MakeBurnReport(logs, Objectives(), now);
  BOOST_REQUIRE(report.rows.size() == 2);
  const burn_row& whole = report.rows[0];
  BOOST_TEST(whole.route == "*");
  BOOST_TEST(whole.spans[0].total == 100);
  BOOST_TEST(whole.spans[0].burn == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(whole.spans[1].burn == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(whole.spans[2].burn == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(whole.spans[3].total == 200);
  BOOST_TEST(whole.budget_left == 0.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(report.rows[1].route == "peyote-1");
}

BOOST_AUTO_TEST_CASE(DuplicateWindowOfAnInstanceCountsOnce) {
  const unix_seconds now = kStart + 300;
  std::vector<service_level_log> logs = {LogWith("run-1", kStart),
                                         LogWith("run-1", kStart)};
  logs[0].windows[0].levels[kKey].total = 110;
  const burn_report report = MakeBurnReport(logs, Objectives(), now);
  BOOST_TEST(report.rows[0].spans[0].total == 110);
}

BOOST_AUTO_TEST_CASE(OldAndFutureWindowsAreExcluded) {
  const unix_seconds now = kStart;
  const burn_report report = MakeBurnReport(
      {LogWith("run-1", now - 3 * 86400 - 300), LogWith("run-1", now + 300)},
      Objectives(), now);
  BOOST_TEST(report.rows[0].spans[3].total == 0);
  BOOST_TEST(report.rows[0].budget_left == 1.0);
}

BOOST_AUTO_TEST_CASE(ReportIsWrittenAsTextJsonAndPlot) {
  const burn_report report =
      MakeBurnReport({LogWith("run-1", kStart)}, Objectives(), kStart + 60);
  const std::string text = BurnText(report);
  BOOST_TEST(text.find("care            assistant     *") != std::string::npos);
  BOOST_TEST(text.find("-100.0%") != std::string::npos);
  const auto json = config::ParseJson(BurnJson(report));
  BOOST_REQUIRE(json.has_value());
  BOOST_TEST(json.value().Find("rows")->AsArray()->size() == 2);
  const std::string svg = BurnSvg(report);
  BOOST_TEST(svg.find("<svg ") == 0);
  BOOST_TEST(svg.find("care / assistant") != std::string::npos);
  BOOST_TEST(svg.substr(svg.size() - 7) == "</svg>\n");
}

}  // namespace
}  // namespace jasminepath::report
