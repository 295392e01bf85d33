#ifndef JASMINEPATH_NODE_OPEN_CALL_REGISTRY_H_
#define JASMINEPATH_NODE_OPEN_CALL_REGISTRY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "call_channel.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"

namespace jasminepath::node {

// State of one open call outside the decision aggregates.
struct open_call {
  std::shared_ptr<call_channel> channel;
  time_point arrived;
  std::optional<time_point> first_byte;
  team_id team;
  service_id service;
  // The model, or "METHOD prefix" of a plain service's route.
  std::string route;
  // The attempt that started the answer's stream, and the endpoint where it
  // runs.
  int64_t stream_attempt = 0;
  endpoint_id stream_endpoint;
  std::string stream_address;
  // Whether the complete answer must be kept until it is recorded.
  bool should_record_answer = false;
  int64_t attempts = 0;
  // Whether this call, or an earlier one with its idempotency key, may have run
  // at an endpoint.
  bool may_have_run = false;
};

// The open calls of this node's workers. Used by the decision thread only.
class open_call_registry {
 public:
  void Add(const request_id& id,
           std::shared_ptr<call_channel> channel,
           time_point now);

  // Returns null if the call has ended.
  open_call* Find(const request_id& id);

  // Sends the call its last command and removes it. Returns its state, or
  // nullopt if the call has already ended.
  std::optional<open_call> End(const request_id& id, call_command last);

  // Calls `visit` with the id and the state of each call.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, call] : calls_)
      visit(id, call);
  }

  // Cancels running attempts and ends every call with the refusal; its run
  // state is `not_run` for calls that cannot have run.
  void AbortAll(const refusal& reason);

  std::size_t size() const { return calls_.size(); }

 private:
  std::unordered_map<request_id, open_call> calls_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_OPEN_CALL_REGISTRY_H_
