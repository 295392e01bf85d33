#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_IMPL_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_IMPL_H_

// Members of call_coordinator; included by call_coordinator.h only.

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

// Peers that are told of a suspected request directly; in a larger fleet the
// committed fact alone tells the rest.
inline constexpr std::size_t kMaxNotifiedPeers = 16;
// How long a call that has ended may still tidy up its claim.
inline constexpr duration kTidyUpTime = Seconds(120);

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
  Drain(now, actions);
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
    Fail(call, KeyWithdrawnRefusal(call), now, actions);
  }
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnReadiness(
    bool accepting,
    refusal_code why,
    time_point now,
    action_list& actions) {
  accepting_ = accepting;
  refusing_why_ = why;
  Drain(now, actions);
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
  if (!accepting_) {
    RefuseArrival(arrival, team_id(), NotReadyRefusal(refusing_why_), actions);
    return;
  }
  if (static_cast<int64_t>(calls_.size()) >= limits_.max_calls) {
    RefuseArrival(arrival, team_id(), TooManyCallsRefusal(), actions);
    return;
  }
  auto resolved = ResolveCall(arrival, keys_, *configuration_, limits_);
  if (!resolved) {
    RefuseArrival(arrival, team_id(), resolved.error(), actions);
    return;
  }
  Admit(std::move(arrival), std::move(resolved.value()), now, actions);
  Drain(now, actions);
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
  if (call != nullptr && call->attempt_out && call->attempts == attempt)
    call->first_byte = true;
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
  if (call == nullptr || !call->attempt_out || call->attempts != attempt)
    return;
  CloseAttempt(*call, report, now);
  const bool died = report.endpoint_died && report.run != run_state::not_run;
  if (call->phase == call_phase::ended) {
    if (died)
      NoteDeath(*call, false, now);
    TidyUp(*call, now, actions);
  } else if (call->answered) {
    Finish(*call, now, actions);
  } else {
    const bool retries = MayRetry(*call, now);
    if (died)
      NoteDeath(*call, retries, now);
    if (!retries)
      FailAttempt(*call, now, actions);
    else if (!died)
      Retry(*call, now, actions);
  }
  Drain(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnCallerGone(
    const request_id& id,
    time_point now,
    action_list& actions) {
  call_state* call = Find(id);
  if (call == nullptr || call->phase == call_phase::ended)
    return;
  if (call->phase == call_phase::running) {
    // A call that may not be sent again runs to its end, whoever listens.
    if (!call->resolved.idempotent)
      return;
    actions.push_back(cut_call{id, CallerGoneRefusal(*call)});
  } else {
    actions.push_back(finish_call{id});
  }
  End(*call, now, actions);
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
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
  Drain(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnRoutesChanged(
    time_point now,
    action_list& actions) {
  MarkAllQueues();
  Drain(now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnTick(
    time_point now,
    action_list& actions) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    call_state& call = *Find(wakes_.begin()->second);
    Unschedule(call);
    WakeCall(call, now, actions);
    ForgetDoneCalls();
  }
  escrow_.OnTick(now, escrow_output_);
  quarantine_.OnTick(now, quarantine_output_);
  if (now >= last_pick_ + limits_.repick_interval) {
    last_pick_ = now;
    MarkAllQueues();
  }
  Drain(now, actions);
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
  if (!wakes_.empty())
    consider(wakes_.begin()->first);
  consider(escrow_.NextDeadline());
  consider(quarantine_.NextDeadline());
  const bool calls_wait = std::any_of(
      queues_.begin(), queues_.end(),
      [](const auto& entry) { return !entry.second.calls.empty(); });
  if (calls_wait)
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
  status.accepting = accepting_;
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
auto call_coordinator<Router, EscrowPolicy, Discipline>::QueueOf(
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
    const bool waits =
        call.phase != call_phase::running && call.phase != call_phase::ended;
    if (waits && !IsStillAllowed(call.resolved, *configuration_))
      affected.push_back(id);
  }
  for (const request_id& id : affected) {
    call_state& call = *Find(id);
    Fail(call, NoLongerAllowedRefusal(call), now, actions);
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
    RefuseArrival(arrival, resolved.caller.team, QuarantinedRefusal(left),
                  actions);
    return;
  }
  const request_id id = arrival.id;
  call_state& call = calls_[id];
  call.arrival = std::move(arrival);
  // The secret is not kept any longer than it is needed.
  call.arrival.presented_key.reset();
  call.resolved = std::move(resolved);
  call.arrived = now;
  call.deadline = now + call.resolved.time_allowed;
  ++open_calls_;
  service_queue& queue = QueueOf(call);
  queue.calls.set_limit(static_cast<std::size_t>(call.resolved.queue_limit));
  queue.priority = call.resolved.priority;
  ++queue.arrivals;
  Schedule(call);
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
  const bool keyed = call.arrival.idempotency_key && !call.resolved.idempotent;
  if (keyed)
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
  Fail(call, RateRefusal(call, why), now, actions);
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
  const auto displaced = QueueOf(call).calls.Push(
      {call.arrival.id, call.resolved.caller.team, call.resolved.size,
       call.resolved.weight, call.resolved.priority, call.arrived,
       call.deadline});
  queues_to_serve_.insert(call.resolved.queue);
  if (!displaced)
    return;
  call_state& refused = *Find(displaced->id);
  Fail(refused, QueueFullRefusal(refused), now, actions);
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
      Dispatch(call, JoinCopies(call, choice), now, actions);
    } else {
      Fail(call, RoutingRefusal(call, choice.verdict), now, actions);
    }
  }
}

// Sends a copy of a request that runs already to the same endpoint until one
// copy was answered, so that a request which crashes endpoints ends only one.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
routing_choice call_coordinator<Router, EscrowPolicy, Discipline>::JoinCopies(
    const call_state& call,
    const routing_choice& choice) const {
  const auto found = copies_.find(call.resolved.fingerprint);
  if (found == copies_.end() || found->second.proven)
    return choice;
  const running_copies& copies = found->second;
  const bool avoided = std::find(call.avoid.begin(), call.avoid.end(),
                                 copies.endpoint) != call.avoid.end();
  if (avoided)
    return choice;
  return {routing_verdict::picked, copies.endpoint, copies.address};
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::NoteCopy(
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
void call_coordinator<Router, EscrowPolicy, Discipline>::DropCopy(
    const call_state& call) {
  const auto found = copies_.find(call.resolved.fingerprint);
  found->second.proven = found->second.proven || call.answered;
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
  call.attempt_out = true;
  call.first_byte = false;
  call.endpoint = choice.endpoint;
  call.query = MakeRoutingQuery(call);
  router_.OnDispatched(call.endpoint, call.query, now);
  NoteCopy(call, choice);
  ++QueueOf(call).running;
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
  --QueueOf(call).running;
  call.attempt_out = false;
  call.last_report = report;
  call.run = MergeRunStates(call.run, report.run);
  call.generated += report.generated;
  call.relayed = std::max(call.relayed, report.relayed);
  const bool relayed_error =
      report.end == attempt_end::server_error && report.relayed > bytes(0);
  call.answered = report.end == attempt_end::answered || relayed_error;
  DropCopy(call);
  MarkService(call.resolved.queue.service);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::NoteDeath(
    call_state& call,
    bool wants_retry,
    time_point now) {
  if (wants_retry)
    call.phase = call_phase::trial;
  quarantine_.OnDeath(call.resolved.fingerprint, call.endpoint, call.arrival.id,
                      wants_retry, now, quarantine_output_);
  call.on_trial = false;
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::OnTrialGranted(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.on_trial = true;
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
  Fail(call, QuarantinedRefusal(left), now, actions);
}

// Whether the call may be sent again after its last attempt. Takes the retry
// from the budget.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
bool call_coordinator<Router, EscrowPolicy, Discipline>::MayRetry(
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
  // An endpoint that refused may serve the call later, for example when its
  // model is loaded again; a stream is resumed where it began.
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
  Fail(call, AttemptRefusal(call), now, actions);
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
  const bool answer_begun = call.attempt_out || call.relayed > bytes(0);
  if (answer_begun)
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

// Marks the call as ended towards its caller.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::End(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (call.phase == call_phase::queued)
    QueueOf(call).calls.Remove(call.arrival.id);
  if (call.phase == call_phase::trial)
    quarantine_.Withdraw(call.resolved.fingerprint, call.arrival.id);
  call.phase = call_phase::ended;
  call.forget_at = std::max(now, call.deadline) + limits_.attempt_grace;
  --open_calls_;
  if (call.attempt_out)
    Schedule(call);
  else
    TidyUp(call, now, actions);
}

// Settles what a call that has ended and runs nowhere has left behind.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::TidyUp(
    call_state& call,
    time_point now,
    action_list& actions) {
  call.forget_at = now + kTidyUpTime;
  Settle(call, now);
  CloseTrial(call, call.answered, now);
  CloseClaim(call, now, actions);
  Schedule(call);
  ForgetIfDone(call);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Settle(
    const call_state& call,
    time_point now) {
  const team_id& team = call.resolved.caller.team;
  const tokens used = UsedTokens(call);
  counters_[team].used += used;
  if (call.attempts > 0) {
    QueueOf(call).calls.OnUnused(team, call.resolved.priority,
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
  const bool recordable =
      call.answered && call.relayed <= limits_.max_recorded_answer;
  if (recordable)
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
    bool proven,
    time_point now) {
  if (!std::exchange(call.on_trial, false))
    return;
  quarantine_.OnTrialEnd(call.resolved.fingerprint, call.arrival.id, proven,
                         now, quarantine_output_);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ForgetIfDone(
    const call_state& call) {
  const bool claim_done = !call.claim || call.claim->closed();
  if (call.phase == call_phase::ended && !call.attempt_out && claim_done)
    done_calls_.push_back(call.arrival.id);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::ForgetDoneCalls() {
  for (const request_id& id : std::exchange(done_calls_, {})) {
    if (call_state* call = Find(id)) {
      Unschedule(*call);
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
    call.claim_wake = now + pause->length;
    Schedule(call);
  } else if (std::holds_alternative<claim_granted>(step)) {
    Enqueue(call, now, actions);
  } else if (const auto* repeat = std::get_if<claim_repeat>(&step)) {
    Replay(call, repeat->answer_object, now, actions);
  } else if (const auto* rejected = std::get_if<claim_rejected>(&step)) {
    Fail(call, ClaimRefusal(*rejected), now, actions);
  } else if (const auto* store = std::get_if<claim_store_answer>(&step)) {
    actions.push_back(record_answer{id, store->answer_object});
  }
  ForgetIfDone(call);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::WakeCall(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (call.claim_wake && now >= *call.claim_wake) {
    call.claim_wake.reset();
    ApplyClaimStep(call, call.claim->OnWake(), now, actions);
  }
  if (call.phase == call_phase::ended)
    WakeEndedCall(call, now, actions);
  else if (now >= call.deadline)
    Expire(call, now, actions);
  Schedule(call);
}

// Gives up waiting for the report of a cut attempt, or for the claim's table.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::WakeEndedCall(
    call_state& call,
    time_point now,
    action_list& actions) {
  if (now < call.forget_at)
    return;
  if (call.attempt_out) {
    attempt_report unreported;
    unreported.end = attempt_end::cancelled;
    unreported.run = KnownRunState(call);
    CloseAttempt(call, unreported, now);
    TidyUp(call, now, actions);
    return;
  }
  call.claim.reset();
  ForgetIfDone(call);
}

// Ends a call whose deadline has come.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Expire(
    call_state& call,
    time_point now,
    action_list& actions) {
  Fail(call, DeadlineRefusal(call), now, actions);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Schedule(
    call_state& call) {
  Unschedule(call);
  time_point wake =
      call.phase == call_phase::ended ? call.forget_at : call.deadline;
  if (call.claim_wake)
    wake = std::min(wake, *call.claim_wake);
  call.wake = wake;
  wakes_.emplace(wake, call.arrival.id);
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Unschedule(
    call_state& call) {
  if (call.wake)
    wakes_.erase({*call.wake, call.arrival.id});
  call.wake.reset();
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::Drain(
    time_point now,
    action_list& actions) {
  while (true) {
    DrainEscrow(now, actions);
    DrainQuarantine(now, actions);
    ServeMarkedQueues(now, actions);
    ForgetDoneCalls();
    const bool quiet = escrow_output_ == escrow_output() &&
                       quarantine_output_ == quarantine_output() &&
                       queues_to_serve_.empty();
    if (quiet)
      return;
  }
}

template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::DrainEscrow(
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
void call_coordinator<Router, EscrowPolicy, Discipline>::DrainQuarantine(
    time_point now,
    action_list& actions) {
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

// Marks the queues that share endpoints with the service.
template <endpoint_router Router,
          typename EscrowPolicy,
          queue_discipline Discipline>
void call_coordinator<Router, EscrowPolicy, Discipline>::MarkService(
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
