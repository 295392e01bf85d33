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

// What the node keeps of one open call beside the decisions.
struct open_call {
  std::shared_ptr<call_channel> channel;
  time_point arrived;
  std::optional<time_point> first_byte;
  team_id team;
  service_id service;
  // The model, or "METHOD prefix" of a plain service's route.
  std::string route;
  // The attempt that began the answer's stream, and where it ran.
  int64_t stream_attempt = 0;
  endpoint_id stream_endpoint;
  std::string stream_address;
  // Whether the whole answer has to be kept for recording.
  bool should_record_answer = false;
  int64_t attempts = 0;
};

// The calls that wait at this node's workers. Used by the decision thread.
class open_call_registry {
 public:
  void Add(const request_id& id,
           std::shared_ptr<call_channel> channel,
           time_point now);

  // Null if the call has ended.
  open_call* Find(const request_id& id);

  // Gives the call its last command and forgets it. Returns what was kept, or
  // nothing if the call has ended already.
  std::optional<open_call> End(const request_id& id, call_command last);

  // Ends every call with the refusal, also those with an attempt running.
  void AbortAll(const refusal& reason);

  std::size_t size() const { return calls_.size(); }

 private:
  std::unordered_map<request_id, open_call> calls_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_OPEN_CALL_REGISTRY_H_
