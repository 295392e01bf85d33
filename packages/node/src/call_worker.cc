#include "call_worker.h"

#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "endpoint_address_parser.h"
#include "jasminepath/endpoint/engine_client.h"
#include "recorded_answer.h"

namespace jasminepath::node {
namespace {

constexpr int kFirstServerErrorStatus = 500;
constexpr duration kRingFullRetryInterval = Milliseconds(1);
// The decision thread sends the last commands right after it has closed the
// ring.
constexpr duration kLastCommandTimeout = Seconds(1);

using endpoint::exchange_failure;
using endpoint::exchange_failure_kind;
using endpoint::exchange_summary;

decision::attempt_end EndOf(exchange_failure_kind kind) {
  switch (kind) {
    case exchange_failure_kind::connect_failed:
      return decision::attempt_end::connect_failed;
    case exchange_failure_kind::silent:
      return decision::attempt_end::silent;
    case exchange_failure_kind::cancelled:
    case exchange_failure_kind::deadline:
      return decision::attempt_end::cancelled;
    case exchange_failure_kind::cut:
    case exchange_failure_kind::crossed:
    case exchange_failure_kind::malformed:
      return decision::attempt_end::cut;
  }
  return decision::attempt_end::cut;
}

decision::attempt_end EndOf(const exchange_summary& summary) {
  if (summary.run == run_state::not_run)
    return decision::attempt_end::refused;
  if (summary.status >= kFirstServerErrorStatus)
    return decision::attempt_end::server_error;
  return decision::attempt_end::answered;
}

std::string MakeAttemptId(const request_id& call, int64_t attempt) {
  return call.value() + "." + std::to_string(attempt);
}

// Whether the endpoint's process has ended since its `incarnation` was
// observed.
bool HasProcessEnded(const run_attempt& command, duration timeout) {
  const auto address = ParseEndpointAddress(command.address);
  if (!address)
    return false;
  const endpoint::engine_client client(*address, timeout);
  const auto status = client.Status();
  if (!status)
    return status.error().kind == endpoint::engine_error_kind::unreachable;
  return !command.incarnation.empty() &&
         status.value().incarnation != command.incarnation;
}

bool CanHaveEnded(decision::attempt_end end) {
  return end == decision::attempt_end::cut ||
         end == decision::attempt_end::silent;
}

}  // namespace

call_worker::call_worker(inbound_call call,
                         caller_connection& caller,
                         node_event_ring& events,
                         const worker_limits& limits)
    : call_(std::move(call)),
      caller_(caller),
      events_(events),
      limits_(limits),
      channel_(std::make_shared<call_channel>()),
      relay_(
          caller,
          call_.arrival.streamed,
          limits.max_buffered_answer,
          [this] {
            PostEvent(first_byte_received{call_.arrival.id, running_attempt_});
          }) {}

void call_worker::Run() {
  node_event arrival = call_arrived{call_.arrival, channel_};
  if (!events_.TryPush(arrival)) {
    caller_.SendRefusal(
        events_.closed()
            ? refusal{refusal_code::shutting_down, run_state::not_run,
                      "this node is stopping", Seconds(1)}
            : refusal{refusal_code::queue_full, run_state::not_run,
                      "this node is busy; try again", Seconds(1)});
    return;
  }
  ProcessCommands();
}

// After the decision thread has received the call, it must receive every event
// of that call. The ring drains quickly, so the wait is short.
void call_worker::PostEvent(node_event event) {
  while (!events_.TryPush(event)) {
    if (events_.closed())
      return;
    std::this_thread::sleep_for(kRingFullRetryInterval);
  }
}

void call_worker::ProcessCommands() {
  time_point command_deadline = boot_clock::now() + limits_.command_timeout;
  while (boot_clock::now() < command_deadline) {
    const auto command = WaitForCommand();
    if (!command && events_.closed())
      break;
    if (!command) {
      CheckCallerConnection();
      continue;
    }
    const bool is_open = std::visit(
        [this](const auto& value) { return Execute(value); }, *command);
    if (!is_open)
      return;
    command_deadline = boot_clock::now() + limits_.command_timeout;
  }
  caller_.SendRefusal(MakeLostCallRefusal());
}

std::optional<call_command> call_worker::WaitForCommand() {
  auto command = channel_->Wait(limits_.caller_check_interval);
  if (!command && events_.closed())
    return channel_->Wait(kLastCommandTimeout);
  return command;
}

refusal call_worker::MakeLostCallRefusal() const {
  if (!events_.closed()) {
    return {refusal_code::internal_error, run_state::unknown,
            "the node lost track of the call", std::nullopt};
  }
  // An earlier call with the same idempotency key may have run.
  const bool may_have_run =
      running_attempt_ > 0 || call_.arrival.idempotency_key.has_value();
  return {refusal_code::shutting_down,
          may_have_run ? run_state::unknown : run_state::not_run,
          "the node was stopped while the call was open", std::nullopt};
}

bool call_worker::Execute(const run_attempt& command) {
  running_attempt_ = command.attempt;
  relay_.BeginAttempt(command.resumed_attempt.has_value());
  endpoint::exchange_deadlines deadlines;
  deadlines.overall = command.deadline;
  deadlines.connect_timeout = limits_.connect_timeout;
  deadlines.idle_limit = limits_.endpoint_idle_timeout;
  const auto outcome = endpoint::Run(MakeRequest(command), relay_,
                                     channel_->cancellation(), deadlines);
  attempt_ended event{call_.arrival.id, command.attempt,
                      MakeReport(command, outcome), std::nullopt};
  const bool answered = event.report.end == decision::attempt_end::answered &&
                        !relay_.has_relayed();
  if (answered) {
    event.buffered_answer = EncodeRecordedAnswer(
        {relay_.status(), relay_.headers(), relay_.buffered_body()});
  }
  if (event.report.end == decision::attempt_end::cancelled)
    CancelAtEngine(command);
  PostEvent(std::move(event));
  if (relay_.is_caller_gone())
    PostEvent(caller_disconnected{call_.arrival.id});
  return true;
}

bool call_worker::Execute(const send_refusal& command) {
  caller_.SendRefusal(command.reason);
  return false;
}

bool call_worker::Execute(const send_recorded_answer& command) {
  const auto answer = DecodeRecordedAnswer(command.encoded);
  if (!answer) {
    caller_.SendRefusal(refusal{refusal_code::outcome_unknown, run_state::ran,
                                "the recorded answer cannot be read",
                                std::nullopt});
    return false;
  }
  caller_.SendAnswer(answer->status, answer->headers, answer->body);
  return false;
}

bool call_worker::Execute(const finish_answer&) {
  relay_.Finish();
  return false;
}

endpoint::outbound_request call_worker::MakeRequest(
    const run_attempt& command) const {
  const auto address = ParseEndpointAddress(command.address)
                           .value_or(endpoint::endpoint_address{});
  if (command.resumed_attempt) {
    return endpoint::ResumeRequest(
        address,
        request_id(MakeAttemptId(call_.arrival.id, *command.resumed_attempt)),
        command.resume_from);
  }
  endpoint::outbound_request request;
  request.address = address;
  request.method = call_.method;
  request.path = call_.endpoint_path;
  request.headers = call_.endpoint_headers;
  request.body = call_.endpoint_body;
  request.request_id = MakeAttemptId(call_.arrival.id, command.attempt);
  request.echo = call_.is_engine ? endpoint::echo_rule::required
                                 : endpoint::echo_rule::if_present;
  return request;
}

decision::attempt_report call_worker::MakeReport(
    const run_attempt& command,
    const result<exchange_summary, exchange_failure>& outcome) {
  decision::attempt_report report;
  report.generated = relay_.generated();
  report.relayed = bytes(relay_.has_relayed() ? 1 : 0);
  if (outcome && relay_.is_complete()) {
    report.end = EndOf(outcome.value());
    report.run = outcome.value().run;
    return report;
  }
  if (outcome) {
    // The connection ended cleanly, but the stream lacks its last event.
    report.end = decision::attempt_end::cut;
    report.run = run_state::ran;
  } else {
    report.end = EndOf(outcome.error().kind);
    report.run = outcome.error().run;
  }
  if (relay_.is_resumable())
    report.resume_position = relay_.next_event();
  if (CanHaveEnded(report.end))
    report.endpoint_died = HasProcessEnded(command, limits_.probe_timeout);
  return report;
}

void call_worker::CancelAtEngine(const run_attempt& command) {
  if (!command.is_engine)
    return;
  const auto address = ParseEndpointAddress(command.address);
  if (!address)
    return;
  const endpoint::engine_client client(*address, limits_.probe_timeout);
  // Best effort: closing the connection also ends the generation.
  (void)client.Cancel(
      request_id(MakeAttemptId(call_.arrival.id, command.attempt)));
}

void call_worker::CheckCallerConnection() {
  if (has_reported_disconnect_ || !caller_.IsCallerGone())
    return;
  has_reported_disconnect_ = true;
  PostEvent(caller_disconnected{call_.arrival.id});
}

}  // namespace jasminepath::node
