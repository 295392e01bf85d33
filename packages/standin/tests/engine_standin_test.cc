#include "jasminepath/standin/engine_standin.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "chat_request.h"
#include "generation_registry.h"
#include "prompt_cache.h"
#include "resident_models.h"
#include "test_client.h"

namespace jasminepath::standin {
namespace {

constexpr int64_t kModelBytes = 100;
constexpr auto kStatusPollInterval = std::chrono::milliseconds(2);

engine_options SmallEngine() {
  engine_options options;
  options.memory_bytes = 250;
  options.default_model.weights_bytes = kModelBytes;
  options.default_model.adapter_bytes = 10;
  options.first_token = duration(0);
  options.per_token = duration(0);
  options.resident = {"warm"};
  return options;
}

received_order Load(const std::string& id,
                    int64_t epoch,
                    const std::string& model) {
  received_order order;
  order.id = id;
  order.epoch = epoch;
  order.model = model;
  order.version = "1";
  return order;
}

std::string Order(const std::string& id,
                  int64_t epoch,
                  const std::string& action,
                  const std::string& model) {
  return R"({"order":")" + id + R"(","epoch":)" + std::to_string(epoch) +
         R"(,"action":")" + action + R"(","model":")" + model +
         R"(","version":"1","load_ms":1})";
}

struct engine_fixture {
  engine_standin engine{SmallEngine()};

  test_answer Chat(const std::string& model,
                   const std::string& id,
                   bool stream = false) {
    const std::string body = R"({"model":")" + model +
                             R"(","messages":[{"role":"user",
        "content":"a daisy"}],"max_tokens":3,"stream":)" +
                             (stream ? "true" : "false") + "}";
    return Call(engine.port(), "POST", "/v1/chat/completions", body,
                {{"X-Request-Id", id}});
  }

  test_answer Send(const std::string& order) {
    return Call(engine.port(), "POST", "/engine/orders", order);
  }

  // Polls the status until it contains the text.
  void WaitForStatus(const std::string& text) {
    while (Call(engine.port(), "GET", "/engine/status").body.find(text) ==
           std::string::npos)
      std::this_thread::sleep_for(kStatusPollInterval);
  }
};

BOOST_FIXTURE_TEST_CASE(a_complete_answer_contains_every_token,
                        engine_fixture) {
  const auto answer = Chat("warm", "r1");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.find("daisy-0 daisy-1 daisy-2 ") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_stream_can_be_read_again_from_any_event,
                        engine_fixture) {
  const auto whole = Chat("warm", "r1", true);
  const auto rest = Call(engine.port(), "GET", "/v1/streams/r1?from=2");
  BOOST_TEST(whole.body.ends_with("id: 4\ndata: [DONE]\n\n"));
  BOOST_TEST(whole.body.ends_with(rest.body));
  BOOST_TEST(rest.body.starts_with("id: 2\n"));
}

BOOST_FIXTURE_TEST_CASE(a_request_for_a_nonresident_model_is_not_run,
                        engine_fixture) {
  const auto answer = Chat("cold", "r1");
  BOOST_TEST(answer.status == 404);
  BOOST_TEST(answer.Json()->getValue<std::string>("run") == "not_run");
}

BOOST_FIXTURE_TEST_CASE(a_loaded_model_runs_and_an_unloaded_one_does_not,
                        engine_fixture) {
  BOOST_TEST(Send(Order("o1", 1, "load_model", "cold")).status == 202);
  WaitForStatus(R"("model":"cold","state":"resident")");
  BOOST_TEST(Chat("cold", "r1").status == 200);
  BOOST_TEST(Send(Order("o2", 1, "unload_model", "cold")).status == 202);
  BOOST_TEST(Chat("cold", "r2").status == 404);
}

BOOST_FIXTURE_TEST_CASE(a_crash_closes_the_connection_and_unloads_the_models,
                        engine_fixture) {
  const auto before = Call(engine.port(), "GET", "/engine/status")
                          .Json()
                          ->getValue<std::string>("incarnation");
  Call(engine.port(), "POST", "/standin/faults",
       R"({"crash_on_body_containing":"daisy"})");
  BOOST_TEST(Chat("warm", "r1").status == 0);
  WaitForStatus(R"("models":[])");
  const auto status = Call(engine.port(), "GET", "/engine/status").Json();
  BOOST_TEST(status->getValue<std::string>("incarnation") != before);
}

