#include "model_call_parser.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace jasminepath::node {
namespace {

result<model_call, parse_error> ParseChat(const std::string& body) {
  return ParseModelCall(model_api::chat_completions, body, {});
}

// An invalid body and the start of the expected error message.
struct bad_body {
  std::string body;
  std::string message;
};

BOOST_AUTO_TEST_CASE(ChatBodyIsParsedAndDefaultMaxTokensIsAdded) {
  const auto call = ParseChat(
      R"({"model":"knots:bead","messages":[{"role":"user","content":"hello"}],)"
      R"("stream":true,"temperature":0.5})");
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call.value().model == model_id("knots"));
  BOOST_TEST(call.value().adapter == adapter_id("bead"));
  BOOST_TEST(call.value().is_streamed);
  BOOST_TEST(call.value().max_tokens == tokens(512));
  BOOST_TEST(call.value().endpoint_body.find("\"max_tokens\":512") !=
             std::string::npos);
  BOOST_TEST(call.value().endpoint_body.find("temperature") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(MaxCompletionTokensOverridesMaxTokens) {
  const auto call =
      ParseChat(R"({"model":"m","messages":[{"role":"user","content":"x"}],)"
                R"("max_completion_tokens":7,"max_tokens":9000})");
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call.value().max_tokens == tokens(7));
  BOOST_TEST(call.value().endpoint_body.find("9000") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(EqualPromptsHaveEqualPrefixHash) {
  const auto first = ParseChat(
      R"({"model":"m","messages":[{"role":"user","content":"same"}]})");
  const auto second =
      ParseChat(R"({"model":"m","max_tokens":3,)"
                R"("messages":[{"role":"user","content":"same"}]})");
  BOOST_TEST(first.value().prefix_hash == second.value().prefix_hash);
}

BOOST_AUTO_TEST_CASE(ErrorMessageNamesInvalidField) {
  const std::string head = R"({"model":"m","messages":)";
  const std::string good = R"([{"role":"user","content":"x"}])";
  const std::vector<bad_body> cases = {
      {"", "body: not valid JSON"},
      {"{", "body: not valid JSON"},
      {"[]", "body: expected a JSON object"},
      {"{}", "model: expected the name of a model as a string"},
      {R"({"model":7})", "model: expected the name of a model as a string"},
      {R"({"model":""})", "model: expected the name of a model as a string"},
      {R"({"model":"m"})", "messages: expected a non-empty array"},
      {head + "[]}", "messages: expected a non-empty array"},
      {head + "[3]}", "messages[0]: expected an object"},
      {head + R"([{"content":"x"}]})", "messages[0].role: expected a string"},
      {head + R"([{"role":"user"}]})", "messages[0].content: expected"},
      {head + R"([{"role":"user","content":5}]})",
       "messages[0].content: expected"},
      {head + good + R"(,"max_tokens":0})", "max_tokens: expected a whole"},
      {head + good + R"(,"max_tokens":"9"})", "max_tokens: expected a whole"},
      {head + good + R"(,"max_tokens":1.5})", "max_tokens: expected a whole"},
      {head + good + R"(,"max_tokens":99999999})",
       "max_tokens: expected a whole"},
      {head + good + R"(,"stream":"yes"})", "stream: expected true or false"},
      {head + good + R"(,"n":2})", "n: only 1 is supported"},
      {std::string(200, '['), "body: not valid JSON"},
  };
  for (const bad_body& entry : cases) {
    const auto call = ParseChat(entry.body);
    BOOST_REQUIRE_MESSAGE(call.has_error(), entry.body);
    BOOST_TEST(call.error().message.starts_with(entry.message),
               entry.body << " gave " << call.error().message);
  }
}

BOOST_AUTO_TEST_CASE(CompletionRequiresPrompt) {
  const auto call =
      ParseModelCall(model_api::completions, R"({"model":"m"})", {});
  BOOST_TEST(call.error().message == "prompt: expected a non-empty string");
}

}  // namespace
}  // namespace jasminepath::node
