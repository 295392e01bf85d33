#ifndef JASMINEPATH_NODE_CALL_CHANNEL_H_
#define JASMINEPATH_NODE_CALL_CHANNEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/endpoint/cancellation.h"

namespace jasminepath::node {

// Run one attempt at an endpoint and report its outcome.
struct run_attempt {
  int64_t attempt = 0;
  endpoint_id endpoint;
  // "ip:port".
  std::string address;
  // Whether the endpoint is a model engine, which supports resuming and
  // cancelling.
  bool is_engine = false;
  // The endpoint's process incarnation at the last poll; empty if not known.
  std::string incarnation;
  // Set to resume an interrupted stream: the attempt that started the stream,
  // and the index of the first missing event.
  std::optional<int64_t> resumed_attempt;
  int64_t resume_from = 0;
  time_point deadline;

  friend bool operator==(const run_attempt&, const run_attempt&) = default;
};

// End the call with a refusal.
struct send_refusal {
  refusal reason;

  friend bool operator==(const send_refusal&, const send_refusal&) = default;
};

// End the call with the answer that an earlier call recorded.
struct send_recorded_answer {
  // Encoded by EncodeRecordedAnswer().
  std::string encoded;

  friend bool operator==(const send_recorded_answer&,
                         const send_recorded_answer&) = default;
};

// End the call with the answer of its last attempt.
struct finish_answer {
  friend bool operator==(const finish_answer&, const finish_answer&) = default;
};

using call_command = std::
    variant<run_attempt, send_refusal, send_recorded_answer, finish_answer>;

// Carries commands from the decision thread to the worker that handles one
// caller's call. The worker is the only consumer; both sides share ownership.
class call_channel {
 public:
  call_channel() : commands_(kCapacity) {}

  // Never fails: a call has only one command at a time, so the ring has room.
  void Send(call_command command) { commands_.TryPush(std::move(command)); }

  // Asks the worker to cancel the running attempt at once. The next command
  // determines the answer to the caller.
  void CancelAttempt() { cancellation_.Cancel(); }

  // Waits up to `timeout` for a command.
  std::optional<call_command> Wait(duration timeout) {
    return commands_.PopWithin(timeout);
  }

  const endpoint::cancellation& cancellation() const { return cancellation_; }

 private:
  static constexpr std::size_t kCapacity = 8;

  bounded_ring<call_command> commands_;
  endpoint::cancellation cancellation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALL_CHANNEL_H_
