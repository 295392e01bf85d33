#ifndef JASMINEPATH_NODE_CALL_WORKER_H_
#define JASMINEPATH_NODE_CALL_WORKER_H_

#include <memory>
#include <optional>

#include "answer_relay.h"
#include "call_channel.h"
#include "caller_connection.h"
#include "inbound_call.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/endpoint/exchange.h"
#include "node_event.h"

namespace jasminepath::node {

// Timeouts and size limits of a worker.
struct worker_limits {
  // Interval between checks whether a waiting caller has disconnected.
  duration caller_check_interval = Milliseconds(200);
  // A call without a command for this long is refused. The decision thread
  // normally ends every call well before.
  duration command_timeout = Seconds(3700);
  duration connect_timeout = Seconds(1);
  duration endpoint_idle_timeout = Seconds(30);
  // Timeout of the status request that checks whether an endpoint still runs.
  duration probe_timeout = Milliseconds(500);
  // Answers up to this size are buffered until they are complete.
  bytes max_buffered_answer = bytes(4 * 1024 * 1024);

  friend bool operator==(const worker_limits&, const worker_limits&) = default;
};

// Handles one call on the thread of its caller's connection: posts events to
// the decision thread, executes the commands that it sends back, and writes the
// answer.
class call_worker {
 public:
  // The references must outlive this object.
  call_worker(inbound_call call,
              caller_connection& caller,
              node_event_ring& events,
              const worker_limits& limits);

  // Handles the call until it ends.
  void Run();

 private:
  void PostEvent(node_event event);
  void ProcessCommands();
  // The next command; after the end of the decision thread, its last one.
  std::optional<call_command> WaitForCommand();
  refusal MakeLostCallRefusal() const;
  bool Execute(const run_attempt& command);
  bool Execute(const send_refusal& command);
  bool Execute(const send_recorded_answer& command);
  bool Execute(const finish_answer& command);
  endpoint::outbound_request MakeRequest(const run_attempt& command) const;
  decision::attempt_report MakeReport(
      const run_attempt& command,
      const result<endpoint::exchange_summary, endpoint::exchange_failure>&
          outcome);
  void CancelAtEngine(const run_attempt& command);
  void CheckCallerConnection();

  inbound_call call_;
  caller_connection& caller_;
  node_event_ring& events_;
  const worker_limits limits_;
  const std::shared_ptr<call_channel> channel_;
  answer_relay relay_;
  int64_t running_attempt_ = 0;
  bool has_reported_disconnect_ = false;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALL_WORKER_H_
