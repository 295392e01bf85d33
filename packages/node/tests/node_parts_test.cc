#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "connection_watchdog.h"
#include "drain_sequence.h"
#include "endpoint_address_parser.h"
#include "jasminepath/report/event_log.h"
#include "recorded_answer.h"
#include "refusal_body.h"
#include "row_codec.h"
#include "token_usage.h"

namespace jasminepath::node {
namespace {

time_point At(int64_t milliseconds) {
  return time_point(Milliseconds(milliseconds));
}

BOOST_AUTO_TEST_CASE(
    WatchdogShutsDownOverdueConnectionOnceButNotActiveRequest) {
  std::vector<int> shut_down;
  connection_watchdog watchdog(
      [&shut_down](int descriptor) { shut_down.push_back(descriptor); });
  watchdog.OnWaiting(3, At(10));
  watchdog.OnWaiting(4, At(10));
  watchdog.OnRequest(4);
  BOOST_TEST(watchdog.ShutDownOverdue(At(9)) == 0u);
  BOOST_TEST(watchdog.ShutDownOverdue(At(10)) == 1u);
  BOOST_TEST(watchdog.ShutDownOverdue(At(11)) == 0u);
  BOOST_TEST(shut_down == std::vector<int>{3});
}

BOOST_AUTO_TEST_CASE(WatchdogIgnoresClosedConnection) {
  std::vector<int> shut_down;
  connection_watchdog watchdog(
      [&shut_down](int descriptor) { shut_down.push_back(descriptor); });
  watchdog.OnWaiting(3, At(10));
  watchdog.OnClosed(3);
  watchdog.ShutDownAll();
  BOOST_TEST(shut_down.empty());
}

BOOST_AUTO_TEST_CASE(DrainWaitsForOpenCallsAndForReleases) {
  drain_sequence drain({Milliseconds(100), Seconds(60), Seconds(10)});
  BOOST_TEST(!drain.Advance({0, true}, At(0)));
  drain.Begin(At(0));
  BOOST_TEST(!drain.Advance({0, true}, At(99)));
  BOOST_TEST(drain.Advance({2, false}, At(100)));
  BOOST_TEST((drain.phase() == drain_phase::finishing));
  BOOST_TEST(!drain.Advance({1, false}, At(5000)));
  BOOST_TEST(drain.Advance({0, false}, At(5001)));
  BOOST_TEST(!drain.Advance({0, false}, At(5002)));
  BOOST_TEST(drain.Advance({0, true}, At(5003)));
  BOOST_TEST((drain.phase() == drain_phase::stopped));
}

BOOST_AUTO_TEST_CASE(DrainEndsAtTimeoutIfReleaseFails) {
  drain_sequence drain({Milliseconds(0), Seconds(60), Seconds(10)});
  drain.Begin(At(0));
  BOOST_TEST(drain.Advance({0, false}, At(0)));
  BOOST_TEST(drain.Advance({0, false}, At(0)));
  BOOST_TEST(!drain.Advance({0, false}, At(9'999)));
  BOOST_TEST(drain.Advance({0, false}, At(10'000)));
}

BOOST_AUTO_TEST_CASE(EndpointAddressRequiresHostAndPort) {
  BOOST_TEST(ParseEndpointAddress("127.0.0.1:80")->port == 80);
  for (const char* text :
       {"", ":80", "127.0.0.1", "127.0.0.1:", "h:0", "h:x", "h:70000", "h:80x"})
    BOOST_TEST(!ParseEndpointAddress(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(LogLineQuotesSpecialCharacters) {
  BOOST_TEST(report::FormatEvent("call", {{"team", "a"},
                                          {"text", "x y=\"z\"\n"},
                                          {"empty", ""},
                                          {"count", 3}}) ==
             "event=call team=a text=\"x y=\\\"z\\\" \" empty=\"\" count=3");
}

BOOST_AUTO_TEST_CASE(RecordedAnswerRoundTripsArbitraryBytes) {
  const recorded_answer answer{
      201, {{"Content-Type", "a/b"}}, std::string("\0\n\xff{}", 5)};
  const auto decoded = DecodeRecordedAnswer(EncodeRecordedAnswer(answer));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == answer));
  BOOST_TEST(!DecodeRecordedAnswer("no head").has_value());
  BOOST_TEST(!DecodeRecordedAnswer("{}\nbody").has_value());
}

BOOST_AUTO_TEST_CASE(RefusalBodyContainsCodeRunStateAndRequestId) {
  const std::string body =
      RefusalBody({refusal_code::rate_limited, run_state::not_run, "wait",
                   Milliseconds(1200)},
                  "r-1");
  BOOST_TEST(body.find("\"code\":\"rate_limited\"") != std::string::npos);
  BOOST_TEST(body.find("\"run\":\"not_run\"") != std::string::npos);
  BOOST_TEST(body.find("\"request_id\":\"r-1\"") != std::string::npos);
  BOOST_TEST(RetryAfterSeconds(Milliseconds(1200)) == 2);
  BOOST_TEST(RetryAfterSeconds(Milliseconds(0)) == 1);
}

BOOST_AUTO_TEST_CASE(TokenUsageIsReadFromLastUsageObject) {
  const auto usage = FindTokenUsage(
      R"({"text":"\"usage\"","usage":{"prompt_tokens": 3,"completion_tokens":9}})");
  BOOST_REQUIRE(usage.has_value());
  BOOST_TEST(usage->prompt == tokens(3));
  BOOST_TEST(usage->generated == tokens(9));
  BOOST_TEST(!FindTokenUsage(R"({"usage":{}})").has_value());
}

BOOST_AUTO_TEST_CASE(RowsRoundTripThroughCodec) {
  const decision::instance_record instance{
      instance_id("i"), vm_id("v"), zone_id("z"), "m:1", "c:2", "a:3", 7, true};
  BOOST_TEST((*DecodeInstance(EncodeInstance(instance)) == instance));
  const decision::share_record share{{{instance_id("i"), 250'000}}};
  BOOST_TEST((*DecodeShare(EncodeShare(share)) == share));
  const decision::authority_record authority{instance_id("i"), epoch(9)};
  BOOST_TEST((*DecodeAuthority(EncodeAuthority(authority)) == authority));
  decision::claim_record claim;
  claim.nonce = "n";
  claim.body_digest = "d";
  claim.state = decision::claim_state::recorded;
  claim.answer_object = "o";
  claim.owner = instance_id("i");
  claim.created_unix_s = 5;
  BOOST_TEST((*DecodeClaim(EncodeClaim(claim)) == claim));
  decision::quarantine_record quarantine;
  quarantine.fingerprint = decision::request_fingerprint("f");
  quarantine.state = decision::quarantine_state::quarantined;
  quarantine.lifetime = Seconds(60);
  BOOST_TEST((*DecodeQuarantine(EncodeQuarantine(quarantine)) == quarantine));
}

BOOST_AUTO_TEST_CASE(InvalidRowsDecodeToNullopt) {
  for (const char* text : {"", "[]", "{}", "{\"parts\":3}"}) {
    BOOST_TEST(!DecodeInstance(text).has_value(), text);
    BOOST_TEST(!DecodeShare(text).has_value(), text);
    BOOST_TEST(!DecodeAuthority(text).has_value(), text);
    BOOST_TEST(!DecodeClaim(text).has_value(), text);
    BOOST_TEST(!DecodeQuarantine(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(ClaimWithUnrecognizedStateDecodesAsUnknown) {
  const auto claim = DecodeClaim(R"({"nonce":"n","state":"of the future"})");
  BOOST_REQUIRE(claim.has_value());
  BOOST_TEST((claim->state == decision::claim_state::unknown));
}

}  // namespace
}  // namespace jasminepath::node
