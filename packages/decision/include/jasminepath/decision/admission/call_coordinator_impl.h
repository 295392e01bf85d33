#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_IMPL_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_IMPL_H_

// Member functions of call_coordinator; included only by call_coordinator.h.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminepath/base/digest.h"
#include "jasminepath/decision/admission/call_coordinator.h"
#include "jasminepath/decision/admission/call_refusals.h"

namespace jasminepath::decision {

// Number of peers that are notified directly of a suspected request. In a
// larger fleet, the other nodes learn of it from the committed fact only.
inline constexpr std::size_t kMaxNotifiedPeers = 16;
// Time after the end of a call during which its claim may still be cleaned up.
inline constexpr duration kClaimCleanUpTimeout = Seconds(120);

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnConfiguration(
    std::shared_ptr<const config::configuration> source,
    time_point now,
    action_list& actions) {
  if (source == nullptr || source->version < configuration_->version)
    return;
  for (const config::team& team : configuration_->teams) {
    if (config::FindTeam(*source, team.id) == nullptr)
      escrow_.SetTeam(team.id, tokens(0), tokens(0), now);
  }
  configuration_ = std::move(source);
  for (const config::team& team : configuration_->teams)
    escrow_.SetTeam(team.id, team.rate_per_second, team.burst, now);
  RefuseDisallowedCalls(now, actions);
  MarkAllQueues();
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnKeyFact(
    const config::team_key& key,
    revision version,
    time_point now,
    action_list& actions) {
  const bool was_valid = keys_.IsValid(key.id);
  keys_.Apply(key, version);
  if (!was_valid || keys_.IsValid(key.id))
    return;
  std::vector<request_id> affected;
  for (const auto& [id, call] : calls_) {
    if (call.resolved.caller.key == key.id && call.phase != call_phase::ended)
      affected.push_back(id);
  }
  for (const request_id& id : affected) {
    call_state& call = *Find(id);
    Fail(call, MakeKeyWithdrawnRefusal(call), now, actions);
  }
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnQuarantineFact(
    const quarantine_record& record,
    revision version,
    time_point now,
    action_list& actions) {
  quarantine_.OnFact(record, version, now, quarantine_output_);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnShare(
    const team_id& team,
    int64_t fraction_ppm,
    time_point now,
    action_list& actions) {
  escrow_.SetFraction(team, fraction_ppm, now);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnPeers(
    std::vector<instance_id> peers,
    time_point now,
    action_list& actions) {
  std::erase(peers, self_);
  peers_ = peers;
  retries_.SetNodes(static_cast<int64_t>(peers.size()) + 1);
  escrow_.SetPeers(std::move(peers));
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnReadiness(
    bool accepting,
    refusal_code why,
    time_point now,
    action_list& actions) {
  is_accepting_ = accepting;
  not_accepting_reason_ = why;
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnArrival(
    call_arrival arrival,
    time_point now,
    action_list& actions) {
  if (Find(arrival.id) != nullptr)
    return;
  if (!is_accepting_) {
    RefuseArrival(arrival, team_id(),
                  MakeNotReadyRefusal(not_accepting_reason_), actions);
    return;
  }
  if (static_cast<int64_t>(calls_.size()) >= limits_.max_calls) {
    RefuseArrival(arrival, team_id(), MakeTooManyCallsRefusal(), actions);
    return;
  }
  auto resolved = ResolveCall(arrival, keys_, *configuration_, limits_);
  if (!resolved) {
    RefuseArrival(arrival, team_id(), resolved.error(), actions);
    return;
  }
  Admit(std::move(arrival), std::move(resolved.value()), now, actions);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnFirstByte(
    const request_id& id,
    int64_t attempt,
    time_point,
    action_list&) {
  call_state* call = Find(id);
  if (call != nullptr && call->has_running_attempt && call->attempts == attempt)
    call->has_first_byte = true;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnAttemptEnd(
    const request_id& id,
    int64_t attempt,
    const attempt_report& report,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || !call->has_running_attempt ||
      call->attempts != attempt)
    return;
  CloseAttempt(*call, report, now);
  const bool endpoint_crashed =
      report.endpoint_died && report.run != run_state::not_run;
  if (call->phase == call_phase::ended) {
    if (endpoint_crashed)
      RecordEndpointCrash(*call, false, now);
    CleanUpCall(*call, now, actions);
  } else if (call->answered) {
    Finish(*call, now, actions);
  } else {
    const bool will_retry = TryTakeRetry(*call, now);
    if (endpoint_crashed)
      RecordEndpointCrash(*call, will_retry, now);
    if (!will_retry)
      FailAttempt(*call, now, actions);
    else if (!endpoint_crashed)
      Retry(*call, now, actions);
  }
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnCallerDisconnected(
    const request_id& id,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || call->phase == call_phase::ended)
    return;
  if (call->phase == call_phase::running) {
    // A call that must not be sent again runs to its end even without its
    // caller.
    if (!call->resolved.idempotent)
      return;
    actions.push_back(cut_call{id, MakeCallerDisconnectedRefusal(*call)});
  } else {
    actions.push_back(finish_call{id});
  }
  End(*call, now, actions);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnClaimOutcome(
    const request_id& id,
    const claim_write_outcome& outcome,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || !call->claim)
    return;
  ApplyClaimStep(*call, call->claim->OnWrite(outcome), now, actions);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnClaimRead(
    const request_id& id,
    const claim_read_outcome& outcome,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || !call->claim)
    return;
  const bool owner_is_live =
      outcome.stored && IsLive(outcome.stored->record.owner);
  ApplyClaimStep(*call, call->claim->OnRead(outcome, owner_is_live), now,
                 actions);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnAnswerRecorded(
    const request_id& id,
    record_status status,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || !call->claim)
    return;
  ApplyClaimStep(*call, call->claim->OnAnswerRecorded(status), now, actions);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnQuarantineOutcome(
    const request_fingerprint& fingerprint,
    const quarantine_write_outcome& outcome,
    time_point now,
    action_list& actions) {
  quarantine_.OnWriteOutcome(fingerprint, outcome, now, quarantine_output_);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnAdmissionMessage(
    const instance_id& from,
    const admission_message& message,
    time_point now,
    action_list& actions) {
  if (const auto* notice = std::get_if<suspect_notice>(&message))
    quarantine_.OnNotice(notice->record, now, quarantine_output_);
  else
    escrow_.OnMessage(from, message, now, escrow_output_);
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnRoutesChanged(
    time_point now,
    action_list& actions) {
  MarkAllQueues();
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnTick(
    time_point now,
    action_list& actions) {
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    call_state& call = *Find(wakeups_.begin()->second);
    CancelWakeup(call);
    WakeCall(call, now, actions);
    RemoveDoneCalls();
  }
  escrow_.OnTick(now, escrow_output_);
  quarantine_.OnTick(now, quarantine_output_);
  if (now >= last_pick_ + limits_.repick_interval) {
    last_pick_ = now;
    MarkAllQueues();
  }
  ProcessPendingWork(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
std::optional<time_point>
call_coordinator<Router, EscrowPolicy, Discipline>::NextDeadline() const {
  std::optional<time_point> next;
  const auto consider = [&next](std::optional<time_point> due) {
    if (due)
      next = next ? std::min(*next, *due) : *due;
  };
  if (!wakeups_.empty())
    consider(wakeups_.begin()->first);
  consider(escrow_.NextDeadline());
  consider(quarantine_.NextDeadline());
  const bool has_waiting_calls = std::any_of(
      queues_.begin(), queues_.end(),
      [](const auto& entry) { return !entry.second.calls.empty(); });
  if (has_waiting_calls)
    consider(last_pick_ + limits_.repick_interval);
  return next;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
std::vector<model_demand>
call_coordinator<Router, EscrowPolicy, Discipline>::Demand(
    time_point now) const {
  std::vector<model_demand> demands;
  for (const auto& [id, queue] : queues_) {
    if (id.model.empty())
      continue;
    model_demand demand;
    demand.model = id.model;
    demand.waiting = static_cast<int64_t>(queue.calls.size());
    demand.running = queue.running;
    demand.waiting_size = queue.calls.waiting_size();
    demand.arrivals = queue.arrivals;
    std::optional<duration> least;
    queue.calls.ForEach([&](const queued_call& call) {
      demand.oldest_wait = std::max(demand.oldest_wait, now - call.arrived);
      const duration left = call.deadline - now;
      least = least ? std::min(*least, left) : left;
    });
    demand.least_time_left =
        std::max(least.value_or(duration::zero()), duration::zero());
    demands.push_back(demand);
  }
  return demands;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
admission_status call_coordinator<Router, EscrowPolicy, Discipline>::Status(
    time_point now) {
  admission_status status;
  status.accepting = is_accepting_;
  status.open_calls = open_calls_;
  status.retries = retry_count_;
  status.quarantine_records = static_cast<int64_t>(quarantine_.size());
  for (const auto& [team, counted] : counters_) {
    team_admission entry;
    entry.team = team;
    entry.admitted = counted.admitted;
    entry.answered = counted.answered;
    entry.used = counted.used;
    entry.fraction_ppm = escrow_.fraction_ppm(team);
    entry.available = escrow_.Available(team, now);
    for (const auto& [code, count] : counted.refusals)
      entry.refusals.push_back({code, count});
    status.teams.push_back(std::move(entry));
  }
  for (const auto& [id, queue] : queues_) {
    status.queues.push_back({id, static_cast<int64_t>(queue.calls.size()),
                             queue.running, queue.calls.waiting_size()});
  }
  return status;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
call_state* call_coordinator<Router, EscrowPolicy, Discipline>::Find(
    const request_id& id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
auto call_coordinator<Router, EscrowPolicy, Discipline>::FindOrAddQueue(
    const call_state& call) -> service_queue& {
  const auto limit = static_cast<std::size_t>(call.resolved.queue_limit);
  const auto [found, added] = queues_.try_emplace(call.resolved.queue, limit);
  return found->second;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
bool call_coordinator<Router, EscrowPolicy, Discipline>::IsLive(
    const instance_id& instance) const {
  return instance == self_ ||
         std::find(peers_.begin(), peers_.end(), instance) != peers_.end();
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
std::string call_coordinator<Router, EscrowPolicy, Discipline>::MakeNonce() {
  const std::string number =
      std::to_string(random_()) + "." + std::to_string(random_());
  return self_.value() + "/" + number;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::RefuseDisallowedCalls(
    time_point now,
    action_list& actions) {
  std::vector<request_id> affected;
  for (const auto& [id, call] : calls_) {
    const bool is_waiting =
        call.phase != call_phase::running && call.phase != call_phase::ended;
    if (is_waiting && !IsStillAllowed(call.resolved, *configuration_))
      affected.push_back(id);
  }
  for (const request_id& id : affected) {
    call_state& call = *Find(id);
    Fail(call, MakeNoLongerAllowedRefusal(call), now, actions);
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::RefuseArrival(
    const call_arrival& arrival,
    const team_id& team,
    refusal reason,
    action_list& actions) {
  CountRefusal(team, reason.code);
  actions.push_back(refuse_call{arrival.id, std::move(reason)});
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Admit(
    call_arrival arrival,
    resolved_call resolved,
    time_point now,
    action_list& actions) {
  const auto verdict = quarantine_.Check(resolved.fingerprint, now);
  if (verdict == quarantine_verdict::refused) {
    const duration left = quarantine_.TimeLeft(resolved.fingerprint, now);
    RefuseArrival(arrival, resolved.caller.team, MakeQuarantinedRefusal(left),
                  actions);
    return;
  }
  const request_id id = arrival.id;
  call_state& call = calls_[id];
  call.arrival = std::move(arrival);
  // The secret is dropped as soon as it is no longer needed.
  call.arrival.presented_key.reset();
  call.resolved = std::move(resolved);
  call.arrived = now;
  call.deadline = now + call.resolved.time_allowed;
  ++open_calls_;
  service_queue& queue = FindOrAddQueue(call);
  queue.calls.set_limit(static_cast<std::size_t>(call.resolved.queue_limit));
  queue.priority = call.resolved.priority;
  ++queue.arrivals;
  ScheduleWakeup(call);
  if (verdict == quarantine_verdict::trial_open)
    BeginTrial(call, now);
  else
    Reserve(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::BeginTrial(
    call_state& call,
    time_point now) {
  call.phase = call_phase::trial;
  quarantine_.RequestTrial(call.resolved.fingerprint, call.arrival.id, now,
                           quarantine_output_);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Reserve(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.phase = call_phase::reserving;
  const team_id& team = call.resolved.caller.team;
  if (team.empty()) {
    OnReserved(call, now, actions);
    return;
  }
  escrow_.Reserve(call.arrival.id, team, call.resolved.size, call.deadline, now,
                  escrow_output_);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnReserved(
    call_state& call,
    time_point now,
    action_list& actions) {
  ++counters_[call.resolved.caller.team].admitted;
  const bool needs_claim =
      call.arrival.idempotency_key && !call.resolved.idempotent;
  if (needs_claim)
    BeginClaim(call, now, actions);
  else
    Enqueue(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnNotReserved(
    call_state& call,
    const reservation_refusal& why,
    time_point now,
    action_list& actions) {
  Fail(call, MakeRateRefusal(call, why), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::BeginClaim(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.phase = call_phase::claiming;
  const std::string nonce = MakeNonce();
  call.claim.emplace(nonce, call.resolved.fingerprint.value(), self_,
                     "answer/" + Sha256Hex(nonce));
  ApplyClaimStep(call, call.claim->Begin(), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Enqueue(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.phase = call_phase::queued;
  const auto displaced = FindOrAddQueue(call).calls.Push(
      {call.arrival.id, call.resolved.caller.team, call.resolved.size,
       call.resolved.weight, call.resolved.priority, call.arrived,
       call.deadline});
  queues_to_serve_.insert(call.resolved.queue);
  if (!displaced)
    return;
  call_state& refused = *Find(displaced->id);
  Fail(refused, MakeQueueFullRefusal(refused), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ServeQueue(
    const queue_id& id,
    time_point now,
    action_list& actions) {
  service_queue& queue = queues_.at(id);
  while (const queued_call* next = queue.calls.Peek()) {
    call_state& call = *Find(next->id);
    if (now >= call.deadline) {
      Expire(call, now, actions);
      continue;
    }
    const routing_choice choice = router_.Pick(MakeRoutingQuery(call), now);
    if (choice.verdict == routing_verdict::wait)
      return;
    if (choice.verdict == routing_verdict::picked) {
      queue.calls.Pop();
      Dispatch(call, ChooseSharedEndpoint(call, choice), now, actions);
    } else {
      Fail(call, MakeRoutingRefusal(call, choice.verdict), now, actions);
    }
  }
}

// Sends a copy of a request that is already running to the same endpoint until
// one copy has been answered, so that a request which crashes endpoints takes
// down only one of them.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
routing_choice
call_coordinator<Router, EscrowPolicy, Discipline>::ChooseSharedEndpoint(
    const call_state& call,
    const routing_choice& choice) const {
  const auto found = copies_.find(call.resolved.fingerprint);
  if (found == copies_.end() || found->second.succeeded)
    return choice;
  const running_copies& copies = found->second;
  const bool is_avoided = std::find(call.avoid.begin(), call.avoid.end(),
                                    copies.endpoint) != call.avoid.end();
  if (is_avoided)
    return choice;
  return {routing_verdict::picked, copies.endpoint, copies.address};
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::AddRunningCopy(
    const call_state& call,
    const routing_choice& choice) {
  running_copies& copies = copies_[call.resolved.fingerprint];
  if (copies.count++ > 0)
    return;
  copies.endpoint = choice.endpoint;
  copies.address = choice.address;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::RemoveRunningCopy(
    const call_state& call) {
  const auto found = copies_.find(call.resolved.fingerprint);
  found->second.succeeded = found->second.succeeded || call.answered;
  if (--found->second.count == 0)
    copies_.erase(found);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Dispatch(
    call_state& call,
    const routing_choice& choice,
    time_point now,
    action_list& actions) {
  if (call.attempts == 0)
    retries_.OnFirstAttempt();
  ++call.attempts;
  call.phase = call_phase::running;
  call.has_running_attempt = true;
  call.has_first_byte = false;
  call.endpoint = choice.endpoint;
  call.query = MakeRoutingQuery(call);
  router_.OnDispatched(call.endpoint, call.query, now);
  AddRunningCopy(call, choice);
  ++FindOrAddQueue(call).running;
  actions.push_back(dispatch_call{
      .id = call.arrival.id,
      .attempt = call.attempts,
      .service = call.resolved.queue.service,
      .endpoint = choice.endpoint,
      .address = choice.address,
      .idempotent = call.resolved.idempotent,
      .team = call.resolved.caller.team,
      .max_tokens = call.resolved.max_tokens,
      .resume_position = call.resume_position,
      .deadline = call.deadline,
      .keep_answer = call.claim.has_value(),
  });
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CloseAttempt(
    call_state& call,
    const attempt_report& report,
    time_point now) {
  router_.OnFinished(call.endpoint, call.query, report.end, now);
  --FindOrAddQueue(call).running;
  call.has_running_attempt = false;
  call.last_report = report;
  call.run = MergeRunStates(call.run, report.run);
  call.generated += report.generated;
  call.relayed = std::max(call.relayed, report.relayed);
  const bool relayed_error =
      report.end == attempt_end::server_error && report.relayed > bytes(0);
  call.answered = report.end == attempt_end::answered || relayed_error;
  RemoveRunningCopy(call);
  MarkQueuesOfService(call.resolved.queue.service);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::RecordEndpointCrash(
    call_state& call,
    bool should_retry,
    time_point now) {
  if (should_retry)
    call.phase = call_phase::trial;
  quarantine_.OnEndpointCrash(call.resolved.fingerprint, call.endpoint,
                              call.arrival.id, should_retry, now,
                              quarantine_output_);
  call.is_on_trial = false;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnTrialGranted(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.is_on_trial = true;
  if (call.attempts == 0)
    Reserve(call, now, actions);
  else
    Retry(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnTrialDenied(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (call.attempts > 0) {
    FailAttempt(call, now, actions);
    return;
  }
  const duration left = quarantine_.TimeLeft(call.resolved.fingerprint, now);
  Fail(call, MakeQuarantinedRefusal(left), now, actions);
}

// Returns whether the call may be sent again after its last attempt, and if so
// takes the retry from the budget.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
bool call_coordinator<Router, EscrowPolicy, Discipline>::TryTakeRetry(
    const call_state& call,
    time_point now) {
  const attempt_report& report = call.last_report;
  if (now >= call.deadline || call.attempts >= limits_.max_attempts)
    return false;
  if (report.end == attempt_end::cancelled)
    return false;
  const bool sent_nothing = report.end == attempt_end::connect_failed &&
                            report.run == run_state::not_run;
  if (!sent_nothing && !call.resolved.idempotent)
    return false;
  if (call.relayed > bytes(0) && !report.resume_position)
    return false;
  return sent_nothing || retries_.Take();
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Retry(
    call_state& call,
    time_point now,
    action_list& actions) {
  ++retry_count_;
  call.resume_position =
      call.relayed > bytes(0) ? call.last_report.resume_position : std::nullopt;
  // An endpoint that refused the call may accept it later, for example when its
  // model is loaded again. A stream is resumed at the endpoint where it
  // started.
  const bool refused = call.last_report.end == attempt_end::refused;
  if (!refused && !call.resume_position)
    call.avoid.push_back(call.endpoint);
  Enqueue(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::FailAttempt(
    call_state& call,
    time_point now,
    action_list& actions) {
  Fail(call, MakeAttemptRefusal(call), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Finish(
    call_state& call,
    time_point now,
    action_list& actions) {
  ++counters_[call.resolved.caller.team].answered;
  actions.push_back(finish_call{call.arrival.id});
  End(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Fail(
    call_state& call,
    refusal reason,
    time_point now,
    action_list& actions) {
  CountRefusal(call.resolved.caller.team, reason.code);
  const bool must_cut = call.has_running_attempt || call.relayed > bytes(0);
  if (must_cut)
    actions.push_back(cut_call{call.arrival.id, std::move(reason)});
  else
    actions.push_back(refuse_call{call.arrival.id, std::move(reason)});
  End(call, now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Replay(
    call_state& call,
    const std::string& object,
    time_point now,
    action_list& actions) {
  ++counters_[call.resolved.caller.team].answered;
  actions.push_back(replay_answer{call.arrival.id, object});
  End(call, now, actions);
}

// Marks the call as ended from the caller's point of view.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::End(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (call.phase == call_phase::queued)
    FindOrAddQueue(call).calls.Remove(call.arrival.id);
  if (call.phase == call_phase::trial)
    quarantine_.CancelTrialRequest(call.resolved.fingerprint, call.arrival.id);
  call.phase = call_phase::ended;
  call.expires_at = std::max(now, call.deadline) + limits_.attempt_grace;
  --open_calls_;
  if (call.has_running_attempt)
    ScheduleWakeup(call);
  else
    CleanUpCall(call, now, actions);
}

// Settles the tokens and closes the trial and the claim of a call that has
// ended and has no running attempt.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CleanUpCall(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.expires_at = now + kClaimCleanUpTimeout;
  Settle(call, now);
  CloseTrial(call, call.answered, now);
  CloseClaim(call, now, actions);
  ScheduleWakeup(call);
  QueueRemovalIfDone(call);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Settle(
    const call_state& call,
    time_point now) {
  const team_id& team = call.resolved.caller.team;
  const tokens used = ComputeUsedTokens(call);
  counters_[team].used += used;
  if (call.attempts > 0) {
    FindOrAddQueue(call).calls.OnUnused(team, call.resolved.priority,
                                        call.resolved.size - used);
  }
  if (!team.empty())
    escrow_.Settle(call.arrival.id, used, now, escrow_output_);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CloseClaim(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (!call.claim)
    return;
  const bool is_recordable =
      call.answered && call.relayed <= limits_.max_recorded_answer;
  if (is_recordable)
    ApplyClaimStep(call, call.claim->Record(), now, actions);
  else if (call.run == run_state::not_run)
    ApplyClaimStep(call, call.claim->Release(), now, actions);
  else
    ApplyClaimStep(call, call.claim->MarkUnknown(), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CloseTrial(
    call_state& call,
    bool succeeded,
    time_point now) {
  if (!std::exchange(call.is_on_trial, false))
    return;
  quarantine_.OnTrialEnd(call.resolved.fingerprint, call.arrival.id, succeeded,
                         now, quarantine_output_);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::QueueRemovalIfDone(
    const call_state& call) {
  const bool is_claim_closed = !call.claim || call.claim->IsClosed();
  if (call.phase == call_phase::ended && !call.has_running_attempt &&
      is_claim_closed)
    done_calls_.push_back(call.arrival.id);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::RemoveDoneCalls() {
  for (const request_id& id : std::exchange(done_calls_, {})) {
    if (call_state* call = Find(id)) {
      CancelWakeup(*call);
      calls_.erase(id);
    }
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ApplyClaimStep(
    call_state& call,
    const claim_step& step,
    time_point now,
    action_list& actions) {
  const request_id& id = call.arrival.id;
  const claim_key key{call.resolved.caller.team,
                      Sha256Hex(*call.arrival.idempotency_key)};
  if (const auto* write = std::get_if<claim_write>(&step)) {
    actions.push_back(commit_claim{id, key, write->expected, write->record});
  } else if (std::holds_alternative<claim_lookup>(step)) {
    actions.push_back(read_claim{id, key});
  } else if (const auto* pause = std::get_if<claim_pause>(&step)) {
    call.claim_wakeup_at = now + pause->length;
    ScheduleWakeup(call);
  } else if (std::holds_alternative<claim_granted>(step)) {
    Enqueue(call, now, actions);
  } else if (const auto* repeat = std::get_if<claim_repeat>(&step)) {
    Replay(call, repeat->answer_object, now, actions);
  } else if (const auto* rejected = std::get_if<claim_rejected>(&step)) {
    Fail(call, MakeClaimRefusal(*rejected), now, actions);
  } else if (const auto* store = std::get_if<claim_store_answer>(&step)) {
    actions.push_back(record_answer{id, store->answer_object});
  }
  QueueRemovalIfDone(call);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::WakeCall(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (call.claim_wakeup_at && now >= *call.claim_wakeup_at) {
    call.claim_wakeup_at.reset();
    ApplyClaimStep(call, call.claim->OnWake(), now, actions);
  }
  if (call.phase == call_phase::ended)
    WakeEndedCall(call, now, actions);
  else if (now >= call.deadline)
    Expire(call, now, actions);
  ScheduleWakeup(call);
}

// After `expires_at` of an ended call, stops waiting for the report of its cut
// attempt or for the outcome of its claim.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::WakeEndedCall(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (now < call.expires_at)
    return;
  if (call.has_running_attempt) {
    attempt_report unreported;
    unreported.end = attempt_end::cancelled;
    unreported.run = KnownRunState(call);
    CloseAttempt(call, unreported, now);
    CleanUpCall(call, now, actions);
    return;
  }
  call.claim.reset();
  QueueRemovalIfDone(call);
}

// Ends a call that has reached its deadline.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Expire(
    call_state& call,
    time_point now,
    action_list& actions) {
  Fail(call, MakeDeadlineRefusal(call), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ScheduleWakeup(
    call_state& call) {
  CancelWakeup(call);
  time_point wakeup_at =
      call.phase == call_phase::ended ? call.expires_at : call.deadline;
  if (call.claim_wakeup_at)
    wakeup_at = std::min(wakeup_at, *call.claim_wakeup_at);
  call.wakeup_at = wakeup_at;
  wakeups_.emplace(wakeup_at, call.arrival.id);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CancelWakeup(
    call_state& call) {
  if (call.wakeup_at)
    wakeups_.erase({*call.wakeup_at, call.arrival.id});
  call.wakeup_at.reset();
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ProcessPendingWork(
    time_point now,
    action_list& actions) {
  while (true) {
    ProcessEscrowOutput(now, actions);
    ProcessQuarantineOutput(now, actions);
    ServeMarkedQueues(now, actions);
    RemoveDoneCalls();
    const bool is_idle = escrow_output_ == escrow_output() &&
                         quarantine_output_ == quarantine_output() &&
                         queues_to_serve_.empty();
    if (is_idle)
      return;
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ProcessEscrowOutput(
    time_point now,
    action_list& actions) {
  escrow_output output = std::exchange(escrow_output_, {});
  for (escrow_message& entry : output.messages) {
    actions.push_back(
        send_admission_message{std::move(entry.to), std::move(entry.message)});
  }
  for (const request_id& id : output.granted) {
    call_state* call = Find(id);
    if (call != nullptr && call->phase == call_phase::reserving)
      OnReserved(*call, now, actions);
  }
  for (const reservation_refusal& why : output.refused) {
    call_state* call = Find(why.call);
    if (call != nullptr && call->phase == call_phase::reserving)
      OnNotReserved(*call, why, now, actions);
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::
    ProcessQuarantineOutput(time_point now, action_list& actions) {
  quarantine_output output = std::exchange(quarantine_output_, {});
  for (publish_quarantine& write : output.writes)
    actions.push_back(std::move(write));
  const std::size_t notified = std::min(peers_.size(), kMaxNotifiedPeers);
  for (const quarantine_record& record : output.notices) {
    for (std::size_t i = 0; i < notified; ++i)
      actions.push_back(
          send_admission_message{peers_[i], suspect_notice{record}});
  }
  for (const request_id& id : output.granted) {
    call_state* call = Find(id);
    if (call != nullptr && call->phase == call_phase::trial)
      OnTrialGranted(*call, now, actions);
  }
  for (const request_id& id : output.denied) {
    call_state* call = Find(id);
    if (call != nullptr && call->phase == call_phase::trial)
      OnTrialDenied(*call, now, actions);
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ServeMarkedQueues(
    time_point now,
    action_list& actions) {
  std::vector<std::pair<int64_t, queue_id>> order;
  for (const queue_id& id : std::exchange(queues_to_serve_, {}))
    order.emplace_back(queues_.at(id).priority, id);
  std::sort(order.begin(), order.end());
  for (const auto& [priority, id] : order)
    ServeQueue(id, now, actions);
}

// Marks all queues of the service to be served again, since they share its
// endpoints.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::MarkQueuesOfService(
    const service_id& service) {
  for (const auto& [id, queue] : queues_) {
    if (id.service == service && !queue.calls.empty())
      queues_to_serve_.insert(id);
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::MarkAllQueues() {
  for (const auto& [id, queue] : queues_) {
    if (!queue.calls.empty())
      queues_to_serve_.insert(id);
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::CountRefusal(
    const team_id& team,
    refusal_code code) {
  ++counters_[team].refusals[code];
}

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_IMPL_H_
