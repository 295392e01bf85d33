#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "collected_answer.h"
#include "jasminepath/endpoint/engine_client.h"
#include "jasminepath/endpoint/exchange.h"
#include "jasminepath/standin/engine_standin.h"

namespace jasminepath::endpoint {
namespace {

constexpr auto kStatusPollInterval = std::chrono::milliseconds(2);

standin::engine_options SmallEngine() {
  standin::engine_options options;
  options.memory_bytes = 250;
  options.default_model.weights_bytes = 100;
  options.default_model.load_from_remote = Milliseconds(1);
  options.first_token = duration(0);
  options.per_token = Milliseconds(1);
  options.resident = {"warm"};
  options.event_lag = duration(0);
  options.event_gap_every = 0;
  return options;
}

struct engine_fixture {
  standin::engine_standin engine{SmallEngine()};
  endpoint_address address{"127.0.0.1", engine.port()};
  engine_client client{address, Seconds(30)};
  cancellation cancel;
  collected_answer answer;

  outbound_request MakeChatRequest(int max_tokens,
                                   const std::string& body_word = "fern") {
    outbound_request request = GetFrom(engine.port(), "/v1/chat/completions");
    request.method = "POST";
    request.body = R"({"model":"warm","stream":true,"max_tokens":)" +
                   std::to_string(max_tokens) +
                   R"(,"messages":[{"role":"user","content":")" + body_word +
                   R"("}]})";
    return request;
  }

  void SetFault(const std::string& fault) {
    outbound_request request = GetFrom(engine.port(), "/standin/faults");
    request.method = "POST";
    request.body = fault;
    collected_answer ignored;
    const cancellation never_cancelled;
    BOOST_REQUIRE(
        bool(Run(request, ignored, never_cancelled, LongDeadlines())));
    BOOST_REQUIRE(ignored.status == 200);
  }

  engine_order MakeLoadOrder(const std::string& id, int64_t fence) {
    engine_order order;
    order.id = id;
    order.fence = epoch(fence);
    order.model = model_id(id + "-model");
    order.version = "1";
    return order;
  }
};

BOOST_FIXTURE_TEST_CASE(a_stream_arrives_completely, engine_fixture) {
  const auto ended = Run(MakeChatRequest(4), answer, cancel, LongDeadlines());
  BOOST_REQUIRE(bool(ended));
  BOOST_TEST(answer.body.find("fern-3") != std::string::npos);
  BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
}

