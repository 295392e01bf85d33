#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/configuration_index.h"
#include "jasminepath/config/team_key.h"
#include "jasminepath/decision/admission/admission_status.h"
#include "jasminepath/decision/admission/call_actions.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/admission/call_resolution.h"
#include "jasminepath/decision/admission/call_state.h"
#include "jasminepath/decision/admission/claim_record.h"
#include "jasminepath/decision/admission/fair_queue.h"
#include "jasminepath/decision/admission/key_registry.h"
#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/admission/quarantine_list.h"
#include "jasminepath/decision/admission/queue_discipline.h"
#include "jasminepath/decision/admission/retry_budget.h"
#include "jasminepath/decision/admission/token_escrow.h"
#include "jasminepath/decision/routing/model_demand.h"
#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Drives every call of one node from arrival to end: key, team, quarantine,
// limits, tokens, idempotency claim, fair queue, attempts at endpoints, retries
// and recording. Each event handler appends the actions to perform to
// `actions`, in order. Every call ends exactly once, no later than its deadline
// if OnTick is called at the times that NextDeadline returns. Not thread-safe.
//
// `Router` picks endpoints. `EscrowPolicy` is peer_borrowing or static_split;
// `Discipline` orders the teams in the queues.
template <endpoint_router Router,
          typename EscrowPolicy = peer_borrowing,
          queue_discipline Discipline = virtual_token_counters>
class call_coordinator {
 public:
  using action_list = std::vector<call_action>;

  // `self` identifies this run of the node. `router` must outlive the
  // coordinator.
  call_coordinator(instance_id self,
                   Router& router,
                   random_engine random,
                   coordinator_limits limits)
      : self_(self),
        router_(router),
        random_(random),
        limits_(limits),
        configuration_(std::make_shared<const config::configuration>()),
        escrow_(self),
        quarantine_(self,
                    limits.quarantine_lifetime,
                    static_cast<std::size_t>(limits.max_quarantine_records)),
        retries_(limits.retry_percent, limits.fleet_retry_reserve) {}

  // Applies a configuration; one that is older than the current one has no
  // effect. Waiting calls that the new configuration no longer allows are
  // refused; calls that run at an endpoint continue.
  void OnConfiguration(std::shared_ptr<const config::configuration> source,
                       time_point now,
                       action_list& actions);

  // Applies a created or withdrawn team key. Calls of a withdrawn key are
  // refused or cut immediately.
  void OnKeyFact(const config::team_key& key,
                 revision version,
                 time_point now,
                 action_list& actions);

  // Applies a committed quarantine record.
  void OnQuarantineFact(const quarantine_record& record,
                        revision version,
                        time_point now,
                        action_list& actions);

  // Sets this node's fraction of a team's rate and burst. It takes effect
  // immediately, so a smaller fraction must be set here before the difference
  // is assigned to another node.
  void OnShare(const team_id& team,
               int64_t fraction_ppm,
               time_point now,
               action_list& actions);

  // Sets the other nodes that are believed to be running.
  void OnPeers(std::vector<instance_id> peers,
               time_point now,
               action_list& actions);

  // Sets whether new calls are accepted, and the refusal code if they are not.
  // Calls that were already accepted continue.
  void OnReadiness(bool accepting,
                   refusal_code why,
                   time_point now,
                   action_list& actions);

  // Handles a new call. Its id must differ from the ids of all calls that the
  // coordinator still knows.
  void OnArrival(call_arrival arrival, time_point now, action_list& actions);

  // The endpoint has started to answer.
  void OnFirstByte(const request_id& id,
                   int64_t attempt,
                   time_point now,
                   action_list& actions);

  // An attempt has ended; must be reported once for each dispatch_call.
  void OnAttemptEnd(const request_id& id,
                    int64_t attempt,
                    const attempt_report& report,
                    time_point now,
                    action_list& actions);

  // The caller has closed its connection.
  void OnCallerDisconnected(const request_id& id,
                            time_point now,
                            action_list& actions);

  // Results of commit_claim, read_claim, record_answer and publish_quarantine.
  void OnClaimOutcome(const request_id& id,
                      const claim_write_outcome& outcome,
                      time_point now,
                      action_list& actions);
  void OnClaimRead(const request_id& id,
                   const claim_read_outcome& outcome,
                   time_point now,
                   action_list& actions);
  void OnAnswerRecorded(const request_id& id,
                        record_status status,
                        time_point now,
                        action_list& actions);
  void OnQuarantineOutcome(const request_fingerprint& fingerprint,
                           const quarantine_write_outcome& outcome,
                           time_point now,
                           action_list& actions);

  // Handles a message from a peer.
  void OnAdmissionMessage(const instance_id& from,
                          const admission_message& message,
                          time_point now,
                          action_list& actions);

  // Routing may choose differently now, so waiting calls are tried again.
  void OnRoutesChanged(time_point now, action_list& actions);

  void OnTick(time_point now, action_list& actions);

  // Time at which the next OnTick is needed; nullopt if no timer is pending.
  std::optional<time_point> NextDeadline() const;

  // This node's current demand for each model that has been requested.
  std::vector<model_demand> Demand(time_point now) const;

  // Admission state for the status page and the metrics.
  admission_status Status(time_point now);

  // Whether the key is known and not withdrawn; workers check it while they
  // relay an answer.
  bool IsKeyValid(const key_id& key) const { return keys_.IsValid(key); }

  // Number of calls that have not ended, including those that run at an
  // endpoint.
  int64_t open_calls() const { return open_calls_; }

