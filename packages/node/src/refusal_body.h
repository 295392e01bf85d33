#ifndef JASMINEPATH_NODE_REFUSAL_BODY_H_
#define JASMINEPATH_NODE_REFUSAL_BODY_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/refusal.h"

namespace jasminepath::node {

// Returns the JSON body of a refusal:
// {"error":{"code","message","type"},"code","message","run","request_id"}.
// "error" has the structure that chat-completions clients expect.
std::string RefusalBody(const refusal& reason, const std::string& request);

// Returns the server-sent event that ends a stream early. Its data is
// RefusalBody(), and no "[DONE]" follows.
std::string RefusalEvent(const refusal& reason, const std::string& request);

// Returns the value of the Retry-After header in seconds, rounded up, at least
// 1.
int64_t RetryAfterSeconds(duration wait);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_REFUSAL_BODY_H_
