#ifndef JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_
#define JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// State of the single run under an idempotency key.
enum class claim_state {
  claimed,   // The owner may be running the call.
  recorded,  // The call ran; its answer is in the object store.
  unknown,   // The call may have run; its outcome is lost.
};

// Row of one idempotency key in the table.
struct claim_record {
  // Identifies the owner's own write after the outcome of a write was lost.
  std::string nonce;
  // Digest of the method, path and body.
  std::string body_digest;
  claim_state state = claim_state::claimed;
  // Object with the recorded answer; set in state `recorded` only.
  std::string answer_object;
  // Instance that made the claim.
  instance_id owner;
  // Wall clock of the first write in seconds since 1970, used for retention
  // only. The node sets it when it encodes a record in which it is 0.
  int64_t created_unix_s = 0;

  friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Identifies a claim: the team and the SHA-256 of the caller's idempotency key.
struct claim_key {
  team_id team;
  std::string key_digest;

  friend bool operator==(const claim_key&, const claim_key&) = default;
};

// A claim as stored in the table, with the version of its row.
struct stored_claim {
  revision version;
  claim_record record;

  friend bool operator==(const stored_claim&, const stored_claim&) = default;
};

// Outcome of a conditional write.
enum class write_status {
  committed,    // `version` is the new version of the row.
  conflict,     // The condition failed; `stored` is the row, if there is one.
  lost,         // The write may or may not have taken effect.
  unreachable,  // The write had no effect.
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
  // False if the table did not answer.
  bool answered = false;
  // The row; nullopt if it does not exist.
  std::optional<stored_claim> stored;

  friend bool operator==(const claim_read_outcome&,
                         const claim_read_outcome&) = default;
};

// Result of a record_answer, which creates an object.
enum class record_status {
  stored,       // The object exists with this answer.
  failed,       // The object may not exist; its creation can be repeated.
  unavailable,  // The worker no longer has the answer.
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_CLAIM_RECORD_H_
