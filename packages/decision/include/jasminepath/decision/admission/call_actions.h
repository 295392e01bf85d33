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

// Each call ends by exactly one of refuse_call, replay_answer, finish_call and
// cut_call.

// Answer the caller with the refusal; no attempt is running and nothing of an
// answer has been relayed.
struct refuse_call {
  request_id id;
  refusal reason;

  friend bool operator==(const refuse_call&, const refuse_call&) = default;
};

// Send the call to the endpoint and report how that ended (OnAttemptEnd),
// whatever happens meanwhile.
struct dispatch_call {
  request_id id;
  // Counts from 1 within the call.
  int64_t attempt = 1;
  service_id service;
  endpoint_id endpoint;
  // "ip:port".
  std::string address;
  // Whether the call may be sent a second time; if not, the worker uses a fresh
  // connection and never resends.
  bool idempotent = false;
  // The team that the call runs for; empty on a route open to all.
  team_id team;
  // Generation limit that the endpoint must be given; 0 for plain services.
  tokens max_tokens;
  // Position in the answer from which to go on, if the attempt resumes one.
  std::optional<int64_t> resume_position;
  // When the call is cut at the latest.
  time_point deadline;
  // Whether the whole answer must be kept for a record_answer.
  bool keep_answer = false;

  friend bool operator==(const dispatch_call&, const dispatch_call&) = default;
};

// Answer the caller with the answer recorded in the object.
struct replay_answer {
  request_id id;
  std::string object_name;

  friend bool operator==(const replay_answer&, const replay_answer&) = default;
};

// Write the claim's row if it has version `expected` (0: is absent), then
// report OnClaimOutcome. No record deletes the row.
struct commit_claim {
  request_id id;
  claim_key key;
  revision expected;
  std::optional<claim_record> record;

  friend bool operator==(const commit_claim&, const commit_claim&) = default;
};

// Read the claim's row, then report OnClaimRead.
struct read_claim {
  request_id id;
  claim_key key;

  friend bool operator==(const read_claim&, const read_claim&) = default;
};

// Create the object with the whole answer of the call, then report
// OnAnswerRecorded. An object that exists already with this name holds this
// answer, since the name is unique to the run.
struct record_answer {
  request_id id;
  std::string object_name;

  friend bool operator==(const record_answer&, const record_answer&) = default;
};

// Send the message to the peer; it may be lost.
struct send_admission_message {
  instance_id to;
  admission_message message;

  friend bool operator==(const send_admission_message&,
                         const send_admission_message&) = default;
};

// Stop relaying, cancel the work at the endpoint and end the answer as an error
// that the caller can see; when nothing has been relayed yet, as the refusal.
// If an attempt is running, the worker still reports OnAttemptEnd.
struct cut_call {
  request_id id;
  refusal reason;

  friend bool operator==(const cut_call&, const cut_call&) = default;
};

// Write the record's row if it has version `expected` (0: is absent), then
// report OnQuarantineOutcome. State `cleared` deletes the row.
struct publish_quarantine {
  quarantine_record record;
  revision expected;

  friend bool operator==(const publish_quarantine&,
                         const publish_quarantine&) = default;
};

// The answer was relayed whole, or the caller has gone: end the caller's
// response cleanly.
struct finish_call {
  request_id id;

  friend bool operator==(const finish_call&, const finish_call&) = default;
};

// Everything that the coordinator may ask for.
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
