#ifndef JASMINEPATH_NODE_MODEL_CALL_PARSER_H_
#define JASMINEPATH_NODE_MODEL_CALL_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath::node {

// The model API for which a body is parsed.
enum class model_api { chat_completions, completions };

// Why a body was rejected. `message` names the field and the expected value.
struct parse_error {
  std::string message;

  friend bool operator==(const parse_error&, const parse_error&) = default;
};

// Limits on the generation that a caller can request.
struct model_call_limits {
  // Used if the body sets no limit.
  tokens default_max_tokens = tokens(512);
  // Upper limit of the value in a body.
  tokens max_tokens_limit = tokens(32768);

  friend bool operator==(const model_call_limits&,
                         const model_call_limits&) = default;
};

// A validated body of a model API call.
struct model_call {
  model_id model;
  adapter_id adapter;
  // Upper estimate of the prompt length.
  tokens prompt;
  // Maximum number of generated tokens.
  tokens max_tokens;
  bool is_streamed = false;
  // Stable hash of the start of the prompt.
  uint64_t prefix_hash = 0;
  // The body for the endpoint; it always contains "max_tokens".
  std::string endpoint_body;

  friend bool operator==(const model_call&, const model_call&) = default;
};

// Parses and validates the JSON body of a chat-completions or completions call.
// The field "model" is "<model>" or "<model>:<adapter>". Unknown fields are
// passed through to the endpoint.
result<model_call, parse_error> ParseModelCall(model_api api,
                                               const std::string& body,
                                               const model_call_limits& limits);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_MODEL_CALL_PARSER_H_
