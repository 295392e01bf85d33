#ifndef JASMINEPATH_DECISION_ADMISSION_IDEMPOTENCY_CLAIM_H_
#define JASMINEPATH_DECISION_ADMISSION_IDEMPOTENCY_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/claim_record.h"

namespace jasminepath::decision {

// Retention of a claim. A repeat after this time is treated as a new call.
inline constexpr int64_t kClaimRetentionSeconds = 24 * 60 * 60;

// Whether the row of a claim may be deleted.
bool IsClaimExpired(const claim_record& record, int64_t now_unix_s);

// Wait for the result of the outstanding operation.
struct claim_pending {
  friend bool operator==(const claim_pending&, const claim_pending&) = default;
};
// Write the row if its version is `expected`; an empty `record` deletes the
// row.
struct claim_write {
  revision expected;
  std::optional<claim_record> record;
  friend bool operator==(const claim_write&, const claim_write&) = default;
};
// Read the row.
struct claim_lookup {
  friend bool operator==(const claim_lookup&, const claim_lookup&) = default;
};
// Call OnWake after `length`.
struct claim_pause {
  duration length;
  friend bool operator==(const claim_pause&, const claim_pause&) = default;
};
// This call holds the claim and may run once.
struct claim_granted {
  friend bool operator==(const claim_granted&, const claim_granted&) = default;
};
// The call ran earlier: answer with the recorded answer.
struct claim_repeat {
  std::string answer_object;
  friend bool operator==(const claim_repeat&, const claim_repeat&) = default;
};
// The call must not run.
struct claim_rejected {
  refusal_code code = refusal_code::outcome_unknown;
  run_state run = run_state::unknown;
  friend bool operator==(const claim_rejected&,
                         const claim_rejected&) = default;
};
// Store the whole answer in the object.
struct claim_store_answer {
  std::string answer_object;
  friend bool operator==(const claim_store_answer&,
                         const claim_store_answer&) = default;
};
// The claim needs no further action.
struct claim_closed {
  friend bool operator==(const claim_closed&, const claim_closed&) = default;
};

// Next action that a claim requires of its owner.
using claim_step = std::variant<claim_pending,
                                claim_write,
                                claim_lookup,
                                claim_pause,
                                claim_granted,
                                claim_repeat,
                                claim_rejected,
                                claim_store_answer,
                                claim_closed>;

// State machine for one call's use of an idempotency key. Over all nodes, at
// most one call per key and team is granted, even if outcomes of table writes
// are lost. This relies on the conditional creation of one row and on the nonce
// in it.
class idempotency_claim {
 public:
  // `nonce` is unique to this call; `answer_object` is the name of the object
  // for its answer.
  idempotency_claim(std::string nonce,
                    std::string body_digest,
                    instance_id owner,
                    std::string answer_object);

  // Starts the claim with the conditional creation of the row.
  claim_step Begin();
  claim_step OnWrite(const claim_write_outcome& outcome);
  // `owner_is_live`: whether the instance that owns the row is believed to be
  // running.
  claim_step OnRead(const claim_read_outcome& outcome, bool owner_is_live);
  claim_step OnWake();
  claim_step OnAnswerRecorded(record_status status);

  // The call ends without having run. Deletes the claim so that a repeat can
  // run; also ends a claim that has not been granted yet.
  claim_step Release();
  // The call ran and its answer is complete. Records the answer.
  claim_step Record();
  // The call may have run but has no complete answer. Records the outcome as
  // unknown.
  claim_step MarkUnknown();

  bool IsHeld() const { return phase_ == phase::held; }
  // Whether the claim waits for another call with the same key.
  bool IsWaitingForOwner() const { return phase_ == phase::waiting_for_owner; }
  bool IsClosed() const { return phase_ == phase::closed; }

 private:
  enum class phase {
    fresh,      // No operation has been requested.
    creating,   // A create is outstanding or about to be repeated.
    verifying,  // The row is read after the outcome of a create was lost.
    waiting_for_owner,  // Another call holds the claim.
    held,               // This call holds it.
    storing,            // The answer is being stored.
    closing,            // The last write is outstanding.
    closed,
  };

  claim_record MakeRecord(claim_state state) const;
  claim_step Create();
  claim_step HandleExistingRow(const stored_claim& stored, bool owner_is_live);
  claim_step TakeOwnership(revision version);
  claim_step WaitForOwner(const stored_claim& stored, bool owner_is_live);
  claim_step BackOff();
  claim_step Close();
  claim_step WriteAndClose(std::optional<claim_record> last);
  claim_step OnCreateOutcome(const claim_write_outcome& outcome);
  claim_step OnCloseOutcome(const claim_write_outcome& outcome);
  claim_step OnCloseRead(const claim_read_outcome& outcome);

  std::string nonce_;
  std::string body_digest_;
  instance_id owner_;
  std::string answer_object_;
  phase phase_ = phase::fresh;
  // The call ended before the claim was granted.
  bool is_abandoned_ = false;
  // A create with a lost outcome may have taken effect.
  bool may_exist_ = false;
  // The row of the other call has been read before.
  bool has_seen_owner_ = false;
  bool should_read_next_ = false;
  revision version_;
  std::optional<claim_record> last_record_;
  int64_t backoff_count_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_IDEMPOTENCY_CLAIM_H_
