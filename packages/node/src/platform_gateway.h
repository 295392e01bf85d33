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

// The node's platform duties: one for polls, one for authorities and
// membership, and several for the callers' own rows, so that a slow call of
// one kind holds back no other.
class platform_gateway {
 public:
  // `address` is "ip:port". `deliver` is called on the duties' threads; both
  // references outlive this object.
  platform_gateway(const std::string& address,
                   platform_throttle& throttle,
                   std::function<void(platform_reply)> deliver);

  // False when the duty's ring is full; the call was not made then and
  // `request` is as it was.
  bool TrySubmit(platform_request& request);

 private:
  using executor = platform_executor<platform::platform_client>;

  executor& ExecutorFor(const platform_call_context& context);

  std::unique_ptr<executor> poll_executor_;
  std::unique_ptr<executor> control_executor_;
  std::vector<std::unique_ptr<executor>> call_executors_;
};

// The reply that stands for a request which was never made.
platform_reply UnreachableReply(const platform_request& request);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PLATFORM_GATEWAY_H_
