#include "open_call_registry.h"

#include <utility>

namespace jasminepath::node {

void open_call_registry::Add(const request_id& id,
                             std::shared_ptr<call_channel> channel,
                             time_point now) {
  open_call call;
  call.channel = std::move(channel);
  call.arrived = now;
  calls_.emplace(id, std::move(call));
}

open_call* open_call_registry::Find(const request_id& id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

std::optional<open_call> open_call_registry::End(const request_id& id,
                                                 call_command last) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return std::nullopt;
  open_call call = std::move(found->second);
  calls_.erase(found);
  call.channel->Send(std::move(last));
  return call;
}

void open_call_registry::AbortAll(const refusal& reason) {
  for (auto& [id, call] : calls_) {
    send_refusal last{reason};
    if (!call.may_have_run)
      last.reason.run = run_state::not_run;
    call.channel->CancelAttempt();
    call.channel->Send(std::move(last));
  }
  calls_.clear();
}

}  // namespace jasminepath::node