 private:
  using queue_type = fair_queue<Discipline>;

  struct service_queue {
    explicit service_queue(std::size_t limit) : calls(limit) {}

    queue_type calls;
    int64_t priority = 1;
    int64_t running = 0;
    int64_t arrivals = 0;
  };
  // Copies of one request that run at the same endpoint at the same time.
  struct running_copies {
    int64_t count = 0;
    endpoint_id endpoint;
    std::string address;
    // A copy was answered, so later copies may use other endpoints.
    bool succeeded = false;
  };
  struct team_counters {
    int64_t admitted = 0;
    int64_t answered = 0;
    tokens used;
    std::map<refusal_code, int64_t> refusals;
  };

  call_state* Find(const request_id& id);
  service_queue& FindOrAddQueue(const call_state& call);
  bool IsLive(const instance_id& instance) const;
  std::string MakeNonce();

  // Steps from arrival to dispatch.
  void RefuseDisallowedCalls(time_point now, action_list& actions);
  void RefuseArrival(const call_arrival& arrival,
                     const team_id& team,
                     refusal reason,
                     action_list& actions);
  void Admit(call_arrival arrival,
             resolved_call resolved,
             time_point now,
             action_list& actions);
  void BeginTrial(call_state& call, time_point now);
  void Reserve(call_state& call, time_point now, action_list& actions);
  void OnReserved(call_state& call, time_point now, action_list& actions);
  void OnNotReserved(call_state& call,
                     const reservation_refusal& why,
                     time_point now,
                     action_list& actions);
  void BeginClaim(call_state& call, time_point now, action_list& actions);
  void Enqueue(call_state& call, time_point now, action_list& actions);
  void ServeQueue(const queue_id& id, time_point now, action_list& actions);
  routing_choice ChooseSharedEndpoint(const call_state& call,
                                      const routing_choice& choice) const;
  void AddRunningCopy(const call_state& call, const routing_choice& choice);
  void RemoveRunningCopy(const call_state& call);
  void Dispatch(call_state& call,
                const routing_choice& choice,
                time_point now,
                action_list& actions);

  // Steps after the end of an attempt.
  void CloseAttempt(call_state& call,
                    const attempt_report& report,
                    time_point now);
  void RecordEndpointCrash(call_state& call, bool should_retry, time_point now);
  void OnTrialGranted(call_state& call, time_point now, action_list& actions);
  void OnTrialDenied(call_state& call, time_point now, action_list& actions);
  bool TryTakeRetry(const call_state& call, time_point now);
  void Retry(call_state& call, time_point now, action_list& actions);
  void FailAttempt(call_state& call, time_point now, action_list& actions);

  // Ways in which a call ends.
  void Finish(call_state& call, time_point now, action_list& actions);
  void Fail(call_state& call,
            refusal reason,
            time_point now,
            action_list& actions);
  void Replay(call_state& call,
              const std::string& object,
              time_point now,
              action_list& actions);
  void End(call_state& call, time_point now, action_list& actions);
  void CleanUpCall(call_state& call, time_point now, action_list& actions);
  void Settle(const call_state& call, time_point now);
  void CloseClaim(call_state& call, time_point now, action_list& actions);
  void CloseTrial(call_state& call, bool succeeded, time_point now);
  void QueueRemovalIfDone(const call_state& call);
  void RemoveDoneCalls();

  void ApplyClaimStep(call_state& call,
                      const claim_step& step,
                      time_point now,
                      action_list& actions);
  void WakeCall(call_state& call, time_point now, action_list& actions);
  void WakeEndedCall(call_state& call, time_point now, action_list& actions);
  void Expire(call_state& call, time_point now, action_list& actions);
  void ScheduleWakeup(call_state& call);
  void CancelWakeup(call_state& call);

  // Processes the outputs of the escrow, the quarantine list and the queues
  // until none are left.
  void ProcessPendingWork(time_point now, action_list& actions);
  void ProcessEscrowOutput(time_point now, action_list& actions);
  void ProcessQuarantineOutput(time_point now, action_list& actions);
  void ServeMarkedQueues(time_point now, action_list& actions);
  void MarkQueuesOfService(const service_id& service);
  void MarkAllQueues();
  void CountRefusal(const team_id& team, refusal_code code);

  instance_id self_;
  Router& router_;
  random_engine random_;
  coordinator_limits limits_;
  std::shared_ptr<const config::configuration> configuration_;
  key_registry keys_;
  token_escrow<EscrowPolicy> escrow_;
  quarantine_list quarantine_;
  retry_budget retries_;
  std::vector<instance_id> peers_;
  bool is_accepting_ = false;
  refusal_code not_accepting_reason_ = refusal_code::isolated;

  std::unordered_map<request_id, call_state> calls_;
  std::map<queue_id, service_queue> queues_;
  std::set<std::pair<time_point, request_id>> wakeups_;
  std::map<team_id, team_counters> counters_;
  std::unordered_map<request_fingerprint, running_copies> copies_;
  int64_t open_calls_ = 0;
  int64_t retry_count_ = 0;
  time_point last_pick_;

  // Work of the current event that ProcessPendingWork() handles.
  escrow_output escrow_output_;
  quarantine_output quarantine_output_;
  std::set<queue_id> queues_to_serve_;
  std::vector<request_id> done_calls_;
};

}  // namespace jasminepath::decision

#include "jasminepath/decision/admission/call_coordinator_impl.h"  // IWYU pragma: export

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_COORDINATOR_H_
