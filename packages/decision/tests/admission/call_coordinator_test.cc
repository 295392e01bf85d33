#include "jasminepath/decision/admission/call_coordinator.h"

#include <boost/test/unit_test.hpp>

#include "admission/admission_fixture.h"
#include "jasminepath/decision/routing/router.h"

namespace jasminepath::decision {

// Checks that call_coordinator compiles with the router of the node.
template class call_coordinator<router>;

namespace {

BOOST_FIXTURE_TEST_SUITE(call_coordinator_test, admission_fixture)

BOOST_AUTO_TEST_CASE(CallIsDispatchedAndFinished) {
  Arrive(ModelCall("r1"));
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
  BOOST_TEST((EmittedActions<dispatch_call>()[0].max_tokens == tokens(50)));
  EndAttempt("r1", Answered());
  BOOST_TEST(EmittedActions<finish_call>().size() == 1u);
  BOOST_TEST(calls.open_calls() == 0);
  BOOST_TEST(router.running() == 0);
}

BOOST_AUTO_TEST_CASE(UnusedTokensAreRestoredOnce) {
  const auto available = [&] { return calls.Status(now).teams[0].available; };
  Arrive(ModelCall("r0"));
  EndAttempt("r0", Answered(50));
  Advance(Seconds(60));
  const tokens full = available();
  Arrive(ModelCall("r1"));
  BOOST_TEST((available() == full - tokens(150)));
  EndAttempt("r1", Answered(20));
  BOOST_TEST((available() == full - tokens(120)));
  EndAttempt("r1", Answered(20));
  BOOST_TEST((available() == full - tokens(120)));
}

BOOST_AUTO_TEST_CASE(RefusalsBeforeDispatchReportNotRun) {
  const auto refused = [&](const call_arrival& arrival) {
    Arrive(arrival);
    const auto seen = EmittedActions<refuse_call>();
    BOOST_TEST(seen.size() == 1u);
    BOOST_TEST((seen[0].reason.run == run_state::not_run));
    BOOST_TEST(EmittedActions<dispatch_call>().empty());
    return seen[0].reason.code;
  };
  BOOST_TEST(
      (refused(ModelCall("r1", "kb.wrong")) == refusal_code::unauthenticated));
  call_arrival keyless = ModelCall("r2");
  keyless.presented_key.reset();
  BOOST_TEST((refused(keyless) == refusal_code::unauthenticated));
  call_arrival foreign = RouteCall("r3", "GET", "/orders");
  foreign.presented_key = "kp.secret";
  BOOST_TEST((refused(foreign) == refusal_code::forbidden));
  call_arrival missing = ModelCall("r4");
  missing.target = model_target{model_id("none"), {}, tokens(1), {}, 0};
  BOOST_TEST((refused(missing) == refusal_code::not_found));
  call_arrival huge = ModelCall("r5");
  huge.target = model_target{model_id("m"), {}, tokens(200'000), tokens(1), 0};
  BOOST_TEST((refused(huge) == refusal_code::too_large));
  calls.OnReadiness(false, refusal_code::shutting_down, now, actions);
  BOOST_TEST((refused(ModelCall("r6")) == refusal_code::shutting_down));
}

BOOST_AUTO_TEST_CASE(OpenRouteNeedsNoKey) {
  call_arrival arrival = RouteCall("r1", "GET", "/stock/1");
  arrival.presented_key.reset();
  Arrive(arrival);
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
  BOOST_TEST(EmittedActions<dispatch_call>()[0].team.empty());
}

BOOST_AUTO_TEST_CASE(CallWithoutMaxTokensGetsTheDefault) {
  call_arrival arrival = ModelCall("r1");
  arrival.target = model_target{model_id("m"), {}, tokens(100), {}, 0};
  Arrive(arrival);
  BOOST_TEST((EmittedActions<dispatch_call>()[0].max_tokens == tokens(512)));
}

BOOST_AUTO_TEST_CASE(WaitingCallIsRefusedAtItsDeadline) {
  router.set_slots(0);
  Arrive(ModelCall("r1"));
  BOOST_TEST(actions.empty());
  Advance(Seconds(59));
  BOOST_TEST(EmittedActions<refuse_call>().empty());
  Advance(Seconds(1));
  BOOST_TEST(EmittedActions<refuse_call>().size() == 1u);
  BOOST_TEST((EmittedActions<refuse_call>()[0].reason ==
              refusal{refusal_code::deadline_exceeded, run_state::not_run,
                      "the call has reached its deadline", std::nullopt}));
  Advance(Seconds(600));
  BOOST_TEST(EmittedActions<refuse_call>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(RunningCallIsCutAtItsDeadline) {
  Arrive(ModelCall("r1"));
  actions.clear();
  Advance(Seconds(60));
  BOOST_TEST(EmittedActions<cut_call>().size() == 1u);
  BOOST_TEST((EmittedActions<cut_call>()[0].reason.run == run_state::unknown));
  EndAttempt("r1", Failed(attempt_end::cancelled, run_state::ran));
  BOOST_TEST(actions.empty());
  BOOST_TEST(router.running() == 0);
}

BOOST_AUTO_TEST_CASE(UnreportedAttemptIsClosedAfterTheGracePeriod) {
  Arrive(ModelCall("r1"));
  Advance(Seconds(60));
  Advance(Seconds(31));
  BOOST_TEST(router.running() == 0);
  BOOST_TEST((router.ends().back() == attempt_end::cancelled));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyCutsItsCallsOnly) {
  router.set_slots(1);
  for (const char* id : {"r1", "r2", "r3", "r4"})
    Arrive(ModelCall(id));
  Arrive(ModelCall("p1", "kp.secret"));
  actions.clear();
  config::team_key key = MakeTestKey("kb", "beads");
  key.withdrawn = true;
  calls.OnKeyFact(key, revision(9), now, actions);
  BOOST_TEST(EmittedActions<cut_call>().size() == 3u);
  BOOST_TEST(EmittedActions<refuse_call>().size() == 1u);
  BOOST_TEST(
      (EmittedActions<refuse_call>()[0].reason.run == run_state::not_run));
  BOOST_TEST((EmittedActions<cut_call>()[0].reason.code ==
              refusal_code::key_withdrawn));
  BOOST_TEST(calls.open_calls() == 1);
  EndAttempt("r1", Failed(attempt_end::cancelled, run_state::ran));
  BOOST_TEST((EmittedActions<dispatch_call>()[0].id == request_id("p1")));
  Arrive(ModelCall("r5"));
  BOOST_TEST((EmittedActions<refuse_call>()[0].reason.code ==
              refusal_code::unauthenticated));
}

BOOST_AUTO_TEST_CASE(WaitingCallIsRefusedWhenItsTeamLosesAccess) {
  router.set_slots(0);
  Arrive(RouteCall("r1", "GET", "/orders"));
  Arrive(ModelCall("r2"));
  actions.clear();
  auto changed =
      std::make_shared<config::configuration>(*MakeTestConfiguration());
  changed->version = revision(2);
  changed->services[1].teams = {team_id("pegs")};
  calls.OnConfiguration(changed, now, actions);
  BOOST_TEST(EmittedActions<refuse_call>().size() == 1u);
  BOOST_TEST((EmittedActions<refuse_call>()[0].id == request_id("r1")));
  BOOST_TEST((EmittedActions<refuse_call>()[0].reason.code ==
              refusal_code::forbidden));
  actions.clear();
  calls.OnConfiguration(MakeTestConfiguration(), now, actions);
  Arrive(RouteCall("r3", "GET", "/orders"));
  BOOST_TEST((EmittedActions<refuse_call>()[0].reason.code ==
              refusal_code::forbidden));
}

BOOST_AUTO_TEST_CASE(RateLimitRefusalGivesRetryAfter) {
  call_arrival large = ModelCall("r1");
  large.target = model_target{model_id("m"), {}, tokens(98'000), tokens(500)};
  Arrive(large);
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
  call_arrival next = ModelCall("r2");
  next.target = model_target{model_id("m"), {}, tokens(20'000), tokens(500)};
  Arrive(next);
  BOOST_TEST(EmittedActions<refuse_call>().size() == 1u);
  const refusal reason = EmittedActions<refuse_call>()[0].reason;
  BOOST_TEST((reason.code == refusal_code::rate_limited));
  BOOST_TEST(reason.retry_after.has_value());
  Advance(*reason.retry_after);
  next.id = request_id("r3");
  Arrive(next);
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(IdempotentCallIsRetriedElsewhere) {
  Arrive(ModelCall("r1"));
  EndAttempt("r1", Failed(attempt_end::cut, run_state::unknown));
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
  BOOST_TEST(
      (EmittedActions<dispatch_call>()[0].endpoint == endpoint_id("e1")));
  BOOST_TEST(EmittedActions<dispatch_call>()[0].attempt == 2);
  EndAttempt("r1", Failed(attempt_end::cut, run_state::unknown), 1);
  BOOST_TEST(actions.empty());
  EndAttempt("r1", Answered(), 2);
  BOOST_TEST(EmittedActions<finish_call>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(RefusedCallMayRetryTheSameEndpoint) {
  Arrive(ModelCall("r1"));
  EndAttempt("r1", Failed(attempt_end::refused, run_state::not_run));
  BOOST_REQUIRE(EmittedActions<dispatch_call>().size() == 1u);
  BOOST_TEST(
      (EmittedActions<dispatch_call>()[0].endpoint == endpoint_id("e0")));
}

BOOST_AUTO_TEST_CASE(NonIdempotentCallIsNotSentTwice) {
  Arrive(RouteCall("r1", "POST", "/orders"));
  EndAttempt("r1", Failed(attempt_end::cut, run_state::unknown));
  BOOST_TEST(EmittedActions<dispatch_call>().empty());
  BOOST_TEST(
      (EmittedActions<refuse_call>()[0].reason.run == run_state::unknown));
  Arrive(RouteCall("r2", "POST", "/orders"));
  EndAttempt("r2", Failed(attempt_end::connect_failed, run_state::not_run));
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(PartialAnswerIsResumedOrCut) {
  Arrive(ModelCall("r1"));
  attempt_report report = Failed(attempt_end::cut, run_state::ran);
  report.relayed = bytes(10);
  report.resume_position = 3;
  EndAttempt("r1", report);
  BOOST_TEST((EmittedActions<dispatch_call>()[0].resume_position == 3));
  report.resume_position.reset();
  EndAttempt("r1", report, 2);
  BOOST_TEST(EmittedActions<cut_call>().size() == 1u);
  BOOST_TEST((EmittedActions<cut_call>()[0].reason.run == run_state::ran));
}

BOOST_AUTO_TEST_CASE(RetriesAreBounded) {
  int64_t dispatches = 0;
  for (int i = 0; i < 2000; ++i) {
    const std::string id = "r" + std::to_string(i);
    Arrive(ModelCall(id));
    dispatches += static_cast<int64_t>(EmittedActions<dispatch_call>().size());
    for (int64_t attempt = 1; attempt <= 3; ++attempt) {
      EndAttempt(id, Failed(attempt_end::server_error, run_state::ran),
                 attempt);
      dispatches +=
          static_cast<int64_t>(EmittedActions<dispatch_call>().size());
    }
    Advance(Seconds(1));
  }
  BOOST_TEST(dispatches <= 2000 + 200 + 256);
}

BOOST_AUTO_TEST_CASE(DemandCountsWaitingAndRunning) {
  router.set_slots(1);
  for (const char* id : {"r1", "r2", "r3", "r4", "r5"})
    Arrive(ModelCall(id));
  Advance(Seconds(2));
  const auto demand = calls.Demand(now);
  BOOST_TEST(demand.size() == 1u);
  BOOST_TEST(demand[0].running == 3);
  BOOST_TEST(demand[0].waiting == 2);
  BOOST_TEST((demand[0].waiting_size == tokens(300)));
  BOOST_TEST((demand[0].oldest_wait == Seconds(2)));
  BOOST_TEST((demand[0].least_time_left == Seconds(58)));
  BOOST_TEST(demand[0].arrivals == 5);
}

BOOST_AUTO_TEST_CASE(DisconnectedCallerCancelsIdempotentCallsOnly) {
  Arrive(ModelCall("r1"));
  Arrive(RouteCall("r2", "POST", "/orders"));
  actions.clear();
  calls.OnCallerDisconnected(request_id("r1"), now, actions);
  calls.OnCallerDisconnected(request_id("r2"), now, actions);
  BOOST_TEST(EmittedActions<cut_call>().size() == 1u);
  EndAttempt("r2", Answered());
  BOOST_TEST(EmittedActions<finish_call>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(CallsWithoutKeysCauseNoTableTraffic) {
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    Arrive(i % 2 == 0 ? ModelCall(id) : RouteCall(id, "POST", "/orders"));
    BOOST_TEST(EmittedActions<commit_claim>().empty());
    BOOST_TEST(EmittedActions<read_claim>().empty());
    BOOST_TEST(EmittedActions<publish_quarantine>().empty());
    EndAttempt(id, Answered());
    BOOST_TEST(actions.size() == 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
