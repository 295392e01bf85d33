#include "model_call_parser.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "jasminepath/base/digest.h"

namespace jasminepath::node {
namespace {

constexpr std::size_t kMaxJsonDepth = 64;
constexpr std::size_t kHashedPrefixBytes = 1024;
constexpr int64_t kBytesPerToken = 3;
constexpr int64_t kTokensPerMessage = 8;

using json_object = Poco::JSON::Object::Ptr;
using json_array = Poco::JSON::Array::Ptr;
using json_value = Poco::Dynamic::Var;

// The text of a prompt and the number of its messages.
struct prompt_text {
  std::string text;
  int64_t messages = 0;
};

parse_error MakeError(std::string message) {
  return parse_error{std::move(message)};
}

result<json_object, parse_error> ParseObject(const std::string& body) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxJsonDepth);
    const json_value root = parser.parse(body);
    if (root.type() != typeid(json_object))
      return MakeError("body: expected a JSON object");
    return root.extract<json_object>();
  } catch (const Poco::Exception& error) {
    return MakeError("body: not valid JSON: " + error.displayText());
  }
}

bool IsObject(const json_value& value) {
  return !value.isEmpty() && value.type() == typeid(json_object);
}

bool IsArray(const json_value& value) {
  return !value.isEmpty() && value.type() == typeid(json_array);
}

bool IsText(const json_value& value) {
  return !value.isEmpty() && value.isString();
}

bool IsWholeNumber(const json_value& value) {
  return !value.isEmpty() && value.isInteger() && !value.isBoolean();
}

// Appends the text of a message's content, which is a string or an array of
// parts. Returns false for any other type.
bool AppendContent(const json_value& content, std::string& text) {
  if (IsText(content)) {
    text += content.convert<std::string>();
    return true;
  }
  if (!IsArray(content))
    return false;
  for (const json_value& part : *content.extract<json_array>()) {
    if (!IsObject(part))
      return false;
    const auto& object = part.extract<json_object>();
    if (IsText(object->get("text")))
      text += object->getValue<std::string>("text");
  }
  return true;
}

result<prompt_text, parse_error> ReadMessages(const json_object& root) {
  const json_value messages = root->get("messages");
  if (!IsArray(messages) || messages.extract<json_array>()->size() == 0)
    return MakeError("messages: expected a non-empty array of messages");
  prompt_text prompt;
  for (const json_value& entry : *messages.extract<json_array>()) {
    const std::string location =
        "messages[" + std::to_string(prompt.messages) + "]";
    if (!IsObject(entry))
      return MakeError(location + ": expected an object with role and content");
    const auto& message = entry.extract<json_object>();
    if (!IsText(message->get("role")))
      return MakeError(location + ".role: expected a string");
    prompt.text += message->getValue<std::string>("role");
    const json_value content = message->get("content");
    const bool can_be_empty = message->has("tool_calls");
    if (!(content.isEmpty() && can_be_empty) &&
        !AppendContent(content, prompt.text))
      return MakeError(location +
                       ".content: expected a string or an array of parts");
    ++prompt.messages;
  }
  return prompt;
}

result<prompt_text, parse_error> ReadPrompt(const json_object& root) {
  const json_value prompt = root->get("prompt");
  if (!IsText(prompt) || prompt.convert<std::string>().empty())
    return MakeError("prompt: expected a non-empty string");
  return prompt_text{prompt.convert<std::string>(), 1};
}

result<tokens, parse_error> ReadMaxTokens(const json_object& root,
                                          const model_call_limits& limits) {
  const char* name = root->has("max_completion_tokens")
                         ? "max_completion_tokens"
                         : "max_tokens";
  const json_value value = root->get(name);
  if (value.isEmpty())
    return limits.default_max_tokens;
  const std::string bound = std::to_string(limits.max_tokens_limit.count());
  const std::string expected =
      std::string(name) + ": expected a whole number from 1 to " + bound;
  if (!IsWholeNumber(value))
    return MakeError(expected);
  int64_t count = 0;
  try {
    count = value.convert<int64_t>();
  } catch (const Poco::Exception&) {
    return MakeError(expected);
  }
  if (count < 1 || count > limits.max_tokens_limit.count())
    return MakeError(expected);
  return tokens(count);
}

result<bool, parse_error> ReadStream(const json_object& root) {
  const json_value value = root->get("stream");
  if (value.isEmpty())
    return false;
  if (!value.isBoolean())
    return MakeError("stream: expected true or false");
  return value.convert<bool>();
}

result<std::string, parse_error> ReadModelName(const json_object& root) {
  const json_value value = root->get("model");
  if (!IsText(value) || value.convert<std::string>().empty())
    return MakeError("model: expected the name of a model as a string");
  return value.convert<std::string>();
}

result<bool, parse_error> CheckChoiceCount(const json_object& root) {
  const json_value value = root->get("n");
  if (value.isEmpty())
    return true;
  if (!IsWholeNumber(value) || value.convert<int64_t>() != 1)
    return MakeError("n: only 1 is supported");
  return true;
}

void SplitModelName(const std::string& name, model_call& call) {
  const std::size_t colon = name.find(':');
  call.model = model_id(name.substr(0, colon));
  if (colon != std::string::npos)
    call.adapter = adapter_id(name.substr(colon + 1));
}

std::string WriteBody(const json_object& root) {
  std::ostringstream out;
  root->stringify(out);
  return out.str();
}

}  // namespace

result<model_call, parse_error> ParseModelCall(
    model_api api,
    const std::string& body,
    const model_call_limits& limits) {
  auto root = ParseObject(body);
  if (!root)
    return root.error();
  const auto name = ReadModelName(root.value());
  if (!name)
    return name.error();
  const auto prompt = api == model_api::chat_completions
                          ? ReadMessages(root.value())
                          : ReadPrompt(root.value());
  if (!prompt)
    return prompt.error();
  const auto max_tokens = ReadMaxTokens(root.value(), limits);
  if (!max_tokens)
    return max_tokens.error();
  const auto streamed = ReadStream(root.value());
  if (!streamed)
    return streamed.error();
  const auto choice_count = CheckChoiceCount(root.value());
  if (!choice_count)
    return choice_count.error();

  model_call call;
  SplitModelName(name.value(), call);
  const auto length = static_cast<int64_t>(prompt.value().text.size());
  call.prompt = tokens((length + kBytesPerToken - 1) / kBytesPerToken +
                       kTokensPerMessage * prompt.value().messages);
  call.max_tokens = max_tokens.value();
  call.is_streamed = streamed.value();
  call.prefix_hash =
      StableHash(prompt.value().text.substr(0, kHashedPrefixBytes));
  if (root.value()->has("max_completion_tokens"))
    root.value()->remove("max_completion_tokens");
  root.value()->set("max_tokens", call.max_tokens.count());
  call.endpoint_body = WriteBody(root.value());
  return call;
}

}  // namespace jasminepath::node
