#ifndef JASMINEPATH_NODE_PLATFORM_GATEWAY_H_
#define JASMINEPATH_NODE_PLATFORM_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/platform/platform_client.h"
#include "platform_executor.h"
#include "platform_throttle.h"

namespace jasminepath::node {

// The node's platform executors: one for polls, one for authorities and
// membership, and several for the rows of callers' calls, so that a slow call
// of one kind does not delay the other kinds.
class platform_gateway {
 public:
  // `address` is "ip:port". `deliver` is called on the executors' threads.
  // `throttle` must outlive this object.
  platform_gateway(const std::string& address,
                   platform_throttle& throttle,
                   std::function<void(platform_reply)> deliver);

  // Returns false if the executor's queue is full; the call is not made in that
  // case, and `request` is unchanged.
  bool TrySubmit(platform_request& request);

 private:
  using executor = platform_executor<platform::platform_client>;

  executor& ExecutorFor(const platform_call_context& context);

  std::unique_ptr<executor> poll_executor_;
  std::unique_ptr<executor> control_executor_;
  std::vector<std::unique_ptr<executor>> call_executors_;
};

// Returns the reply for a request that was never sent.
platform_reply UnreachableReply(const platform_request& request);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PLATFORM_GATEWAY_H_
