#ifndef JASMINEPATH_GATEWAY_SRC_CALL_SESSION_H_
#define JASMINEPATH_GATEWAY_SRC_CALL_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "call_context.h"
#include "jasminepath/http/client.h"
#include "jasminepath/http/event_boundary_scanner.h"
#include "jasminepath/http/event_sequence.h"
#include "jasminepath/http/event_stream_splitter.h"
#include "jasminepath/http/server.h"

namespace jasminepath::gateway {

// One request from its arrival to the end of its answer. Authorizes it, waits
// for an endpoint, sends the request, retries where that is allowed, and relays
// the answer. The session keeps itself alive until the answer has ended or the
// caller has disconnected.
class call_session : public std::enable_shared_from_this<call_session>,
                     private http::response_sink {
 public:
  call_session(call_context& context,
               caller_request request,
               std::shared_ptr<http::exchange> reply);
  ~call_session() override;

  void Start();

  // Retries the endpoint selection of a queued call after a change of state.
  void Wake();

  // Ends the call in time if the node stops before the call's time limit. Runs
  // whenever the schedule of the node's stop has changed.
  void OnStopSchedule();

  // Logs that the caller gets no complete answer, and why.
  void LogCut(std::string_view cause) const;

 private:
  // State of the attempt in progress.
  struct attempt {
    std::shared_ptr<pooled_endpoint> endpoint;
    // As of the begin of the attempt.
    software_version version;
    uint64_t connection = 0;
    answer_fields fields;
    http::response_head head;
    bool head_seen = false;
    time_point sent_at{};
    // The first event of a stream or the complete answer was received.
    bool answered = false;
    bool relaying = false;
    // Position in a stream that cannot be resumed.
    http::event_boundary_scanner events;
    std::string body;
  };

  bool Authorize();
  bool CheckRateLimit();
  // Finds out on which software version the stream began that the caller
  // resumes, and then dispatches the call, or refuses it if that cannot be
  // known.
  void FindStreamVersion();
  void OnStreamVersion(const stream_version& found);
  void ChooseService();
  endpoint_query MakeQuery() const;
  // The model that the endpoint must hold; empty for a service without models.
  model_id NeededModel() const;
  void RecordFirstByte();
  void RecordPause();

  void Dispatch();
  // Whether an attempt that begins at `start` can end before the node exits.
  // Calls that may have run are never refused.
  bool CanCompleteFrom(time_point start) const;
  void WaitForEndpoint(pick_miss miss);
  // Adds the call to the queue for the given reason unless it already waits in
  // the same way.
  void Enqueue(bool for_load, std::string_view reason);
  // Called when the retry budget denies another send.
  void WaitForRetryBudget();
  void Send(std::shared_ptr<pooled_endpoint> endpoint);
  http::call_options MakeCallOptions(const pooled_endpoint& endpoint) const;
  void StartSilenceTimer();
  void OnSilence();

  // Whether the answer is passed on event by event: a stream that also
  // continues the one that has begun, if any.
  bool IsRelayedStream(const http::response_head& head,
                       const answer_fields& fields) const;
  bool OnHead(const http::response_head& head) override;
  void OnBody(std::string_view piece) override;
  void OnEnd() override;
  void OnFailure(http::call_failure failure) override;

  void RelayEvents(std::string_view piece);
  // Called before the first event of a stream is passed on.
  void RecordStreamVersion();
  void Relay(std::string_view piece);
  void EndAttempt(decision::attempt_end end);
  void Avoid(const endpoint_id& endpoint);
  // Retries the request after a failed attempt, or ends the call.
  void RetryOrFail(const std::string& reason);
  bool CanRetry();
  // Whether another endpoint's answer can complete the one that has begun, if
  // any: that of a stream whose position is known.
  bool CanContinueAnswer() const;
  // Whether the request must not be sent because it crashes endpoints.
  bool IsBlocked() const;
  void RefuseBlocked();
  // Refuses the call with 503, or fails it if it may have run.
  void RefuseOrFail(std::string_view reason, duration retry_after);
  // Records, once per attempt, that its endpoint works on requests with these
  // prompt parts.
  void RecordAnswered();
  // Counts the attempt as a crash of its endpoint against the request, and
  // against the prompt parts if it was not answered.
  void RecordCrash(const attempt& failed);
  void FailCall();
  // Closes the connection of an answer that has begun but cannot be completed.
  void Cut(std::string_view cause);

  void Refuse(int status, std::string_view reason, duration retry_after);
  void RespondWithError(int status, std::string_view reason);
  void Finish(std::string_view outcome, int status);
  void OnCallerDisconnect();
  void StartDeadlineTimer();
  void OnDeadline();
  duration TimeLeft() const;
  void Log(std::string_view outcome, std::string_view reason, int status);

  call_context& context_;
  caller_request request_;
  std::shared_ptr<http::exchange> reply_;
  site_pointer site_;
  const route* route_ = nullptr;
  team team_;
  service_id service_;
  const service_spec* spec_ = nullptr;
  int64_t priority_ = 0;
  int64_t charged_tokens_ = 0;
  uint64_t fingerprint_ = 0;
  // See SharedParts().
  std::vector<uint64_t> parts_;
  uint64_t affinity_ = 0;
  int64_t shared_tokens_ = 0;
  // When the first byte of the request and the whole request had arrived.
  time_point arrived_at_{};
  time_point received_whole_at_{};
  time_point deadline_{};
  time_point first_sent_at_{};
  http::timer deadline_timer_;
  http::timer silence_timer_;
  std::unique_ptr<http::call> call_;
  std::optional<attempt> attempt_;
  // Endpoints that failed this call, and when.
  std::vector<std::pair<endpoint_id, time_point>> recently_failed_;
  // Connections that have carried failed attempts of this call.
  std::vector<std::pair<endpoint_id, uint64_t>> used_connections_;
  http::event_stream_splitter splitter_;
  // Events of a resumable stream that were relayed.
  http::event_sequence relayed_events_;
  std::optional<std::string> last_event_id_;
  // Version of the endpoints that can continue the stream, once it has begun.
  std::optional<software_version> stream_version_;
  // Attempts that ran or may have run the request.
  int64_t runs_ = 0;
  // Requests that were sent to an endpoint, and attempts including those that
  // found no connection.
  int64_t sends_ = 0;
  int64_t tries_ = 0;
  // At least one attempt may have run the request.
  bool may_have_run_ = false;
  bool answer_started_ = false;
  // Head of the answer that has started.
  http::response_head started_head_;
  // Time at which the last piece of the answer was relayed, and the longest
  // pause between two pieces.
  time_point relayed_at_{};
  duration longest_pause_{};
  std::optional<duration> first_byte_after_;
  bool queued_ = false;
  bool queued_for_load_ = false;
  bool ended_ = false;
  // Endpoint of the last attempt, and why it failed, for the log.
  endpoint_id last_endpoint_;
  std::string last_failure_;
  // Error answer of an endpoint. It is relayed if all attempts fail.
  std::optional<http::response> endpoint_failure_;
  std::shared_ptr<call_session> keep_alive_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CALL_SESSION_H_
