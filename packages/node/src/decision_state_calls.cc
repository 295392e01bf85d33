// The part of decision_state that handles callers' calls.

#include <chrono>
#include <utility>

#include "call_outcome.h"
#include "decision_state.h"
#include "jasminepath/config/configuration_index.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/report/event_log.h"
#include "node_metrics.h"
#include "platform_gateway.h"
#include "row_codec.h"

namespace jasminepath::node {
namespace {

using platform::platform_error;

int64_t UnixSeconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

std::string RowOf(const decision::claim_key& key) {
  return platform::ClaimRow(key.team, key.key_digest);
}

// Parses the claim in a table row. Returns nullopt if the row is absent. A
// claim that cannot be parsed is treated as a claim of unknown outcome.
std::optional<decision::stored_claim> ParseStoredClaim(
    const platform::table_row& row) {
  if (row.deleted || row.version == revision())
    return std::nullopt;
  auto record = DecodeClaim(row.value);
  if (!record) {
    record.emplace();
    record->state = decision::claim_state::unknown;
  }
  return decision::stored_claim{row.version, *record};
}

decision::write_status StatusOf(platform_error error) {
  return error == platform_error::outcome_lost
             ? decision::write_status::lost
             : decision::write_status::unreachable;
}

// Returns the route name under which a call is counted. The name is empty if no
// service matches, so that callers cannot create arbitrary metric names.
std::string RouteName(const config::configuration& source,
                      const decision::call_target& target) {
  if (const auto* model = std::get_if<decision::model_target>(&target)) {
    const bool known =
        config::FindModelService(source, model->model) != nullptr;
    return known ? model->model.value() : std::string();
  }
  const auto& call = std::get<decision::route_target>(target);
  const auto found = config::FindRoute(source, call.method, call.path);
  if (found.matched == nullptr)
    return std::string();
  return call.method + " " + found.matched->path_prefix;
}

bool IsEngine(const config::configuration& source, const service_id& id) {
  for (const config::service& service : source.services) {
    if (service.id == id)
      return service.kind == config::service_kind::model;
  }
  return false;
}

}  // namespace

void decision_state::OnEvent(call_arrived& event, time_point now) {
  call_registry_.Add(event.arrival.id, std::move(event.channel), now);
  if (open_call* call = call_registry_.Find(event.arrival.id)) {
    call->route = RouteName(*configuration_, event.arrival.target);
    call->may_have_run = event.arrival.idempotency_key.has_value();
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnArrival(std::move(event.arrival), now, actions);
  });
}

void decision_state::OnEvent(first_byte_received& event, time_point now) {
  if (open_call* call = call_registry_.Find(event.id)) {
    if (!call->first_byte)
      call->first_byte = now;
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnFirstByte(event.id, event.attempt, now, actions);
  });
}

void decision_state::OnEvent(attempt_ended& event, time_point now) {
  const open_call* call = call_registry_.Find(event.id);
  if (call != nullptr && call->should_record_answer && event.buffered_answer)
    pending_answers_.Put(event.id, std::move(*event.buffered_answer), now);
  dependencies_.log.Write(log_level::debug, "attempt_ended",
                          {{"request", event.id.value()},
                           {"attempt", event.attempt},
                           {"end", static_cast<int64_t>(event.report.end)},
                           {"run", ToString(event.report.run)}});
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnAttemptEnd(event.id, event.attempt, event.report, now, actions);
  });
}

void decision_state::OnEvent(caller_disconnected& event, time_point now) {
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnCallerDisconnected(event.id, now, actions);
  });
}

void decision_state::OnMessage(const instance_id& from,
                               const decision::admission_message& message,
                               time_point now) {
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnAdmissionMessage(from, message, now, actions);
  });
}

void decision_state::LogCallEnd(const request_id& id,
                                const open_call& call,
                                std::string_view outcome,
                                time_point now) const {
  dependencies_.log.Write(log_level::info, "call_ended",
                          {{"request", id.value()},
                           {"team", call.team.value()},
                           {"service", call.service.value()},
                           {"route", call.route},
                           {"outcome", outcome},
                           {"attempts", call.attempts},
                           {"total_ms", ToMilliseconds(now - call.arrived)}});
}

