#include "jasminepath/decision/admission/idempotency_claim.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kFirstPause = Milliseconds(20);
constexpr duration kLongestPause = Seconds(1);
// Doublings after which the pause is the longest.
constexpr int64_t kMaxDoublings = 6;
// Pauses after which a call that has ended stops tidying up its row.
constexpr int64_t kMaxPausesAtEnd = 40;

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
  if (phase_ != phase::settling && phase_ != phase::following)
    return claim_pending{};
  if (!outcome.answered)
    return Pause();
  if (outcome.stored)
    return Examine(*outcome.stored, owner_is_live);
  if (abandoned_)
    return Close();
  return Create();
}

claim_step idempotency_claim::OnWake() {
  switch (phase_) {
    case phase::creating:
      return Create();
    case phase::settling:
    case phase::following:
      return claim_lookup{};
    case phase::storing:
      return claim_store_answer{answer_object_};
    case phase::closing:
      if (read_next_)
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
    return CloseWith(MakeRecord(claim_state::recorded));
  if (status == record_status::unavailable || pauses_ >= kMaxPausesAtEnd)
    return CloseWith(MakeRecord(claim_state::unknown));
  return Pause();
}

claim_step idempotency_claim::Release() {
  if (phase_ == phase::held)
    return CloseWith(std::nullopt);
  if (phase_ == phase::fresh || phase_ == phase::following)
    return Close();
  if (phase_ == phase::closed)
    return claim_closed{};
  abandoned_ = true;
  pauses_ = 0;
  return claim_pending{};
}

claim_step idempotency_claim::Record() {
  if (phase_ != phase::held)
    return Release();
  phase_ = phase::storing;
  pauses_ = 0;
  return claim_store_answer{answer_object_};
}

claim_step idempotency_claim::MarkUnknown() {
  if (phase_ != phase::held)
    return Release();
  return CloseWith(MakeRecord(claim_state::unknown));
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
  if (abandoned_ && !maybe_created_)
    return Close();
  if (abandoned_) {
    phase_ = phase::settling;
    return claim_lookup{};
  }
  phase_ = phase::creating;
  return claim_write{revision(0), MakeRecord(claim_state::claimed)};
}

claim_step idempotency_claim::OnCreateOutcome(
    const claim_write_outcome& outcome) {
  switch (outcome.status) {
    case write_status::committed:
      return Own(outcome.version);
    case write_status::conflict:
      if (outcome.stored)
        return Examine(*outcome.stored, true);
      return Pause();
    case write_status::lost:
      maybe_created_ = true;
      phase_ = phase::settling;
      return claim_lookup{};
    case write_status::unreachable:
      if (abandoned_ && !maybe_created_)
        return Close();
      return Pause();
  }
  return claim_pending{};
}

// Decides by a row that is there.
claim_step idempotency_claim::Examine(const stored_claim& stored,
                                      bool owner_is_live) {
  if (stored.record.nonce == nonce_)
    return Own(stored.version);
  if (abandoned_)
    return Close();
  if (stored.record.body_digest != body_digest_) {
    Close();
    return claim_rejected{refusal_code::idempotency_clash, run_state::not_run};
  }
  if (stored.record.state == claim_state::recorded) {
    Close();
    return claim_repeat{stored.record.answer_object};
  }
  return FollowOther(stored, owner_is_live);
}

claim_step idempotency_claim::Own(revision version) {
  version_ = version;
  phase_ = phase::held;
  pauses_ = 0;
  if (abandoned_)
    return CloseWith(std::nullopt);
  return claim_granted{};
}

// Waits while the owner may still end its call; else the outcome is unknown.
claim_step idempotency_claim::FollowOther(const stored_claim& stored,
                                          bool owner_is_live) {
  const bool orphaned = followed_ && !owner_is_live;
  if (stored.record.state == claim_state::unknown || orphaned) {
    Close();
    return claim_rejected{refusal_code::outcome_unknown, run_state::unknown};
  }
  followed_ = true;
  phase_ = phase::following;
  return Pause();
}

claim_step idempotency_claim::Pause() {
  const bool tidying = abandoned_ || phase_ == phase::closing;
  if (tidying && pauses_ >= kMaxPausesAtEnd)
    return Close();
  const int64_t doublings = std::min(pauses_++, kMaxDoublings);
  return claim_pause{
      std::min(kFirstPause * (int64_t{1} << doublings), kLongestPause)};
}

claim_step idempotency_claim::Close() {
  phase_ = phase::closed;
  return claim_closed{};
}

claim_step idempotency_claim::CloseWith(std::optional<claim_record> last) {
  phase_ = phase::closing;
  pauses_ = 0;
  read_next_ = false;
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
      read_next_ = true;
      return claim_lookup{};
    case write_status::unreachable:
      return Pause();
  }
  return claim_pending{};
}

claim_step idempotency_claim::OnCloseRead(const claim_read_outcome& outcome) {
  if (!outcome.answered)
    return Pause();
  if (!outcome.stored || outcome.stored->version != version_)
    return Close();
  read_next_ = false;
  return claim_write{version_, last_record_};
}

}  // namespace jasminepath::decision
