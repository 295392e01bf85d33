#include "platform_gateway.h"

#include <utility>

#include "jasminepath/base/digest.h"

namespace jasminepath::node {
namespace {

constexpr std::size_t kPollQueueCapacity = 64;
constexpr std::size_t kControlQueueCapacity = 512;
constexpr std::size_t kCallQueueCapacity = 1024;
constexpr std::size_t kCallExecutorCount = 4;

}  // namespace

platform_gateway::platform_gateway(
    const std::string& address,
    platform_throttle& throttle,
    std::function<void(platform_reply)> deliver) {
  const auto make_executor = [&](std::size_t capacity) {
    return std::make_unique<executor>(
        platform::platform_client(address, platform::client_timeouts{}),
        throttle, capacity, deliver);
  };
  poll_executor_ = make_executor(kPollQueueCapacity);
  control_executor_ = make_executor(kControlQueueCapacity);
  for (std::size_t i = 0; i < kCallExecutorCount; ++i)
    call_executors_.push_back(make_executor(kCallQueueCapacity));
}

bool platform_gateway::TrySubmit(platform_request& request) {
  return ExecutorFor(request.context).TrySubmit(request);
}

platform_gateway::executor& platform_gateway::ExecutorFor(
    const platform_call_context& context) {
  switch (context.purpose) {
    case platform_purpose::fact_poll:
    case platform_purpose::instance_poll:
    case platform_purpose::vm_poll:
      return *poll_executor_;
    case platform_purpose::claim_commit:
    case platform_purpose::claim_read:
    case platform_purpose::answer_record:
    case platform_purpose::answer_read:
    case platform_purpose::quarantine_commit:
      // All calls for one subject go to the same executor, which keeps them in
      // order.
      return *call_executors_[StableHash(context.subject) %
                              call_executors_.size()];
    case platform_purpose::instance_write:
    case platform_purpose::share_commit:
    case platform_purpose::share_read:
    case platform_purpose::vm_authority_commit:
    case platform_purpose::vm_authority_read:
    case platform_purpose::model_authority_commit:
    case platform_purpose::model_authority_read:
    case platform_purpose::window_save:
      return *control_executor_;
  }
  return *control_executor_;
}

platform_reply UnreachableReply(const platform_request& request) {
  return std::visit(
      [&request](const auto& call) {
        using outcome = typename std::decay_t<decltype(call)>::outcome;
        return platform_reply{request.context,
                              outcome(platform::platform_error::unreachable)};
      },
      request.call);
}

}  // namespace jasminepath::node
