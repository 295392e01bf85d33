#include "jasminepath/decision/fleet/share_manager.h"

#include <algorithm>
#include <random>
#include <utility>

#include "jasminepath/decision/fleet/peer_choice.h"
#include "jasminepath/decision/fleet/share_split.h"

namespace jasminepath::decision {
namespace {

// An instance requests more if its part is below this percentage of the equal
// part.
constexpr int64_t kRequestThresholdPercent = 75;
constexpr int64_t kFullPercent = 100;
// The maximum number of holders that receive a request at the same time.
constexpr std::size_t kMaxRequestedHolders = 4;
// The membership must be unchanged for this time before a row is created.
constexpr duration kMembershipSettleTime = Seconds(1);
// The additional delay per rank before an instance acts in place of those that
// rank before it.
constexpr duration kRankDelay = Milliseconds(1500);
// How long the parts of ended instances are left for their successors to take
// over before they are redistributed.
constexpr duration kSuccessorGracePeriod = Seconds(2);
constexpr duration kAuditPeriod = Seconds(30);
constexpr duration kMaxBackoff = Seconds(30);
// Transfers below this percentage of the equal part do not justify a write.
constexpr int64_t kMinTransferPercent = 5;

int64_t RequestThresholdPpm(std::size_t instance_count) {
  return EqualPartPpm(instance_count) * kRequestThresholdPercent / kFullPercent;
}

int64_t MinTransferPpm(std::size_t instance_count) {
  const int64_t part =
      EqualPartPpm(instance_count) * kMinTransferPercent / kFullPercent;
  return std::max<int64_t>(part, 1);
}

}  // namespace

share_manager::share_manager(team_id team,
                             instance_id self,
                             fleet_limits limits,
                             random_engine random,
                             time_point now)
    : team_(std::move(team)),
      self_(std::move(self)),
      limits_(limits),
      random_(random),
      membership_changed_at_(now) {
  not_before_ = now + Jitter();
  next_audit_ = now + kAuditPeriod;
}

duration share_manager::Jitter() {
  std::uniform_int_distribution<duration::rep> jitter(
      0, limits_.share_jitter.count());
  return duration(jitter(random_));
}

int64_t share_manager::effective_ppm() const {
  if (is_stopped_)
    return 0;
  if (pending_ && known_version_ <= pending_->expected)
    return std::min(own_ppm_, pending_->own_ppm);
  return own_ppm_;
}

void share_manager::RecordRow(const share_record& record, revision version) {
  if (version < record_version_)
    return;
  record_ = record;
  record_version_ = version;
  if (version < known_version_)
    return;
  known_version_ = version;
  own_ppm_ = PartPpm(record, self_);
}

void share_manager::OnRow(const share_record& record,
                          revision version,
                          time_point now) {
  reading_since_.reset();
  needs_read_ = false;
  read_backoff_ = duration::zero();
  not_before_ = std::max(not_before_, now);
  RecordRow(record, version);
  if (pending_ && version > pending_->expected)
    pending_.reset();
}

void share_manager::OnReadFailed(time_point now) {
  reading_since_.reset();
  needs_read_ = true;
  read_backoff_ =
      std::clamp(read_backoff_ * 2, limits_.share_retry, kMaxBackoff);
  not_before_ = now + read_backoff_ / 2 + Jitter();
}

void share_manager::OnCommitted(revision expected,
                                write_outcome outcome,
                                revision version,
                                time_point now) {
  if (!pending_ || pending_->expected != expected)
    return;
  pending_->is_in_flight = false;
  switch (outcome) {
    case write_outcome::committed: {
      const share_record before = record_.value_or(share_record());
      const share_record after = pending_->record;
      pending_.reset();
      RecordRow(after, version);
      read_backoff_ = duration::zero();
      for (const share_part& part : after.parts) {
        if (part.instance != self_ && part.ppm > PartPpm(before, part.instance))
          parts_to_notify_.push_back(part);
      }
      return;
    }
    case write_outcome::conflict:
      // The conflict may have been caused by an earlier copy of this write.
      needs_read_ = true;
      not_before_ = now + Jitter() / 4;
      return;
    case write_outcome::unreachable:
      if (!pending_->may_have_effect)
        pending_.reset();
      OnReadFailed(now);
      return;
    case write_outcome::lost:
      pending_->may_have_effect = true;
      needs_read_ = true;
      not_before_ = now + Jitter() / 4;
      return;
  }
}

void share_manager::OnNotice(const share_notice& notice) {
  if (notice.version <= known_version_)
    return;
  known_version_ = notice.version;
  own_ppm_ = notice.ppm;
  if (pending_ && notice.version > pending_->expected) {
    pending_.reset();
    needs_read_ = true;
  }
}

void share_manager::OnRequest(const instance_id& from, int64_t keep_ppm) {
  requests_[from] = keep_ppm;
}

void share_manager::OnMembershipChanged(time_point now) {
  membership_changed_at_ = now;
  next_audit_ = std::min(next_audit_, now + kSuccessorGracePeriod + Jitter());
}

void share_manager::Stop() {
  is_stopped_ = true;
  requests_.clear();
}

void share_manager::ExpireCalls(time_point now) {
  if (reading_since_ && now - *reading_since_ >= limits_.platform_call_expiry)
    OnReadFailed(now);
  if (pending_ && pending_->is_in_flight &&
      now - pending_->sent_at >= limits_.platform_call_expiry)
    OnCommitted(pending_->expected, write_outcome::lost, revision(), now);
}

void share_manager::EmitShare(fleet_actions& actions) {
  const share_changed current{
      .team = team_, .ppm = effective_ppm(), .version = known_version_};
  if (last_emitted_ && last_emitted_->ppm == current.ppm)
    return;
  last_emitted_ = current;
  actions.push_back(current);
}

void share_manager::SendNotices(const membership& members,
                                fleet_actions& actions) {
  for (const share_part& part : parts_to_notify_) {
    const instance_record* receiver = members.Find(part.instance);
    if (!receiver)
      continue;
    const share_notice notice{
        .team = team_, .version = record_version_, .ppm = part.ppm};
    actions.push_back(send_fleet_message{
        .peer = {.instance = receiver->id, .address = receiver->mesh_address},
        .message = notice});
  }
  parts_to_notify_.clear();
}

void share_manager::AppendActions(const membership& members,
                                  time_point now,
                                  fleet_actions& actions) {
  ExpireCalls(now);
  EmitShare(actions);
  if (is_stopped_ || !members.Find(self_))
    return;
  SendNotices(members, actions);
  const bool is_waiting =
      reading_since_ || (pending_ && pending_->is_in_flight);
  if (is_waiting || now < not_before_)
    return;
  if (pending_)
    ResubmitOrRead(now, actions);
  else if (is_active_)
    AppendActionsWhenSettled(members, now, actions);
}

void share_manager::ResubmitOrRead(time_point now, fleet_actions& actions) {
  if (needs_read_) {
    StartRead(now, actions);
    return;
  }
  // The row was read at the expected version, so the write has not taken
  // effect. Because the write is conditional on this version, at most one of
  // its copies can take effect.
  Submit(pending_->record, now, actions);
}

void share_manager::StartRead(time_point now, fleet_actions& actions) {
  reading_since_ = now;
  next_audit_ = now + kAuditPeriod;
  actions.push_back(read_share{.team = team_});
}

void share_manager::Submit(share_record record,
                           time_point now,
                           fleet_actions& actions) {
  if (!pending_) {
    pending_ = pending_commit{.record = std::move(record),
                              .expected = record_version_,
                              .own_ppm = 0,
                              .is_in_flight = false,
                              .may_have_effect = false,
                              .sent_at = now};
    pending_->own_ppm = PartPpm(pending_->record, self_);
  }
  pending_->is_in_flight = true;
  pending_->sent_at = now;
  // The reduction must be in force before the write is sent.
  EmitShare(actions);
  actions.push_back(commit_share{.team = team_,
                                 .record = pending_->record,
                                 .expected = pending_->expected});
}

void share_manager::AppendActionsWhenSettled(const membership& members,
                                             time_point now,
                                             fleet_actions& actions) {
  const bool is_outdated = record_ && record_version_ < known_version_;
  const bool is_read_due = needs_read_ || !record_ || IsAuditDue(members, now);
  if (is_read_due || (is_outdated && !requests_.empty())) {
    StartRead(now, actions);
    return;
  }
  if (CreateRecord(members, now, actions))
    return;
  if (RedistributeUnassigned(members, now, actions))
    return;
  if (GrantRequests(members, now, actions))
    return;
  RequestMore(members, now, actions);
}

bool share_manager::IsAuditDue(const membership& members, time_point now) {
  if (now < next_audit_)
    return false;
  next_audit_ = now + kAuditPeriod;
  return RendezvousRank(team_.value(), self_, members.Live()) == 0;
}

bool share_manager::CreateRecord(const membership& members,
                                 time_point now,
                                 fleet_actions& actions) {
  if (record_version_ > revision())
    return false;
  const auto live = members.Live();
  const int64_t rank = RendezvousRank(team_.value(), self_, live);
  if (now < membership_changed_at_ + kMembershipSettleTime + rank * kRankDelay)
    return true;
  Submit(SplitEqually(live), now, actions);
  return true;
}

bool share_manager::RedistributeUnassigned(const membership& members,
                                           time_point now,
                                           fleet_actions& actions) {
  share_record remaining = WithoutEnded(*record_, record_version_, members);
  const int64_t unassigned = kWholeSharePpm - TotalPpm(remaining);
  const int64_t min_ppm = MinTransferPpm(members.NonLeaving().size());
  if (unassigned < min_ppm || record_version_ < known_version_)
    return false;
  const auto& live = members.Live();
  const auto& non_leaving = members.NonLeaving();
  const int64_t own = PartPpm(remaining, self_);
  if (own < RequestThresholdPpm(non_leaving.size())) {
    const int64_t shortfall = EqualPartPpm(non_leaving.size()) - own;
    SetPart(remaining, self_, own + std::min(unassigned, shortfall));
    Submit(std::move(remaining), now, actions);
    return true;
  }
  const int64_t rank = RendezvousRank(team_.value(), self_, live);
  if (now < membership_changed_at_ + kSuccessorGracePeriod + rank * kRankDelay)
    return false;
  const share_record raised = DistributeUnassigned(remaining, live);
  if (raised == *record_)
    return false;
  Submit(raised, now, actions);
  return true;
}

bool share_manager::GrantRequests(const membership& members,
                                  time_point now,
                                  fleet_actions& actions) {
  if (requests_.empty())
    return false;
  const auto requests = std::exchange(requests_, {});
  const std::size_t non_leaving = members.NonLeaving().size();
  share_record changed = *record_;
  const int64_t min_ppm = RequestThresholdPpm(non_leaving);
  int64_t own = PartPpm(changed, self_);
  for (const auto& [from, keep_ppm] : requests) {
    if (!members.Find(from) || members.IsLeaving(from))
      continue;
    const int64_t kept_ppm = std::max(keep_ppm, min_ppm);
    const int64_t transferred_ppm = own - kept_ppm;
    if (transferred_ppm < MinTransferPpm(non_leaving))
      continue;
    own -= transferred_ppm;
    SetPart(changed, from, PartPpm(changed, from) + transferred_ppm);
  }
  SetPart(changed, self_, own);
  if (changed == *record_)
    return false;
  Submit(std::move(changed), now, actions);
  return true;
}

std::vector<share_part> share_manager::LargestHolders(
    const membership& members) const {
  std::vector<share_part> holders;
  for (const share_part& part : record_->parts) {
    const bool is_eligible = part.instance != self_ &&
                             members.Find(part.instance) &&
                             !members.IsSuspected(part.instance);
    if (is_eligible && part.ppm > own_ppm_)
      holders.push_back(part);
  }
  std::stable_sort(
      holders.begin(), holders.end(),
      [](const share_part& a, const share_part& b) { return a.ppm > b.ppm; });
  if (holders.size() > kMaxRequestedHolders)
    holders.resize(kMaxRequestedHolders);
  return holders;
}

void share_manager::RequestMore(const membership& members,
                                time_point now,
                                fleet_actions& actions) {
  if (own_ppm_ >= RequestThresholdPpm(members.NonLeaving().size())) {
    request_backoff_ = duration::zero();
    return;
  }
  const auto holders = LargestHolders(members);
  int64_t sum = own_ppm_;
  for (const share_part& holder : holders)
    sum += holder.ppm;
  const int64_t average_ppm = sum / static_cast<int64_t>(holders.size() + 1);
  for (const share_part& holder : holders) {
    const instance_record* record = members.Find(holder.instance);
    actions.push_back(send_fleet_message{
        .peer = {.instance = record->id, .address = record->mesh_address},
        .message = share_request{.team = team_, .keep_ppm = average_ppm}});
  }
  request_backoff_ =
      std::clamp(request_backoff_ * 2, limits_.share_retry, kMaxBackoff);
  not_before_ = now + request_backoff_ + Jitter();
  needs_read_ = true;
}

}  // namespace jasminepath::decision
