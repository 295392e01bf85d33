#ifndef JASMINEPATH_NODE_MODEL_CALL_PARSER_H_
#define JASMINEPATH_NODE_MODEL_CALL_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath::node {

// Which of the two model APIs a body belongs to.
enum class model_api { chat_completions, completions };

// Why a body was not accepted; `message` names the field and the mend.
struct parse_error {
  std::string message;

  friend bool operator==(const parse_error&, const parse_error&) = default;
};

// Bounds on what a caller may ask for.
struct model_call_limits {
  // Used where the body sets none.
  tokens default_max_tokens = tokens(512);
  // The most that a body may set.
  tokens max_tokens_limit = tokens(32768);

  friend bool operator==(const model_call_limits&,
                         const model_call_limits&) = default;
};

// One checked body of the model APIs.
struct model_call {
  model_id model;
  adapter_id adapter;
  // Upper estimate of the prompt's length.
  tokens prompt;
  // The most that may be generated.
  tokens max_tokens;
  bool is_streamed = false;
  // Stable hash of the prompt's leading part.
  uint64_t prefix_hash = 0;
  // The body for the endpoint; always bounds the generation.
  std::string endpoint_body;

  friend bool operator==(const model_call&, const model_call&) = default;
};

// Checks the JSON body of a chat-completions or completions call. The field
// "model" is "<model>" or "<model>:<adapter>". Unknown fields pass through.
result<model_call, parse_error> ParseModelCall(model_api api,
                                               const std::string& body,
                                               const model_call_limits& limits);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_MODEL_CALL_PARSER_H_
