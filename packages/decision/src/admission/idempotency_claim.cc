#include "jasminepath/decision/admission/idempotency_claim.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kInitialBackoff = Milliseconds(20);
constexpr duration kMaxBackoff = Seconds(1);
// Number of doublings after which the back-off time has its maximum.
constexpr int64_t kMaxBackoffDoublings = 6;
// Number of back-offs after which a call that has ended stops cleaning up its
// row, or records its outcome as unknown if the answer could not be stored.
constexpr int64_t kMaxBackoffsAfterEnd = 40;

}  // namespace

bool IsClaimExpired(const claim_record& record, int64_t now_unix_s) {
  return record.created_unix_s != 0 &&
         now_unix_s - record.created_unix_s > kClaimRetentionSeconds;
}

idempotency_claim::idempotency_claim(std::string nonce,
                                     std::string body_digest,
                                     instance_id owner,
                                     std::string answer_object)
    : nonce_(std::move(nonce)),
      body_digest_(std::move(body_digest)),
      owner_(std::move(owner)),
      answer_object_(std::move(answer_object)) {}

claim_step idempotency_claim::Begin() {
  return Create();
}

claim_step idempotency_claim::OnWrite(const claim_write_outcome& outcome) {
  if (phase_ == phase::creating)
    return OnCreateOutcome(outcome);
  if (phase_ == phase::closing)
    return OnCloseOutcome(outcome);
  return claim_pending{};
}

claim_step idempotency_claim::OnRead(const claim_read_outcome& outcome,
                                     bool owner_is_live) {
  if (phase_ == phase::closing)
    return OnCloseRead(outcome);
  if (phase_ != phase::verifying && phase_ != phase::waiting_for_owner)
    return claim_pending{};
  if (!outcome.answered)
    return BackOff();
  if (outcome.stored)
    return HandleExistingRow(*outcome.stored, owner_is_live);
  if (is_abandoned_)
    return Close();
  return Create();
}

claim_step idempotency_claim::OnWake() {
  switch (phase_) {
    case phase::creating:
      return Create();
    case phase::verifying:
    case phase::waiting_for_owner:
      return claim_lookup{};
    case phase::storing:
      return claim_store_answer{answer_object_};
    case phase::closing:
      if (should_read_next_)
        return claim_lookup{};
      return claim_write{version_, last_record_};
    default:
      return claim_pending{};
  }
}

claim_step idempotency_claim::OnAnswerRecorded(record_status status) {
  if (phase_ != phase::storing)
    return claim_pending{};
  if (status == record_status::stored)
    return WriteAndClose(MakeRecord(claim_state::recorded));
  if (status == record_status::unavailable ||
      backoff_count_ >= kMaxBackoffsAfterEnd)
    return WriteAndClose(MakeRecord(claim_state::unknown));
  return BackOff();
}

claim_step idempotency_claim::Release() {
  if (phase_ == phase::held)
    return WriteAndClose(std::nullopt);
  if (phase_ == phase::fresh || phase_ == phase::waiting_for_owner)
    return Close();
  if (phase_ == phase::closed)
    return claim_closed{};
  is_abandoned_ = true;
  backoff_count_ = 0;
  return claim_pending{};
}

claim_step idempotency_claim::Record() {
  if (phase_ != phase::held)
    return Release();
  phase_ = phase::storing;
  backoff_count_ = 0;
  return claim_store_answer{answer_object_};
}

claim_step idempotency_claim::MarkUnknown() {
  if (phase_ != phase::held)
    return Release();
  return WriteAndClose(MakeRecord(claim_state::unknown));
}

claim_record idempotency_claim::MakeRecord(claim_state state) const {
  claim_record record;
  record.nonce = nonce_;
  record.body_digest = body_digest_;
  record.state = state;
  if (state == claim_state::recorded)
    record.answer_object = answer_object_;
  record.owner = owner_;
  return record;
}

