#include "chat_request.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace jasminepath::standin {
namespace {

constexpr int64_t kMaxTokens = 100'000;
// The finish event and "[DONE]".
constexpr int64_t kClosingEventCount = 2;

std::string LastWord(const std::string& text) {
  const std::size_t end = text.find_last_not_of(" \t\r\n");
  if (end == std::string::npos)
    return "empty";
  const std::size_t before = text.find_last_of(" \t\r\n", end);
  const std::size_t begin = before == std::string::npos ? 0 : before + 1;
  return text.substr(begin, end - begin + 1);
}

std::string JoinMessages(const json_object& body) {
  const auto messages = body.getArray("messages");
  if (messages.isNull() || messages->empty())
    throw Poco::DataFormatException("messages is missing or empty");
  std::string joined;
  for (unsigned i = 0; i < messages->size(); ++i) {
    const auto message = messages->getObject(i);
    if (message.isNull())
      throw Poco::DataFormatException("a message is not an object");
    joined += message->getValue<std::string>("content");
    joined += '\n';
  }
  return joined;
}

int64_t CountWords(const std::string& text) {
  int64_t words = 0;
  bool is_inside_word = false;
  for (const char c : text) {
    const bool is_space = c == ' ' || c == '\n' || c == '\t' || c == '\r';
    words += !is_space && !is_inside_word ? 1 : 0;
    is_inside_word = !is_space;
  }
  return words;
}

json_object::Ptr MakeUsage(const chat_request& request) {
  const int64_t prompt_tokens = CountWords(request.prompt);
  json_object::Ptr usage = new json_object;
  usage->set("prompt_tokens", prompt_tokens);
  usage->set("completion_tokens", request.max_tokens);
  usage->set("total_tokens", prompt_tokens + request.max_tokens);
  return usage;
}

// A complete answer or a chunk with one choice.
json_object MakeEnvelope(const chat_request& request,
                         const std::string& kind,
                         json_object::Ptr choice) {
  choice->set("index", 0);
  json_array::Ptr choices = new json_array;
  choices->add(choice);
  json_object envelope;
  envelope.set("id", "cmpl-" + request.id);
  envelope.set("object", kind);
  envelope.set("created", 0);
  envelope.set("model", request.requested_model);
  envelope.set("choices", choices);
  return envelope;
}

std::string ChunkKind(const chat_request& request) {
  return request.chat ? "chat.completion.chunk" : "text_completion";
}

std::string MakeTokenData(const chat_request& request, int64_t index) {
  json_object::Ptr choice = new json_object;
  const std::string text = TokenText(request, index) + " ";
  if (request.chat) {
    json_object::Ptr delta = new json_object;
    delta->set("content", text);
    choice->set("delta", delta);
  } else {
    choice->set("text", text);
  }
  choice->set("finish_reason", Poco::Dynamic::Var());
  return ToText(MakeEnvelope(request, ChunkKind(request), choice));
}

std::string MakeFinishData(const chat_request& request) {
  json_object::Ptr choice = new json_object;
  if (request.chat) {
    json_object::Ptr delta = new json_object;
    choice->set("delta", delta);
  } else {
    choice->set("text", "");
  }
  choice->set("finish_reason", "length");
  json_object chunk = MakeEnvelope(request, ChunkKind(request), choice);
  chunk.set("usage", MakeUsage(request));
  return ToText(chunk);
}

}  // namespace

chat_request ParseChatRequest(const std::string& id,
                              bool chat,
                              const std::string& body) {
  const auto object = ParseObject(body);
  chat_request request;
  request.id = id;
  request.chat = chat;
  request.requested_model = object->getValue<std::string>("model");
  const std::size_t colon = request.requested_model.find(':');
  request.model = request.requested_model.substr(0, colon);
  if (colon != std::string::npos)
    request.adapter = request.requested_model.substr(colon + 1);
  request.prompt =
      chat ? JoinMessages(*object) : object->getValue<std::string>("prompt");
  request.max_tokens = object->optValue<Poco::Int64>(
      "max_tokens", object->optValue<Poco::Int64>("max_completion_tokens",
                                                  request.max_tokens));
  request.max_tokens = std::clamp<int64_t>(request.max_tokens, 1, kMaxTokens);
  request.stream = object->optValue<bool>("stream", false);
  request.priority = object->optValue<Poco::Int64>("priority", 0);
  return request;
}

std::string TokenText(const chat_request& request, int64_t index) {
  return LastWord(request.prompt) + "-" + std::to_string(index);
}

int64_t EventCount(const chat_request& request) {
  return request.max_tokens + kClosingEventCount;
}

std::string EventText(const chat_request& request, int64_t index) {
  std::string data = "[DONE]";
  if (index < request.max_tokens)
    data = MakeTokenData(request, index);
  else if (index == request.max_tokens)
    data = MakeFinishData(request);
  return "id: " + std::to_string(index) + "\ndata: " + data + "\n\n";
}

std::string AnswerText(const chat_request& request) {
  std::string text;
  for (int64_t i = 0; i < request.max_tokens; ++i)
    text += TokenText(request, i) + " ";
  json_object::Ptr choice = new json_object;
  if (request.chat) {
    json_object::Ptr message = new json_object;
    message->set("role", "assistant");
    message->set("content", text);
    choice->set("message", message);
  } else {
    choice->set("text", text);
  }
  choice->set("finish_reason", "length");
  json_object answer = MakeEnvelope(
      request, request.chat ? "chat.completion" : "text_completion", choice);
  answer.set("usage", MakeUsage(request));
  return ToText(answer);
}

}  // namespace jasminepath::standin
