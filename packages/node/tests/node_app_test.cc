#include "jasminepath/node/node_app.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "raw_caller.h"
#include "test_site.h"

namespace jasminepath::node {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";

std::string ChatBody(bool streamed) {
  return std::string(R"({"model":"knots","max_tokens":5,"stream":)") +
         (streamed ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"a reef knot"}]})";
}

http_call Chat(const std::string& key, bool streamed) {
  return {"POST",
          kChatPath,
          {{"Authorization", "Bearer " + key},
           {"Content-Type", "application/json"}},
          ChatBody(streamed)};
}

http_call Order(const std::string& key, const std::string& idempotency_key) {
  http_call call{"POST", "/orders", {{"X-Api-Key", key}}, "{\"pegs\":12}"};
  if (!idempotency_key.empty())
    call.headers["Idempotency-Key"] = idempotency_key;
  return call;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size()))
    ++count;
  return count;
}

BOOST_AUTO_TEST_CASE(FirstCallLoadsModelAndReceivesBufferedOrStreamedAnswer) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node node(site.Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node.caller_address(), key));
  const auto buffered = SendRequest(node.caller_address(), Chat(key, false));
  BOOST_TEST(buffered.status == 200, buffered.body);
  BOOST_TEST(Contains(buffered.body, "\"usage\""));
  const auto streamed = SendRequest(node.caller_address(), Chat(key, true));
  BOOST_TEST(streamed.status == 200, streamed.body);
  BOOST_TEST(Contains(streamed.body, "data: [DONE]"));
  BOOST_TEST((node.Stop() == run_end::drained));
}

BOOST_AUTO_TEST_CASE(TeamKeysAreNotForwardedToEndpoints) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node node(site.Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node.caller_address(), key));
  SendRequest(node.caller_address(), Chat(key, false));
  SendRequest(node.caller_address(), {"GET",
                                      "/stock/blue?api_key=" + key + "&x=1",
                                      {{"authorization", "Bearer " + key},
                                       {"X-API-KEY", key},
                                       {"Cookie", "k=" + key}},
                                      ""});
  for (const std::string& endpoint :
       {site.plain_address(), site.engine_address()}) {
    const auto received =
        SendRequest(endpoint, {"GET", "/standin/requests", {}, ""});
    BOOST_TEST(received.status == 200);
    BOOST_TEST(Count(received.body, key.substr(key.find('.') + 1)) == 0u);
  }
}

BOOST_AUTO_TEST_CASE(RepeatedIdempotencyKeyRunsOnceAndReplaysAnswer) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node first(site.Settings("node-0"));
  running_node second(site.Settings("node-1"));
  BOOST_REQUIRE(WaitUntilReady(first.caller_address(), key));
  BOOST_REQUIRE(WaitUntilReady(second.caller_address(), key));
  const auto original =
      SendRequest(first.caller_address(), Order(key, "order-1"));
  BOOST_TEST(original.status == 201, original.body);
  const auto repeat =
      SendRequest(second.caller_address(), Order(key, "order-1"));
  BOOST_TEST(repeat.status == original.status, repeat.body);
  BOOST_TEST(repeat.body == original.body);
  http_call other = Order(key, "order-1");
  other.body = "{\"pegs\":13}";
  const auto conflict = SendRequest(second.caller_address(), other);
  BOOST_TEST(conflict.status == 422, conflict.body);
  const auto received =
      SendRequest(site.plain_address(), {"GET", "/standin/requests", {}, ""});
  BOOST_TEST(Count(received.body, "\"/orders\"") == 1u, received.body);
}

BOOST_AUTO_TEST_CASE(OnlyOpenRoutesAcceptCallsWithoutValidKey) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node node(site.Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node.caller_address(), key));
  const http_call stock{"GET", "/stock/red", {}, ""};
  const auto without_key = SendRequest(node.caller_address(), stock);
  BOOST_TEST(without_key.status == 401);
  BOOST_TEST(Contains(without_key.body, "\"run\":\"not_run\""));
  http_call wrong = stock;
  wrong.headers["X-Api-Key"] = key.substr(0, key.size() - 1) + "!";
  BOOST_TEST(SendRequest(node.caller_address(), wrong).status == 401);
  BOOST_TEST(
      SendRequest(node.caller_address(), {"GET", "/hours", {}, ""}).status ==
      200);
  http_call right = stock;
  right.headers["X-Api-Key"] = key;
  site.WithdrawLastKey();
  const auto after =
      PollUntil(node.caller_address(), right,
                [](const http_answer& answer) { return answer.status == 401; });
  BOOST_TEST(after.status == 401);
}