void decision_state::EndCall(const request_id& id,
                             call_command last,
                             std::optional<refusal_code> refused,
                             time_point now) {
  const auto call = call_registry_.End(id, std::move(last));
  if (!call)
    return;
  call_outcome outcome;
  outcome.team = call->team;
  outcome.service = call->service;
  outcome.route = call->route;
  outcome.refused = refused;
  outcome.total = now - call->arrived;
  if (call->first_byte)
    outcome.first_byte = *call->first_byte - call->arrived;
  LogCallEnd(id, *call, refused ? ToString(*refused) : "served", now);
  dependencies_.metrics.Record(outcome);
}

void decision_state::Execute(decision::refuse_call& action, time_point now) {
  const refusal_code code = action.reason.code;
  EndCall(action.id, send_refusal{std::move(action.reason)}, code, now);
}

void decision_state::Execute(decision::cut_call& action, time_point now) {
  const refusal_code code = action.reason.code;
  if (open_call* call = call_registry_.Find(action.id))
    call->channel->CancelAttempt();
  EndCall(action.id, send_refusal{std::move(action.reason)}, code, now);
}

void decision_state::Execute(decision::finish_call& action, time_point now) {
  EndCall(action.id, finish_answer{}, std::nullopt, now);
}

void decision_state::Execute(decision::dispatch_call& action, time_point) {
  open_call* call = call_registry_.Find(action.id);
  if (call == nullptr)
    return;
  call->team = action.team;
  call->service = action.service;
  call->should_record_answer = action.keep_answer;
  ++call->attempts;
  call->may_have_run = true;
  run_attempt command;
  command.attempt = action.attempt;
  command.endpoint = action.endpoint;
  command.address = action.address;
  command.is_engine = IsEngine(*configuration_, action.service);
  command.deadline = action.deadline;
  const auto incarnation = incarnations_.find(action.endpoint);
  if (incarnation != incarnations_.end())
    command.incarnation = incarnation->second;
  if (action.resume_position) {
    command.resumed_attempt = call->stream_attempt;
    command.resume_from = *action.resume_position;
    // Only the engine that started a stream can resume it.
    command.endpoint = call->stream_endpoint;
    command.address = call->stream_address;
  } else {
    call->stream_attempt = action.attempt;
    call->stream_endpoint = action.endpoint;
    call->stream_address = action.address;
  }
  dependencies_.log.Write(log_level::debug, "call_dispatched",
                          {{"request", action.id.value()},
                           {"attempt", action.attempt},
                           {"endpoint", action.endpoint.value()}});
  call->channel->Send(std::move(command));
}

void decision_state::Execute(decision::replay_answer& action, time_point) {
  Submit({{platform_purpose::answer_read, action.object_name, action.id, {}},
          get_object{action.object_name}});
}

void decision_state::Execute(decision::commit_claim& action, time_point) {
  const std::string row = RowOf(action.key);
  std::optional<std::string> value;
  if (action.record) {
    if (action.record->created_unix_s == 0)
      action.record->created_unix_s = UnixSeconds();
    value = EncodeClaim(*action.record);
  }
  Submit({{platform_purpose::claim_commit, row, action.id, {}},
          commit_rows{{{{row, action.expected}}, {{row, std::move(value)}}}}});
}

void decision_state::Execute(decision::read_claim& action, time_point) {
  const std::string row = RowOf(action.key);
  Submit({{platform_purpose::claim_read, row, action.id, {}},
          read_rows{row, revision()}});
}

void decision_state::Execute(decision::record_answer& action, time_point now) {
  const std::string* answer = pending_answers_.Find(action.id);
  if (answer == nullptr) {
    ApplyToCalls([&](auto& calls, auto& actions) {
      calls.OnAnswerRecorded(action.id, decision::record_status::unavailable,
                             now, actions);
    });
    return;
  }
  Submit({{platform_purpose::answer_record, action.object_name, action.id, {}},
          put_object{action.object_name, *answer}});
}

