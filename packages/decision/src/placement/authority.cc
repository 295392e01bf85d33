#include "jasminepath/decision/placement/authority.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

authority_claim::authority_claim(authority_key key,
                                 instance_id self,
                                 duration retry_delay)
    : key_(std::move(key)), self_(std::move(self)), retry_delay_(retry_delay) {}

void authority_claim::Take() {
  if (!held_ && wish_ != wish::give_back)
    wish_ = wish::take;
}

void authority_claim::Renew(epoch floor) {
  if (!held_)
    return;
  floor_ = std::max(floor_, floor);
  held_ = false;
  wish_ = wish::take;
}

void authority_claim::Look() {
  if (wish_ == wish::none)
    wish_ = wish::look;
}

void authority_claim::GiveBack() {
  const bool may_hold = held_ || wish_ == wish::take;
  held_ = false;
  if (may_hold)
    wish_ = wish::give_back;
}

void authority_claim::Abandon() {
  if (wish_ == wish::take)
    wish_ = wish::none;
}

authority_claim::step authority_claim::NextStep(time_point now) {
  if (busy_ || wish_ == wish::none || now < not_before_)
    return step::none;
  busy_ = true;
  asked_at_ = now;
  if (wish_ == wish::look)
    return step::read;
  write_ = NextWrite();
  return step::write;
}

authority_write authority_claim::NextWrite() const {
  if (wish_ == wish::give_back)
    return {key_, {instance_id(), known_.number}, version_};
  const epoch next = std::max(known_.number, floor_) + epoch(1);
  return {key_, {self_, next}, version_};
}

bool authority_claim::OnRow(const authority_row& row, time_point now) {
  Finish(now);
  if (wish_ == wish::look)
    wish_ = wish::none;
  return Learn(row.record.value_or(authority_record()), row.version);
}

bool authority_claim::OnReadFailed(time_point now) {
  busy_ = false;
  Retry(now);
  return false;
}

bool authority_claim::OnOutcome(const authority_outcome& outcome,
                                time_point now) {
  if (outcome.end == commit_end::unknown || outcome.end == commit_end::not_sent)
    return OnReadFailed(now);
  Finish(now);
  return Learn(outcome.row.record.value_or(authority_record()),
               outcome.row.version);
}

bool authority_claim::OnNotice(const holder_notice& notice) {
  if (notice.version <= version_)
    return false;
  return Learn({notice.holder, notice.number}, notice.version);
}

bool authority_claim::Learn(const authority_record& record, revision version) {
  if (seen_ && version < version_)
    return false;
  // A newer row may have a holder that must not be superseded.
  if (wish_ == wish::take && (!seen_ || version > version_))
    wish_ = wish::none;
  const bool held_before = held_;
  const instance_id holder_before = known_.holder;
  seen_ = true;
  known_ = record;
  version_ = version;
  const bool mine = record.holder == self_ && record.number > floor_;
  held_ = mine && wish_ != wish::give_back;
  if (wish_ == wish::give_back && !busy_ && record.holder != self_)
    wish_ = wish::none;
  return held_ != held_before || known_.holder != holder_before;
}

void authority_claim::Finish(time_point now) {
  busy_ = false;
  confirmed_at_ = std::max(confirmed_at_, asked_at_);
  not_before_ = now;
}

void authority_claim::Retry(time_point now) {
  not_before_ = now + retry_delay_;
}

}  // namespace jasminepath::decision