BOOST_AUTO_TEST_CASE(MalformedRequestsAreRejectedAndNodeKeepsServing) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node node(site.Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node.caller_address(), key));
  http_call bad_json = Chat(key, false);
  bad_json.body = "{";
  const auto json = SendRequest(node.caller_address(), bad_json);
  BOOST_TEST(json.status == 400);
  BOOST_TEST(Contains(json.body, "not valid JSON"));
  http_call unknown = Chat(key, false);
  unknown.body = R"({"model":"no","messages":[{"role":"u","content":"x"}]})";
  BOOST_TEST(SendRequest(node.caller_address(), unknown).status == 404);
  http_call deadline = Chat(key, false);
  deadline.headers["X-Deadline-Ms"] = "soon";
  BOOST_TEST(SendRequest(node.caller_address(), deadline).status == 400);
  http_call two_keys = Chat(key, false);
  two_keys.headers["X-Api-Key"] = "another";
  BOOST_TEST(SendRequest(node.caller_address(), two_keys).status == 401);
  http_call large{"GET", "/stock/red", {{"X-Api-Key", key}}, ""};
  for (int i = 0; i < 10; ++i)
    large.headers["X-Filler-" + std::to_string(i)] = std::string(4000, 'x');
  BOOST_TEST(SendRequest(node.caller_address(), large).status == 413);
  BOOST_TEST(SendRequest(node.caller_address(), Chat(key, false)).status ==
             200);
}

BOOST_AUTO_TEST_CASE(PlannedStopCompletesOpenCalls) {
  test_site site;
  const std::string key = site.IssueKey("beads");
  running_node node(site.Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node.caller_address(), key));
  SendRequest(node.caller_address(), Chat(key, false));
  constexpr int kCallers = 8;
  std::atomic<int> complete_answers{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      http_call call = Chat(key, true);
      call.body = R"({"model":"knots","max_tokens":100,"stream":true,)"
                  R"("messages":[{"role":"user","content":"long"}]})";
      if (Contains(SendRequest(node.caller_address(), call).body, "[DONE]"))
        ++complete_answers;
    });
  }
  // Waits until the calls have reached the engine, before the stop begins.
  PollUntil(site.engine_address(), {"GET", "/standin/requests", {}, ""},
            [](const http_answer& answer) {
              return Count(answer.body, "\"/v1/chat/completions\"") >
                     static_cast<std::size_t>(kCallers);
            });
  BOOST_TEST((node.Stop() == run_end::drained));
  for (std::thread& caller : callers)
    caller.join();
  BOOST_TEST(complete_answers == kCallers);
}

BOOST_AUTO_TEST_CASE(AdminPagesRequireOperatorToken) {
  test_site site;
  running_node node(site.Settings("node-0"));
  BOOST_TEST(SendRequest(node.admin_address(), {"GET", "/admin/status", {}, ""})
                 .status == 401);
  const auto status =
      SendRequest(node.admin_address(),
                  {"GET",
                   "/admin/status",
                   {{"Authorization", std::string("Bearer ") + kOperatorToken}},
                   ""});
  BOOST_TEST(status.status == 200);
  BOOST_TEST(Contains(status.body, "\"vm\":\"node-0\""));
}

// Guards against a body without a length, whose size nothing limits.
BOOST_AUTO_TEST_CASE(ChunkedFactsAreRefused) {
  test_site site;
  running_node node(site.Settings("node-0"));
  raw_caller caller(node.admin_address());
  caller.Send(std::string("POST /admin/facts HTTP/1.1\r\nHost: n\r\n"
                          "Authorization: Bearer ") +
              kOperatorToken +
              "\r\nTransfer-Encoding: chunked\r\n\r\n"
              "c\r\n{\"facts\":[]}\r\n0\r\n\r\n");
  BOOST_TEST(
      caller.ReadThrough("\r\n").starts_with("HTTP/1.1 411 Length Required"));
}

}  // namespace
}  // namespace jasminepath::node