BOOST_FIXTURE_TEST_CASE(a_crash_during_a_load_is_counted_and_unloads_the_models,
                        engine_fixture) {
  Call(engine.port(), "POST", "/standin/faults", R"({"die_mid_load":1})");
  Send(Order("o1", 1, "load_model", "cold"));
  WaitForStatus(R"("models":[])");
  const auto seen = Call(engine.port(), "GET", "/standin/violations").Json();
  BOOST_TEST(seen->getValue<int>("crashes") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_malformed_request_is_refused_with_a_reason,
                        engine_fixture) {
  const auto answer = Call(engine.port(), "POST", "/v1/chat/completions",
                           R"({"model":"warm"})");
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(answer.body.find("messages") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_order_below_the_fence_is_refused_only_with_fencing) {
  const engine_options options = SmallEngine();
  resident_models models(options, "one");
  const time_point now{};
  BOOST_TEST((models.HandleOrder(Load("a", 5, "m"), false, now) ==
              order_result::accepted));
  BOOST_TEST((models.HandleOrder(Load("b", 4, "n"), false, now) ==
              order_result::stale_epoch));
  engine_options unfenced_options = SmallEngine();
  unfenced_options.honours_fencing = false;
  resident_models unfenced(unfenced_options, "two");
  unfenced.HandleOrder(Load("a", 5, "m"), false, now);
  BOOST_TEST((unfenced.HandleOrder(Load("b", 4, "n"), false, now) ==
              order_result::accepted));
}

BOOST_AUTO_TEST_CASE(an_order_that_exceeds_the_memory_is_refused_and_counted) {
  const engine_options options = SmallEngine();
  resident_models models(options, "one");
  const time_point now{};
  models.HandleOrder(Load("a", 1, "m"), false, now);
  models.HandleOrder(Load("b", 1, "n"), false, now);
  BOOST_TEST((models.HandleOrder(Load("c", 1, "o"), false, now) ==
              order_result::no_memory));
  BOOST_TEST(models.overcommits() == 1);
}

BOOST_AUTO_TEST_CASE(a_repeated_order_takes_effect_once) {
  const engine_options options = SmallEngine();
  resident_models models(options, "one");
  time_point now{};
  models.HandleOrder(Load("a", 1, "m"), false, now);
  received_order unload = Load("b", 1, "m");
  unload.kind = order_kind::unload_model;
  models.HandleOrder(unload, false, now);
  now += Seconds(1);
  models.Advance(now);
  models.HandleOrder(Load("a", 1, "m"), false, now);
  now += Seconds(10);
  models.Advance(now);
  BOOST_TEST(!models.CanRun("m", ""));
}

BOOST_AUTO_TEST_CASE(a_load_during_the_unload_is_refused_and_can_be_repeated) {
  const engine_options options = SmallEngine();
  resident_models models(options, "one");
  time_point now{};
  models.HandleOrder(Load("a", 1, "m"), false, now);
  received_order unload = Load("b", 1, "m");
  unload.kind = order_kind::unload_model;
  models.HandleOrder(unload, false, now);
  BOOST_TEST((models.HandleOrder(Load("c", 1, "m"), false, now) ==
              order_result::unloading));
  now += Seconds(1);
  models.Advance(now);
  models.HandleOrder(Load("c", 1, "m"), false, now);
  now += Seconds(10);
  models.Advance(now);
  BOOST_TEST(models.CanRun("m", ""));
}

BOOST_AUTO_TEST_CASE(waiting_generations_start_by_priority) {
  generation_registry registry(1);
  const stream_timing timing{Milliseconds(10), Milliseconds(1)};
  time_point now{};
  chat_request request;
  registry.BeginGeneration("first", request, timing, now);
  registry.BeginGeneration("low", request, timing, now);
  request.priority = 1;
  registry.BeginGeneration("high", request, timing, now);
  BOOST_TEST(registry.waiting() == 2);
  now += Seconds(1);
  registry.Advance(now);
  BOOST_TEST((registry.TokenAt("high", 0).at == token_state::kind::due_at));
  BOOST_TEST((registry.TokenAt("low", 0).at == token_state::kind::waiting));
}

BOOST_AUTO_TEST_CASE(cache_events_are_delayed_and_have_gaps) {
  constexpr int64_t kGapEvery = 2;
  prompt_cache cache(1'000'000'000, Milliseconds(100), kGapEvery);
  const time_point now{};
  BOOST_TEST(!cache.Use("m", "one", now));
  BOOST_TEST(cache.Use("m", "one", now));
  cache.Use("m", "two", now);
  cache.Use("m", "three", now);
  json_object early;
  cache.Describe(0, now, early);
  BOOST_TEST(early.getArray("events")->size() == 0U);
  json_object late;
  cache.Describe(0, now + Milliseconds(100), late);
  BOOST_TEST(late.getArray("events")->size() == 2U);
  BOOST_TEST(late.getValue<int>("last") == 3);
}

}  // namespace
}  // namespace jasminepath::standin
