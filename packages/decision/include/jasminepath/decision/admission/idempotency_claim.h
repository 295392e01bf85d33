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

// Time that a claim is kept. A repeat after it is a new call.
inline constexpr int64_t kClaimRetentionSeconds = 24 * 60 * 60;

// Whether the row of a claim may be deleted.
bool IsClaimExpired(const claim_record& record, int64_t now_unix_s);

// Nothing to do until the outstanding result comes.
struct claim_pending {
  friend bool operator==(const claim_pending&, const claim_pending&) = default;
};
// Write the row if it has version `expected`; no record deletes it.
struct claim_write {
  revision expected;
  std::optional<claim_record> record;
  friend bool operator==(const claim_write&, const claim_write&) = default;
};
// Read the row.
struct claim_lookup {
  friend bool operator==(const claim_lookup&, const claim_lookup&) = default;
};
// Call OnWake after this time.
struct claim_pause {
  duration length;
  friend bool operator==(const claim_pause&, const claim_pause&) = default;
};
// The claim is held: the call may run, once.
struct claim_granted {
  friend bool operator==(const claim_granted&, const claim_granted&) = default;
};
// The call has run before: answer with what was recorded.
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
// Nothing is left to do.
struct claim_closed {
  friend bool operator==(const claim_closed&, const claim_closed&) = default;
};

// What a claim wants done next.
using claim_step = std::variant<claim_pending,
                                claim_write,
                                claim_lookup,
                                claim_pause,
                                claim_granted,
                                claim_repeat,
                                claim_rejected,
                                claim_store_answer,
                                claim_closed>;

// One call's use of an idempotency key: at most one call per key and team is
// ever granted, over all nodes, whatever answers of the table are lost. It
// relies on conditional creation of one row and on the nonce in it.
class idempotency_claim {
 public:
  // `nonce` is unique to this call; `answer_object` names the object that would
  // hold its answer.
  idempotency_claim(std::string nonce,
                    std::string body_digest,
                    instance_id owner,
                    std::string answer_object);

  // Starts with the conditional creation of the row.
  claim_step Begin();
  claim_step OnWrite(const claim_write_outcome& outcome);
  // `owner_is_live`: whether the instance named in the row that was read is
  // believed to run.
  claim_step OnRead(const claim_read_outcome& outcome, bool owner_is_live);
  claim_step OnWake();
  claim_step OnAnswerRecorded(record_status status);

  // The call ends without having run: gives the claim up, so that a repeat can
  // run. Also ends a claim that was not granted yet.
  claim_step Release();
  // The call has run and its answer is whole: records it.
  claim_step Record();
  // The call may have run and has no whole answer.
  claim_step MarkUnknown();

  bool held() const { return phase_ == phase::held; }
  // Whether another call with the same key is waited for.
  bool following() const { return phase_ == phase::following; }
  bool closed() const { return phase_ == phase::closed; }

 private:
  enum class phase {
    fresh,      // Nothing asked yet.
    creating,   // A create is under way or about to be repeated.
    settling,   // The outcome of a create is read back.
    following,  // Another call holds the claim.
    held,       // This call holds it.
    storing,    // The answer is being stored.
    closing,    // The last write is under way.
    closed,
  };

  claim_record MakeRecord(claim_state state) const;
  claim_step Create();
  claim_step Examine(const stored_claim& stored, bool owner_is_live);
  claim_step Own(revision version);
  claim_step FollowOther(const stored_claim& stored, bool owner_is_live);
  claim_step Pause();
  claim_step Close();
  claim_step CloseWith(std::optional<claim_record> last);
  claim_step OnCreateOutcome(const claim_write_outcome& outcome);
  claim_step OnCloseOutcome(const claim_write_outcome& outcome);
  claim_step OnCloseRead(const claim_read_outcome& outcome);

  std::string nonce_;
  std::string body_digest_;
  instance_id owner_;
  std::string answer_object_;
  phase phase_ = phase::fresh;
  // The call has ended while the claim was not yet granted.
  bool abandoned_ = false;
  // A create may have taken effect unseen.
  bool maybe_created_ = false;
  // The other call's row was seen before.
  bool followed_ = false;
  bool read_next_ = false;
  revision version_;
  std::optional<claim_record> last_record_;
  int64_t pauses_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_IDEMPOTENCY_CLAIM_H_