void decision_state::Execute(decision::send_admission_message& action,
                             time_point) {
  SendTo(action.to, std::move(action.message));
}

void decision_state::Execute(decision::publish_quarantine& action, time_point) {
  const std::string row =
      platform::kQuarantinePrefix + action.record.fingerprint.value();
  std::optional<std::string> value;
  if (action.record.state != decision::quarantine_state::cleared)
    value = EncodeQuarantine(action.record);
  Submit({{platform_purpose::quarantine_commit,
           action.record.fingerprint.value(),
           {},
           {}},
          commit_rows{{{{row, action.expected}}, {{row, std::move(value)}}}}});
}

void decision_state::OnClaimCommit(const platform_reply& reply,
                                   time_point now) {
  const auto& outcome = std::get<commit_rows::outcome>(reply.outcome);
  decision::claim_write_outcome converted;
  if (!outcome) {
    converted.status = StatusOf(outcome.error());
  } else if (outcome.value().committed) {
    converted.status = decision::write_status::committed;
    converted.version = outcome.value().version;
  } else {
    converted.status = decision::write_status::conflict;
    if (!outcome.value().conflicts.empty())
      converted.stored = ParseStoredClaim(outcome.value().conflicts.front());
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnClaimOutcome(reply.context.call, converted, now, actions);
  });
}

void decision_state::OnClaimRead(const platform_reply& reply, time_point now) {
  const auto& outcome = std::get<read_rows::outcome>(reply.outcome);
  decision::claim_read_outcome converted;
  if (outcome) {
    converted.answered = true;
    for (const platform::table_row& row : outcome.value().rows) {
      if (row.key == reply.context.subject)
        converted.stored = ParseStoredClaim(row);
    }
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnClaimRead(reply.context.call, converted, now, actions);
  });
}

void decision_state::OnQuarantineCommit(const platform_reply& reply,
                                        time_point now) {
  using status = decision::quarantine_write_outcome::status;
  const auto& outcome = std::get<commit_rows::outcome>(reply.outcome);
  decision::quarantine_write_outcome converted;
  if (!outcome) {
    converted.result = outcome.error() == platform_error::outcome_lost
                           ? status::lost
                           : status::unreachable;
  } else if (outcome.value().committed) {
    converted.result = status::committed;
    converted.version = outcome.value().version;
  } else {
    converted.result = status::conflict;
    if (!outcome.value().conflicts.empty()) {
      const platform::table_row& row = outcome.value().conflicts.front();
      converted.version = row.deleted ? revision() : row.version;
      if (!row.deleted)
        converted.stored = DecodeQuarantine(row.value);
    }
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnQuarantineOutcome(
        decision::request_fingerprint(reply.context.subject), converted, now,
        actions);
  });
}

void decision_state::OnAnswerRecord(const platform_reply& reply,
                                    time_point now) {
  const auto& outcome = std::get<put_object::outcome>(reply.outcome);
  const auto status = outcome ? decision::record_status::stored
                              : decision::record_status::failed;
  if (outcome)
    pending_answers_.Erase(reply.context.call);
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnAnswerRecorded(reply.context.call, status, now, actions);
  });
}

void decision_state::OnAnswerRead(const platform_reply& reply, time_point now) {
  const auto& outcome = std::get<get_object::outcome>(reply.outcome);
  if (outcome) {
    EndCall(reply.context.call, send_recorded_answer{outcome.value()},
            std::nullopt, now);
    return;
  }
  refusal reason{refusal_code::platform_unavailable, run_state::ran,
                 "the call ran; its recorded answer cannot be read now",
                 Seconds(1)};
  const refusal_code code = reason.code;
  EndCall(reply.context.call, send_refusal{std::move(reason)}, code, now);
}

}  // namespace jasminepath::node
