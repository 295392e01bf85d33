#ifndef JASMINEPATH_STANDIN_CHAT_REQUEST_H_
#define JASMINEPATH_STANDIN_CHAT_REQUEST_H_

#include <cstdint>
#include <string>

#include "json_text.h"

namespace jasminepath::standin {

// One completion request, chat or plain.
struct chat_request {
  std::string id;
  bool chat = true;
  // The model as it was asked for, and its parts.
  std::string requested_model;
  std::string model;
  std::string adapter;
  // The contents of all messages, or the prompt.
  std::string prompt;
  int64_t max_tokens = 16;
  bool stream = false;
  int64_t priority = 0;

  friend bool operator==(const chat_request&, const chat_request&) = default;
};

// Parses a request body; an exception of Poco's if it is malformed.
chat_request ParseChatRequest(const std::string& id,
                              bool chat,
                              const std::string& body);

// The token with an index: the prompt's last word, a dash and the index, so
// that a reader can tell whose answer it is and that no token is missing.
std::string TokenText(const chat_request& request, int64_t index);

// One server-sent event. Events 0 to max_tokens - 1 carry a token each, then
// come the finish event and the event "[DONE]".
std::string EventText(const chat_request& request, int64_t index);

// How many events a whole stream has.
int64_t EventCount(const chat_request& request);

// The body of a whole answer that is not streamed.
std::string AnswerText(const chat_request& request);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_CHAT_REQUEST_H_
