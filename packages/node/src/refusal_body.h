#ifndef JASMINEPATH_NODE_REFUSAL_BODY_H_
#define JASMINEPATH_NODE_REFUSAL_BODY_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/refusal.h"

namespace jasminepath::node {

// The JSON body of a refusal: {"error":{"code","message","type"},"run",
// "request_id"}; "error" has the shape that chat-completions clients read.
std::string RefusalBody(const refusal& reason, const std::string& request);

// The server-sent event that ends a stream early; it carries RefusalBody and
// no "[DONE]" follows it.
std::string RefusalEvent(const refusal& reason, const std::string& request);

// Whole seconds for the Retry-After header, rounded up, at least 1.
int64_t RetryAfterSeconds(duration wait);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_REFUSAL_BODY_H_
