#include "platform_gateway.h"

#include <utility>

#include "jasminepath/base/digest.h"

namespace jasminepath::node {
namespace {

constexpr std::size_t kPollCapacity = 64;
constexpr std::size_t kControlCapacity = 512;
constexpr std::size_t kCallCapacity = 1024;
constexpr std::size_t kCallDuties = 4;

}  // namespace

platform_gateway::platform_gateway(
    const std::string& address,
    platform_throttle& throttle,
    std::function<void(platform_reply)> deliver) {
  const auto make = [&](std::size_t capacity) {
    return std::make_unique<duty>(
        platform::platform_client(address, platform::client_timeouts{}),
        throttle, capacity, deliver);
  };
  polls_ = make(kPollCapacity);
  control_ = make(kControlCapacity);
  for (std::size_t i = 0; i < kCallDuties; ++i)
    calls_.push_back(make(kCallCapacity));
}

bool platform_gateway::TrySubmit(platform_request& request) {
  return DutyFor(request.ticket).TrySubmit(request);
}

platform_gateway::duty& platform_gateway::DutyFor(
    const platform_ticket& ticket) {
  switch (ticket.purpose) {
    case platform_purpose::fact_poll:
    case platform_purpose::instance_poll:
    case platform_purpose::vm_poll:
      return *polls_;
    case platform_purpose::claim_commit:
    case platform_purpose::claim_read:
    case platform_purpose::answer_record:
    case platform_purpose::answer_read:
    case platform_purpose::quarantine_commit:
      // One subject always goes to the same duty, so that its calls stay in
      // order.
      return *calls_[StableHash(ticket.subject) % calls_.size()];
    case platform_purpose::instance_write:
    case platform_purpose::share_commit:
    case platform_purpose::share_read:
    case platform_purpose::vm_authority_commit:
    case platform_purpose::vm_authority_read:
    case platform_purpose::model_authority_commit:
    case platform_purpose::model_authority_read:
    case platform_purpose::window_save:
      return *control_;
  }
  return *control_;
}

platform_reply UnreachableReply(const platform_request& request) {
  return std::visit(
      [&request](const auto& call) {
        using outcome = typename std::decay_t<decltype(call)>::outcome;
        return platform_reply{request.ticket,
                              outcome(platform::platform_error::unreachable)};
      },
      request.call);
}

}  // namespace jasminepath::node
