#ifndef JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_
#define JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// Where the one run of an idempotency key stands.
enum class claim_state {
  claimed,   // Its owner may be running it.
  recorded,  // It ran; its answer is in the object store.
  unknown,   // It may have run; its outcome cannot be known any more.
};

// What the table holds of one idempotency key.
struct claim_record {
  // Tells the owner's own write from another's when an answer was lost.
  std::string nonce;
  // Digest of the method, path and body.
  std::string body_digest;
  claim_state state = claim_state::claimed;
  // Object with the recorded answer; set in state `recorded` only.
  std::string answer_object;
  // Instance that made the claim.
  instance_id owner;
  // Wall clock of the first write in seconds since 1970; the node sets it when
  // it encodes a record in which it is 0. Used for retention only.
  int64_t created_unix_s = 0;

  friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Names one claim: the team and the SHA-256 of the caller's idempotency key.
struct claim_key {
  team_id team;
  std::string key_digest;

  friend bool operator==(const claim_key&, const claim_key&) = default;
};

// A claim as it stands in the table.
struct stored_claim {
  revision version;
  claim_record record;

  friend bool operator==(const stored_claim&, const stored_claim&) = default;
};

// What became of a conditional write.
enum class write_status {
  committed,    // `version` is the new version of the row.
  conflict,     // The condition failed; `stored` is the row, if there is one.
  lost,         // It may or may not have taken effect.
  unreachable,  // It had no effect.
};

// Result of a commit_claim.
struct claim_write_outcome {
  write_status status = write_status::lost;
  revision version;
  std::optional<stored_claim> stored;

  friend bool operator==(const claim_write_outcome&,
                         const claim_write_outcome&) = default;
};

// Result of a read_claim.
struct claim_read_outcome {
  // False when the table gave no answer.
  bool answered = false;
  // The row; nothing when it is absent.
  std::optional<stored_claim> stored;

  friend bool operator==(const claim_read_outcome&,
                         const claim_read_outcome&) = default;
};

// Result of a record_answer: the creation of an object.
enum class record_status {
  stored,       // The object is there with this answer.
  failed,       // It is not there, or that is not known; try again.
  unavailable,  // The worker has no answer to store any more.
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_
