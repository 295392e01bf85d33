#ifndef JASMINEPATH_DECISION_ADMISSION_CALL_ACTIONS_H_
#define JASMINEPATH_DECISION_ADMISSION_CALL_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/decision/admission/claim_record.h"
#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/admission/quarantine_record.h"

namespace jasminepath::decision {

// Each call ends with exactly one of refuse_call, replay_answer, finish_call
// and cut_call.

// Answers the caller with the refusal. No attempt is running and no part of an
// answer has been relayed.
struct refuse_call {
  request_id id;
  refusal reason;

  friend bool operator==(const refuse_call&, const refuse_call&) = default;
};

// Sends the call to the endpoint. The worker must report the end of the attempt
// with OnAttemptEnd in every case.
struct dispatch_call {
  request_id id;
  // Number of the attempt within the call, from 1.
  int64_t attempt = 1;
  service_id service;
  endpoint_id endpoint;
  // "ip:port".
  std::string address;
  // Whether the call may be sent a second time. If not, the worker uses a new
  // connection and never resends.
  bool idempotent = false;
  // The team that the call runs for; empty on a route that requires no key.
  team_id team;
  // Generation limit to pass to the endpoint; 0 for plain services.
  tokens max_tokens;
  // Position in the answer at which a resumed attempt continues.
  std::optional<int64_t> resume_position;
  // Time at which the call is cut if it is still running.
  time_point deadline;
  // Whether the worker must keep the whole answer for a later record_answer.
  bool keep_answer = false;

  friend bool operator==(const dispatch_call&, const dispatch_call&) = default;
};

// Answers the caller with the answer that is recorded in the object.
struct replay_answer {
  request_id id;
  std::string object_name;

  friend bool operator==(const replay_answer&, const replay_answer&) = default;
};

// Writes the claim's row if its version is `expected` (0: the row does not
// exist), then reports OnClaimOutcome. Deletes the row if `record` is empty.
struct commit_claim {
  request_id id;
  claim_key key;
  revision expected;
  std::optional<claim_record> record;

  friend bool operator==(const commit_claim&, const commit_claim&) = default;
};

// Reads the claim's row, then reports OnClaimRead.
struct read_claim {
  request_id id;
  claim_key key;

  friend bool operator==(const read_claim&, const read_claim&) = default;
};

// Creates the object with the whole answer of the call, then reports
// OnAnswerRecorded. If an object with this name already exists, it holds the
// same answer, since the name is unique to the run.
struct record_answer {
  request_id id;
  std::string object_name;

  friend bool operator==(const record_answer&, const record_answer&) = default;
};

// Sends the message to the peer. Delivery is not guaranteed.
struct send_admission_message {
  instance_id to;
  admission_message message;

  friend bool operator==(const send_admission_message&,
                         const send_admission_message&) = default;
};

// Stops relaying, cancels the work at the endpoint and ends the answer with an
// error that the caller can detect, or with the refusal if nothing has been
// relayed yet. If an attempt is running, the worker still reports OnAttemptEnd.
struct cut_call {
  request_id id;
  refusal reason;

  friend bool operator==(const cut_call&, const cut_call&) = default;
};

// Writes the record's row if its version is `expected` (0: the row does not
// exist), then reports OnQuarantineOutcome. State `cleared` deletes the row.
struct publish_quarantine {
  quarantine_record record;
  revision expected;

  friend bool operator==(const publish_quarantine&,
                         const publish_quarantine&) = default;
};

// Ends the caller's response cleanly: the whole answer was relayed, or the
// caller has disconnected.
struct finish_call {
  request_id id;

  friend bool operator==(const finish_call&, const finish_call&) = default;
};

// Every action that the coordinator can request.
using call_action = std::variant<refuse_call,
                                 dispatch_call,
                                 replay_answer,
                                 commit_claim,
                                 read_claim,
                                 record_answer,
                                 send_admission_message,
                                 cut_call,
                                 publish_quarantine,
                                 finish_call>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CALL_ACTIONS_H_