BOOST_FIXTURE_TEST_CASE(
    cancellation_ends_an_exchange_before_its_answer_is_complete,
    engine_fixture) {
  answer.cancel_on_body = &cancel;
  const auto ended =
      Run(MakeChatRequest(100'000), answer, cancel, LongDeadlines());
  BOOST_REQUIRE(!ended);
  BOOST_TEST((ended.error().kind == exchange_failure_kind::cancelled));
}

BOOST_FIXTURE_TEST_CASE(the_idle_limit_detects_a_silent_engine,
                        engine_fixture) {
  SetFault(R"({"silent":true})");
  exchange_deadlines deadlines = LongDeadlines();
  deadlines.idle_limit = Milliseconds(30);
  const auto ended = Run(MakeChatRequest(2), answer, cancel, deadlines);
  BOOST_REQUIRE(!ended);
  BOOST_TEST((ended.error().kind == exchange_failure_kind::silent));
  BOOST_TEST((ended.error().run == run_state::unknown));
}

BOOST_FIXTURE_TEST_CASE(the_overall_deadline_ends_an_active_stream,
                        engine_fixture) {
  exchange_deadlines deadlines = LongDeadlines();
  deadlines.overall = boot_clock::now() + Milliseconds(50);
  const auto ended = Run(MakeChatRequest(100'000), answer, cancel, deadlines);
  BOOST_REQUIRE(!ended);
  BOOST_TEST((ended.error().kind == exchange_failure_kind::deadline));
}

BOOST_FIXTURE_TEST_CASE(a_crossed_answer_never_reaches_the_sink,
                        engine_fixture) {
  SetFault(R"({"crossed_answer":1})");
  const auto ended = Run(MakeChatRequest(2), answer, cancel, LongDeadlines());
  BOOST_REQUIRE(!ended);
  BOOST_TEST((ended.error().kind == exchange_failure_kind::crossed));
  BOOST_TEST(answer.body.empty());
}

BOOST_FIXTURE_TEST_CASE(an_engine_crash_is_reported_as_cut, engine_fixture) {
  SetFault(R"({"crash_on_body_containing":"poison"})");
  const auto ended =
      Run(MakeChatRequest(2, "poison"), answer, cancel, LongDeadlines());
  BOOST_REQUIRE(!ended);
  BOOST_TEST((ended.error().kind == exchange_failure_kind::cut));
  BOOST_TEST((ended.error().run == run_state::unknown));
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_returns_the_remaining_events,
                        engine_fixture) {
  BOOST_REQUIRE(bool(Run(MakeChatRequest(5), answer, cancel, LongDeadlines())));
  collected_answer rest;
  const auto ended = Run(ResumeRequest(address, request_id("r1"), 3), rest,
                         cancel, LongDeadlines());
  BOOST_REQUIRE(bool(ended));
  BOOST_TEST(rest.body.starts_with("id: 3\n"));
  BOOST_TEST(answer.body.ends_with(rest.body));
}

BOOST_FIXTURE_TEST_CASE(a_generation_ends_when_it_is_cancelled,
                        engine_fixture) {
  collected_answer first;
  first.cancel_on_body = &cancel;
  BOOST_TEST(!Run(MakeChatRequest(100'000), first, cancel, LongDeadlines()));
  BOOST_TEST(bool(client.Cancel(request_id("r1"))));
  const cancellation never_cancelled;
  const auto resumed = Run(ResumeRequest(address, request_id("r1"), 0), answer,
                           never_cancelled, LongDeadlines());
  BOOST_REQUIRE(!resumed);
  BOOST_TEST((resumed.error().kind == exchange_failure_kind::cut));
}

BOOST_FIXTURE_TEST_CASE(the_status_reflects_accepted_orders, engine_fixture) {
  BOOST_TEST((client.SendOrder(MakeLoadOrder("a", 7)).value().verdict ==
              order_verdict::accepted));
  engine_status status = client.Status().value();
  while (status.models.front().state != resident_state::resident) {
    std::this_thread::sleep_for(kStatusPollInterval);
    status = client.Status().value();
  }
  BOOST_TEST(status.models.size() == 2U);
  BOOST_TEST(status.models.front().model == model_id("a-model"));
  BOOST_TEST(status.fence == epoch(7));
  BOOST_TEST(status.memory_used == bytes(200));
}

BOOST_FIXTURE_TEST_CASE(an_order_is_refused_with_its_reason, engine_fixture) {
  BOOST_REQUIRE(bool(client.SendOrder(MakeLoadOrder("a", 7))));
  const order_answer stale = client.SendOrder(MakeLoadOrder("b", 6)).value();
  BOOST_TEST((stale.verdict == order_verdict::stale_epoch));
  BOOST_TEST(stale.fence == epoch(7));
  const order_answer full = client.SendOrder(MakeLoadOrder("c", 7)).value();
  BOOST_TEST((full.verdict == order_verdict::no_memory));
}

BOOST_FIXTURE_TEST_CASE(an_order_whose_answer_is_lost_may_have_taken_effect,
                        engine_fixture) {
  SetFault(R"({"lose_answer":1})");
  const auto lost = client.SendOrder(MakeLoadOrder("a", 1));
  BOOST_REQUIRE(!lost);
  BOOST_TEST((lost.error().kind == engine_error_kind::outcome_lost));
  BOOST_TEST(client.Status().value().models.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(cache_events_are_read_from_a_sequence, engine_fixture) {
  BOOST_REQUIRE(bool(Run(MakeChatRequest(1), answer, cancel, LongDeadlines())));
  const cache_event_page page = client.Events(0).value();
  BOOST_REQUIRE(page.events.size() == 1U);
  BOOST_TEST((page.events.front().kind == cache_event_kind::stored));
  BOOST_TEST(client.Events(page.last).value().events.empty());
}

}  // namespace
}  // namespace jasminepath::endpoint