claim_step idempotency_claim::Create() {
  if (is_abandoned_ && !may_exist_)
    return Close();
  if (is_abandoned_) {
    phase_ = phase::verifying;
    return claim_lookup{};
  }
  phase_ = phase::creating;
  return claim_write{revision(0), MakeRecord(claim_state::claimed)};
}

claim_step idempotency_claim::OnCreateOutcome(
    const claim_write_outcome& outcome) {
  switch (outcome.status) {
    case write_status::committed:
      return TakeOwnership(outcome.version);
    case write_status::conflict:
      if (outcome.stored)
        return HandleExistingRow(*outcome.stored, true);
      return BackOff();
    case write_status::lost:
      may_exist_ = true;
      phase_ = phase::verifying;
      return claim_lookup{};
    case write_status::unreachable:
      if (is_abandoned_ && !may_exist_)
        return Close();
      return BackOff();
  }
  return claim_pending{};
}

// Determines the next step from an existing row.
claim_step idempotency_claim::HandleExistingRow(const stored_claim& stored,
                                                bool owner_is_live) {
  if (stored.record.nonce == nonce_)
    return TakeOwnership(stored.version);
  if (is_abandoned_)
    return Close();
  if (stored.record.body_digest != body_digest_) {
    Close();
    return claim_rejected{refusal_code::idempotency_clash, run_state::not_run};
  }
  if (stored.record.state == claim_state::recorded) {
    Close();
    return claim_repeat{stored.record.answer_object};
  }
  return WaitForOwner(stored, owner_is_live);
}

claim_step idempotency_claim::TakeOwnership(revision version) {
  version_ = version;
  phase_ = phase::held;
  backoff_count_ = 0;
  if (is_abandoned_)
    return WriteAndClose(std::nullopt);
  return claim_granted{};
}

// Waits while the owner may still end its call; otherwise the outcome is
// unknown.
claim_step idempotency_claim::WaitForOwner(const stored_claim& stored,
                                           bool owner_is_live) {
  const bool is_orphaned = has_seen_owner_ && !owner_is_live;
  if (stored.record.state == claim_state::unknown || is_orphaned) {
    Close();
    return claim_rejected{refusal_code::outcome_unknown, run_state::unknown};
  }
  has_seen_owner_ = true;
  phase_ = phase::waiting_for_owner;
  return BackOff();
}

claim_step idempotency_claim::BackOff() {
  const bool is_cleaning_up = is_abandoned_ || phase_ == phase::closing;
  if (is_cleaning_up && backoff_count_ >= kMaxBackoffsAfterEnd)
    return Close();
  const int64_t doublings = std::min(backoff_count_++, kMaxBackoffDoublings);
  return claim_pause{
      std::min(kInitialBackoff * (int64_t{1} << doublings), kMaxBackoff)};
}

claim_step idempotency_claim::Close() {
  phase_ = phase::closed;
  return claim_closed{};
}

claim_step idempotency_claim::WriteAndClose(std::optional<claim_record> last) {
  phase_ = phase::closing;
  backoff_count_ = 0;
  should_read_next_ = false;
  last_record_ = std::move(last);
  return claim_write{version_, last_record_};
}

claim_step idempotency_claim::OnCloseOutcome(
    const claim_write_outcome& outcome) {
  switch (outcome.status) {
    case write_status::committed:
    case write_status::conflict:
      return Close();
    case write_status::lost:
      should_read_next_ = true;
      return claim_lookup{};
    case write_status::unreachable:
      return BackOff();
  }
  return claim_pending{};
}

claim_step idempotency_claim::OnCloseRead(const claim_read_outcome& outcome) {
  if (!outcome.answered)
    return BackOff();
  if (!outcome.stored || outcome.stored->version != version_)
    return Close();
  should_read_next_ = false;
  return claim_write{version_, last_record_};
}

}  // namespace jasminepath::decision
