#include "jasminepath/decision/placement/authority.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

authority_claim::authority_claim(authority_key key,
                                 instance_id self,
                                 duration retry_delay)
    : key_(std::move(key)), self_(std::move(self)), retry_delay_(retry_delay) {}

void authority_claim::Acquire() {
  if (!is_held_ && goal_ != goal::release)
    goal_ = goal::acquire;
}

void authority_claim::Reacquire(epoch floor) {
  if (!is_held_)
    return;
  epoch_floor_ = std::max(epoch_floor_, floor);
  is_held_ = false;
  goal_ = goal::acquire;
}

void authority_claim::RequestRead() {
  if (goal_ == goal::none)
    goal_ = goal::read;
}

void authority_claim::Release() {
  const bool may_be_holder = is_held_ || goal_ == goal::acquire;
  is_held_ = false;
  if (may_be_holder)
    goal_ = goal::release;
}

void authority_claim::CancelAcquire() {
  if (goal_ == goal::acquire)
    goal_ = goal::none;
}

authority_claim::step authority_claim::NextStep(time_point now) {
  if (has_call_in_flight_ || goal_ == goal::none || now < next_call_at_)
    return step::none;
  has_call_in_flight_ = true;
  call_sent_at_ = now;
  if (goal_ == goal::read)
    return step::read;
  write_ = NextWrite();
  return step::write;
}

authority_write authority_claim::NextWrite() const {
  if (goal_ == goal::release)
    return {key_, {instance_id(), last_record_.number}, version_};
  const epoch next = std::max(last_record_.number, epoch_floor_) + epoch(1);
  return {key_, {self_, next}, version_};
}

bool authority_claim::OnRow(const authority_row& row, time_point now) {
  OnAnswer(now);
  if (goal_ == goal::read)
    goal_ = goal::none;
  return ApplyRow(row.record.value_or(authority_record()), row.version);
}

bool authority_claim::OnReadFailed(time_point now) {
  has_call_in_flight_ = false;
  ScheduleRetry(now);
  return false;
}

bool authority_claim::OnOutcome(const authority_outcome& outcome,
                                time_point now) {
  if (outcome.end == commit_end::unknown || outcome.end == commit_end::not_sent)
    return OnReadFailed(now);
  OnAnswer(now);
  return ApplyRow(outcome.row.record.value_or(authority_record()),
                  outcome.row.version);
}

bool authority_claim::OnNotice(const holder_notice& notice) {
  if (notice.version <= version_)
    return false;
  return ApplyRow({notice.holder, notice.number}, notice.version);
}

bool authority_claim::ApplyRow(const authority_record& record,
                               revision version) {
  if (has_row_ && version < version_)
    return false;
  // A newer row may name a holder that must not be superseded, so the caller
  // has to check again before it acquires the authority.
  if (goal_ == goal::acquire && (!has_row_ || version > version_))
    goal_ = goal::none;
  const bool was_held = is_held_;
  const instance_id holder_before = last_record_.holder;
  has_row_ = true;
  last_record_ = record;
  version_ = version;
  const bool names_this_node =
      record.holder == self_ && record.number > epoch_floor_;
  is_held_ = names_this_node && goal_ != goal::release;
  if (goal_ == goal::release && !has_call_in_flight_ && record.holder != self_)
    goal_ = goal::none;
  return is_held_ != was_held || last_record_.holder != holder_before;
}

void authority_claim::OnAnswer(time_point now) {
  has_call_in_flight_ = false;
  confirmed_at_ = std::max(confirmed_at_, call_sent_at_);
  next_call_at_ = now;
}

void authority_claim::ScheduleRetry(time_point now) {
  next_call_at_ = now + retry_delay_;
}

}  // namespace jasminepath::decision
