#include "jasminepath/decision/fleet/share_keeper.h"

#include <algorithm>
#include <random>
#include <utility>

#include "jasminepath/decision/fleet/peer_choice.h"
#include "jasminepath/decision/fleet/share_split.h"

namespace jasminepath::decision {
namespace {

// An instance below this part of the equal share asks for more.
constexpr int64_t kShortPercent = 75;
constexpr int64_t kPercent = 100;
// Holders that are asked at a time.
constexpr std::size_t kHoldersAsked = 4;
// The membership must be unchanged for this long before a row is created.
constexpr duration kSettlingTime = Seconds(1);
// How much later the next instance in rank does what the first did not.
constexpr duration kRankStep = Milliseconds(1500);
// How long a successor has for taking over its predecessor's part.
constexpr duration kSuccessorTime = Seconds(2);
constexpr duration kAuditPeriod = Seconds(30);
constexpr duration kLongestBackoff = Seconds(30);
// Transfers below this part of the equal share are not worth a write.
constexpr int64_t kLeastTransferPercent = 5;

int64_t ShortLimit(std::size_t instance_count) {
  return EqualPartPpm(instance_count) * kShortPercent / kPercent;
}

int64_t LeastTransfer(std::size_t instance_count) {
  const int64_t part =
      EqualPartPpm(instance_count) * kLeastTransferPercent / kPercent;
  return std::max<int64_t>(part, 1);
}

}  // namespace

share_keeper::share_keeper(team_id team,
                           instance_id self,
                           fleet_limits limits,
                           random_engine random,
                           time_point now)
    : team_(std::move(team)),
      self_(std::move(self)),
      limits_(limits),
      random_(random),
      changed_at_(now) {
  not_before_ = now + Jitter();
  next_audit_ = now + kAuditPeriod;
}

duration share_keeper::Jitter() {
  std::uniform_int_distribution<duration::rep> jitter(
      0, limits_.share_jitter.count());
  return duration(jitter(random_));
}

int64_t share_keeper::effective_ppm() const {
  if (stopped_)
    return 0;
  if (pending_ && known_version_ <= pending_->expected)
    return std::min(own_ppm_, pending_->own_ppm);
  return own_ppm_;
}

void share_keeper::LearnRow(const share_record& record, revision version) {
  if (version < record_version_)
    return;
  record_ = record;
  record_version_ = version;
  if (version < known_version_)
    return;
  known_version_ = version;
  own_ppm_ = PartOf(record, self_);
}

void share_keeper::OnRow(const share_record& record,
                         revision version,
                         time_point now) {
  reading_since_.reset();
  read_wanted_ = false;
  read_backoff_ = duration::zero();
  not_before_ = std::max(not_before_, now);
  LearnRow(record, version);
  if (pending_ && version > pending_->expected)
    pending_.reset();
}

void share_keeper::OnReadFailed(time_point now) {
  reading_since_.reset();
  read_wanted_ = true;
  read_backoff_ =
      std::clamp(read_backoff_ * 2, limits_.share_retry, kLongestBackoff);
  not_before_ = now + read_backoff_ / 2 + Jitter();
}

void share_keeper::OnCommitted(revision expected,
                               write_end end,
                               revision version,
                               time_point now) {
  if (!pending_ || pending_->expected != expected)
    return;
  pending_->in_flight = false;
  switch (end) {
    case write_end::committed: {
      const share_record before = record_.value_or(share_record());
      const share_record after = pending_->record;
      pending_.reset();
      LearnRow(after, version);
      read_backoff_ = duration::zero();
      for (const share_part& part : after.parts) {
        if (part.instance != self_ && part.ppm > PartOf(before, part.instance))
          to_notify_.push_back(part);
      }
      return;
    }
    case write_end::conflict:
      // An earlier copy may have been the one that changed the row.
      read_wanted_ = true;
      not_before_ = now + Jitter() / 4;
      return;
    case write_end::unreachable:
      if (!pending_->maybe_sent)
        pending_.reset();
      OnReadFailed(now);
      return;
    case write_end::lost:
      pending_->maybe_sent = true;
      read_wanted_ = true;
      not_before_ = now + Jitter() / 4;
      return;
  }
}

void share_keeper::OnNotice(const share_notice& notice) {
  if (notice.version <= known_version_)
    return;
  known_version_ = notice.version;
  own_ppm_ = notice.ppm;
  if (pending_ && notice.version > pending_->expected) {
    pending_.reset();
    read_wanted_ = true;
  }
}

void share_keeper::OnRequest(const instance_id& from, int64_t keep_ppm) {
  requests_[from] = keep_ppm;
}

void share_keeper::OnMembershipChanged(time_point now) {
  changed_at_ = now;
  next_audit_ = std::min(next_audit_, now + kSuccessorTime + Jitter());
}

void share_keeper::Stop() {
  stopped_ = true;
  requests_.clear();
}

void share_keeper::Expire(time_point now) {
  if (reading_since_ && now - *reading_since_ >= limits_.platform_call_expiry)
    OnReadFailed(now);
  if (pending_ && pending_->in_flight &&
      now - pending_->sent_at >= limits_.platform_call_expiry)
    OnCommitted(pending_->expected, write_end::lost, revision(), now);
}

void share_keeper::EmitShare(fleet_actions& actions) {
  const share_changed current{
      .team = team_, .ppm = effective_ppm(), .version = known_version_};
  if (emitted_ && emitted_->ppm == current.ppm)
    return;
  emitted_ = current;
  actions.push_back(current);
}

void share_keeper::Notify(const membership& members, fleet_actions& actions) {
  for (const share_part& part : to_notify_) {
    const instance_record* receiver = members.Find(part.instance);
    if (!receiver)
      continue;
    const share_notice notice{
        .team = team_, .version = record_version_, .ppm = part.ppm};
    actions.push_back(send_fleet_message{
        .peer = {.instance = receiver->id, .address = receiver->mesh_address},
        .message = notice});
  }
  to_notify_.clear();
}

void share_keeper::Act(const membership& members,
                       time_point now,
                       fleet_actions& actions) {
  Expire(now);
  EmitShare(actions);
  if (stopped_ || !members.Find(self_))
    return;
  Notify(members, actions);
  const bool waiting = reading_since_ || (pending_ && pending_->in_flight);
  if (waiting || now < not_before_)
    return;
  if (pending_)
    ResubmitOrRead(now, actions);
  else if (active_)
    ActSettled(members, now, actions);
}

void share_keeper::ResubmitOrRead(time_point now, fleet_actions& actions) {
  if (read_wanted_) {
    StartRead(now, actions);
    return;
  }
  // The row was read at the version expected, so the write has not taken
  // effect; the condition lets at most one copy do so.
  Submit(pending_->record, now, actions);
}

void share_keeper::StartRead(time_point now, fleet_actions& actions) {
  reading_since_ = now;
  next_audit_ = now + kAuditPeriod;
  actions.push_back(read_share{.team = team_});
}

void share_keeper::Submit(share_record record,
                          time_point now,
                          fleet_actions& actions) {
  if (!pending_) {
    pending_ = pending_commit{.record = std::move(record),
                              .expected = record_version_,
                              .own_ppm = 0,
                              .in_flight = false,
                              .maybe_sent = false,
                              .sent_at = now};
    pending_->own_ppm = PartOf(pending_->record, self_);
  }
  pending_->in_flight = true;
  pending_->sent_at = now;
  // The reduction is in force before the write leaves.
  EmitShare(actions);
  actions.push_back(commit_share{.team = team_,
                                 .record = pending_->record,
                                 .expected = pending_->expected});
}

void share_keeper::ActSettled(const membership& members,
                              time_point now,
                              fleet_actions& actions) {
  const bool outdated = record_ && record_version_ < known_version_;
  const bool read_due = read_wanted_ || !record_ || AuditIsDue(members, now);
  if (read_due || (outdated && !requests_.empty())) {
    StartRead(now, actions);
    return;
  }
  if (Create(members, now, actions))
    return;
  if (HandOutEnded(members, now, actions))
    return;
  if (AnswerRequests(members, now, actions))
    return;
  AskForMore(members, now, actions);
}

bool share_keeper::AuditIsDue(const membership& members, time_point now) {
  if (now < next_audit_)
    return false;
  next_audit_ = now + kAuditPeriod;
  return RendezvousRank(team_.value(), self_, members.Live()) == 0;
}

bool share_keeper::Create(const membership& members,
                          time_point now,
                          fleet_actions& actions) {
  if (record_version_ > revision())
    return false;
  const auto live = members.Live();
  const int64_t rank = RendezvousRank(team_.value(), self_, live);
  if (now < changed_at_ + kSettlingTime + rank * kRankStep)
    return true;
  Submit(SplitEqually(live), now, actions);
  return true;
}

bool share_keeper::HandOutEnded(const membership& members,
                                time_point now,
                                fleet_actions& actions) {
  share_record remaining = WithoutEnded(*record_, record_version_, members);
  const int64_t free = kWholeSharePpm - TotalPpm(remaining);
  const int64_t least = LeastTransfer(members.Staying().size());
  if (free < least || record_version_ < known_version_)
    return false;
  const auto& live = members.Live();
  const auto& staying = members.Staying();
  const int64_t own = PartOf(remaining, self_);
  if (own < ShortLimit(staying.size())) {
    const int64_t wanted = EqualPartPpm(staying.size()) - own;
    SetPart(remaining, self_, own + std::min(free, wanted));
    Submit(std::move(remaining), now, actions);
    return true;
  }
  const int64_t rank = RendezvousRank(team_.value(), self_, live);
  if (now < changed_at_ + kSuccessorTime + rank * kRankStep)
    return false;
  const share_record raised = HandOutFree(remaining, live);
  if (raised == *record_)
    return false;
  Submit(raised, now, actions);
  return true;
}

bool share_keeper::AnswerRequests(const membership& members,
                                  time_point now,
                                  fleet_actions& actions) {
  if (requests_.empty())
    return false;
  const auto requests = std::exchange(requests_, {});
  const std::size_t staying = members.Staying().size();
  share_record changed = *record_;
  const int64_t least = ShortLimit(staying);
  int64_t own = PartOf(changed, self_);
  for (const auto& [from, keep_ppm] : requests) {
    if (!members.Find(from) || members.IsLeaving(from))
      continue;
    const int64_t kept = std::max(keep_ppm, least);
    const int64_t given = own - kept;
    if (given < LeastTransfer(staying))
      continue;
    own -= given;
    SetPart(changed, from, PartOf(changed, from) + given);
  }
  SetPart(changed, self_, own);
  if (changed == *record_)
    return false;
  Submit(std::move(changed), now, actions);
  return true;
}

std::vector<share_part> share_keeper::LargestHolders(
    const membership& members) const {
  std::vector<share_part> holders;
  for (const share_part& part : record_->parts) {
    const bool usable = part.instance != self_ && members.Find(part.instance) &&
                        !members.IsSuspected(part.instance);
    if (usable && part.ppm > own_ppm_)
      holders.push_back(part);
  }
  std::stable_sort(
      holders.begin(), holders.end(),
      [](const share_part& a, const share_part& b) { return a.ppm > b.ppm; });
  if (holders.size() > kHoldersAsked)
    holders.resize(kHoldersAsked);
  return holders;
}

void share_keeper::AskForMore(const membership& members,
                              time_point now,
                              fleet_actions& actions) {
  if (own_ppm_ >= ShortLimit(members.Staying().size())) {
    ask_backoff_ = duration::zero();
    return;
  }
  const auto holders = LargestHolders(members);
  int64_t sum = own_ppm_;
  for (const share_part& holder : holders)
    sum += holder.ppm;
  const int64_t level = sum / static_cast<int64_t>(holders.size() + 1);
  for (const share_part& holder : holders) {
    const instance_record* record = members.Find(holder.instance);
    actions.push_back(send_fleet_message{
        .peer = {.instance = record->id, .address = record->mesh_address},
        .message = share_request{.team = team_, .keep_ppm = level}});
  }
  ask_backoff_ =
      std::clamp(ask_backoff_ * 2, limits_.share_retry, kLongestBackoff);
  not_before_ = now + ask_backoff_ + Jitter();
  read_wanted_ = true;
}

}  // namespace jasminepath::decision
