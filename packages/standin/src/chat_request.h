#ifndef JASMINEPATH_STANDIN_CHAT_REQUEST_H_
#define JASMINEPATH_STANDIN_CHAT_REQUEST_H_

#include <cstdint>
#include <string>

#include "json_text.h"

namespace jasminepath::standin {

// One request for a chat completion or a text completion.
struct chat_request {
  std::string id;
  bool chat = true;
  // The requested name "model" or "model:adapter", and its parts.
  std::string requested_model;
  std::string model;
  std::string adapter;
  // The contents of all messages of a chat, or the prompt.
  std::string prompt;
  int64_t max_tokens = 16;
  bool stream = false;
  int64_t priority = 0;

  friend bool operator==(const chat_request&, const chat_request&) = default;
};

// Parses a request body. Throws Poco::Exception if it is malformed.
chat_request ParseChatRequest(const std::string& id,
                              bool chat,
                              const std::string& body);

// The token with an index: the last word of the prompt, a dash and the index,
// so that tests can detect answers to other requests and missing tokens.
std::string TokenText(const chat_request& request, int64_t index);

// One server-sent event. Events 0 to max_tokens - 1 carry one token each; the
// finish event and the event "[DONE]" follow.
std::string EventText(const chat_request& request, int64_t index);

// The number of events in a complete stream.
int64_t EventCount(const chat_request& request);

// The body of a complete answer that is not streamed.
std::string AnswerText(const chat_request& request);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_CHAT_REQUEST_H_
