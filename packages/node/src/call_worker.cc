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
constexpr duration kFullRingPause = Milliseconds(1);

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

std::string AttemptId(const request_id& call, int64_t attempt) {
  return call.value() + "." + std::to_string(attempt);
}

// Whether the endpoint's process has ended since it had `incarnation`.
bool HasEnded(const run_attempt& command, duration timeout) {
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

bool MayHaveEnded(decision::attempt_end end) {
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
      relay_(caller, call_.arrival.streamed, limits.held_answer_bytes, [this] {
        Tell(first_byte_seen{call_.arrival.id, running_attempt_});
      }) {}

void call_worker::Run() {
  node_event arrival = call_arrived{call_.arrival, channel_};
  if (!events_.TryPush(arrival)) {
    caller_.SendRefusal(refusal{refusal_code::queue_full, run_state::not_run,
                                "this node is busy; try again", Seconds(1)});
    return;
  }
  Await();
}

// Once the decision thread knows of the call every event must reach it; the
// ring empties quickly, so that waiting is short.
void call_worker::Tell(node_event event) {
  while (!events_.TryPush(event)) {
    if (events_.closed())
      return;
    std::this_thread::sleep_for(kFullRingPause);
  }
}

void call_worker::Await() {
  time_point give_up = boot_clock::now() + limits_.longest_silence;
  while (boot_clock::now() < give_up) {
    const auto command = channel_->Wait(limits_.caller_check);
    if (!command && events_.closed())
      break;
    if (!command) {
      CheckCaller();
      continue;
    }
    const bool more = std::visit(
        [this](const auto& value) { return Carry(value); }, *command);
    if (!more)
      return;
    give_up = boot_clock::now() + limits_.longest_silence;
  }
  caller_.SendRefusal(refusal{refusal_code::internal_error, run_state::unknown,
                              "the node lost track of the call", std::nullopt});
}

bool call_worker::Carry(const run_attempt& command) {
  running_attempt_ = command.attempt;
  relay_.BeginAttempt(command.resumed_attempt.has_value());
  endpoint::exchange_deadlines deadlines;
  deadlines.overall = command.deadline;
  deadlines.connect_timeout = limits_.connect_timeout;
  deadlines.idle_limit = limits_.endpoint_idle_limit;
  const auto outcome = endpoint::Run(MakeRequest(command), relay_,
                                     channel_->cancellation(), deadlines);
  attempt_ended event{call_.arrival.id, command.attempt,
                      Report(command, outcome), std::nullopt};
  const bool answered =
      event.report.end == decision::attempt_end::answered && !relay_.relayed();
  if (answered) {
    event.held_answer = EncodeRecordedAnswer(
        {relay_.status(), relay_.headers(), relay_.held()});
  }
  if (event.report.end == decision::attempt_end::cancelled)
    CancelAtEngine(command);
  Tell(std::move(event));
  if (relay_.caller_gone())
    Tell(caller_left{call_.arrival.id});
  return true;
}

bool call_worker::Carry(const give_refusal& command) {
  caller_.SendRefusal(command.reason);
  return false;
}

bool call_worker::Carry(const give_recorded_answer& command) {
  const auto answer = DecodeRecordedAnswer(command.encoded);
  if (!answer) {
    caller_.SendRefusal(refusal{refusal_code::outcome_unknown, run_state::ran,
                                "the recorded answer cannot be read",
                                std::nullopt});
    return false;
  }
  caller_.SendWhole(answer->status, answer->headers, answer->body);
  return false;
}

bool call_worker::Carry(const finish_answer&) {
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
        request_id(AttemptId(call_.arrival.id, *command.resumed_attempt)),
        command.resume_from);
  }
  endpoint::outbound_request request;
  request.address = address;
  request.method = call_.method;
  request.path = call_.endpoint_path;
  request.headers = call_.endpoint_headers;
  request.body = call_.endpoint_body;
  request.request_id = AttemptId(call_.arrival.id, command.attempt);
  request.echo = call_.engine ? endpoint::echo_rule::required
                              : endpoint::echo_rule::if_present;
  return request;
}

decision::attempt_report call_worker::Report(
    const run_attempt& command,
    const result<exchange_summary, exchange_failure>& outcome) {
  decision::attempt_report report;
  report.generated = relay_.generated();
  report.relayed = bytes(relay_.relayed() ? 1 : 0);
  if (outcome && relay_.whole()) {
    report.end = EndOf(outcome.value());
    report.run = outcome.value().run;
    return report;
  }
  if (outcome) {
    // The stream ended cleanly, but without its last event.
    report.end = decision::attempt_end::cut;
    report.run = run_state::ran;
  } else {
    report.end = EndOf(outcome.error().kind);
    report.run = outcome.error().run;
  }
  if (relay_.resumable())
    report.resume_position = relay_.next_event();
  if (MayHaveEnded(report.end))
    report.endpoint_died = HasEnded(command, limits_.probe_timeout);
  return report;
}

void call_worker::CancelAtEngine(const run_attempt& command) {
  if (!command.engine)
    return;
  const auto address = ParseEndpointAddress(command.address);
  if (!address)
    return;
  const endpoint::engine_client client(*address, limits_.probe_timeout);
  // Best effort: closing the connection ends the work as well.
  (void)client.Cancel(request_id(AttemptId(call_.arrival.id, command.attempt)));
}

void call_worker::CheckCaller() {
  if (told_gone_ || !caller_.CallerGone())
    return;
  told_gone_ = true;
  Tell(caller_left{call_.arrival.id});
}

}  // namespace jasminepath::node
