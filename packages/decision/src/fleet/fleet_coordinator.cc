#include "jasminepath/decision/fleet/fleet_coordinator.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "jasminepath/decision/fleet/peer_choice.h"
#include "jasminepath/decision/fleet/peer_links.h"
#include "jasminepath/decision/fleet/poll_schedule.h"
#include "jasminepath/decision/fleet/registration.h"
#include "jasminepath/decision/fleet/row_exchange.h"
#include "jasminepath/decision/fleet/share_keeper.h"
#include "jasminepath/decision/fleet/silence_reports.h"
#include "jasminepath/decision/fleet/view_freshness.h"
#include "jasminepath/decision/fleet/vm_presence.h"

namespace jasminepath::decision {
namespace {

constexpr duration kTickPeriod = Milliseconds(250);
// Changes closer together than this are announced in one heartbeat.
constexpr duration kAnnouncePeriod = Milliseconds(100);
// A drain ends after this even if the platform does not answer.
constexpr duration kLongestDrain = Seconds(5);
// Senders whose row is not known.
constexpr std::size_t kMaxStrangers = 64;
// Rows that one VM list may lead this instance to write.
constexpr int kWritesPerVmList = 4;
// How much longer the next instance in rank waits before it removes a row.
constexpr duration kRemovalRankStep = Seconds(10);
constexpr char kPollDuty[] = "poll";

random_engine Fork(random_engine& random) {
  return random_engine(random());
}

}  // namespace

class fleet_coordinator::implementation {
 public:
  implementation(instance_record self,
                 std::vector<std::string> seeds,
                 fleet_limits limits,
                 random_engine random,
                 time_point now);

  void OnMessage(const instance_id& from,
                 const fleet_message& message,
                 time_point now);
  void OnVmList(const std::vector<fleet_vm>& vms, time_point now);
  void OnInstanceRows(const std::vector<instance_row>& rows,
                      revision since,
                      revision version,
                      time_point now);
  void OnFactRows(const std::vector<fact>& rows,
                  revision since,
                  revision version);
  void OnPushedFacts(const std::vector<fact>& rows);
  void OnPollFailed(poll_kind kind, time_point now);
  void OnInstanceWritten(const instance_id& instance,
                         revision expected,
                         write_end end,
                         revision version,
                         time_point now);
  void OnConfiguration(const config::configuration& configuration,
                       time_point now);
  void OnDrain(time_point now);
  void OnTick(time_point now);

  // Ends every event: announces changes, acts on shares, judges readiness, and
  // hands over what is to be done.
  fleet_actions Finish(time_point now);

  share_keeper* Keeper(const team_id& team);
  time_point NextDeadline() const;

  const row_exchange<std::string>& facts() const { return facts_; }
  const membership& members() const { return members_; }
  const registration& own() const { return registration_; }
  bool ready() const { return readiness_ && readiness_->ready; }

 private:
  // A heartbeat whose digest named rows that this node still has to get.
  struct pending_confirmation {
    time_point sent_after{};
    store_digest facts;
    std::optional<duration> platform_age;

    friend bool operator==(const pending_confirmation&,
                           const pending_confirmation&) = default;
  };

  // A write of an instance row that is on its way; no record deletes the row.
  struct instance_write {
    revision expected;
    std::optional<instance_record> record;

    friend bool operator==(const instance_write&,
                           const instance_write&) = default;
  };

  // Message handlers; `from` is the sender.
  void On(const instance_id& from, const hello_message& hello, time_point now);
  void On(const instance_id& from,
          const heartbeat_message& heartbeat,
          time_point now);
  void On(const instance_id& from, const row_request& request, time_point now);
  void On(const instance_id& from, const fact_page& page, time_point now);
  void On(const instance_id& from, const instance_page& page, time_point now);
  void On(const instance_id& from, const goodbye_message&, time_point now);
  void On(const instance_id& from,
          const share_request& request,
          time_point now);
  void On(const instance_id& from, const share_notice& notice, time_point now);

  std::optional<peer_link> AddressOf(const instance_id& id) const;
  void Send(const peer_link& peer, fleet_message message);
  void Reply(const instance_id& to, fleet_message message);
  void NoteHeard(const instance_id& from, time_point now);
  void SendHeartbeat(const peer_link& peer, time_point now);
  void SendHeartbeats(time_point now);
  void GreetSeeds();

  void TakeFacts(const std::vector<fact>& changed);
  void TakeInstances(const std::vector<instance_row>& changed, time_point now);
  void SettleConfirmations();
  void Confirm(const instance_id& peer, const pending_confirmation& told);

  void OnMembersChanged(time_point now);
  void ChooseLinks(time_point now);
  void EmitLinks();
  void JudgeSilence(time_point now);
  void Poll(time_point now);
  void JudgeReadiness(time_point now);
  void JudgeFencing();
  void FinishDrain(time_point now);
  void WriteInstance(const instance_row& row,
                     std::optional<instance_record> record);
  void MarkListedVms();
  void RemoveGoneInstances(time_point now);
  bool CanAct() const { return !fenced_ && !drain_started_; }

  fleet_limits limits_;
  std::vector<std::string> seeds_;
  random_engine random_;
  instance_id self_id_;

  row_exchange<std::string> facts_;
  row_exchange<instance_record> instances_;
  membership members_;
  registration registration_;
  peer_links links_;
  silence_reports silence_;
  view_freshness view_;
  vm_presence vms_;
  poll_schedule fact_polls_;
  poll_schedule instance_polls_;
  poll_schedule vm_polls_;
  std::map<team_id, share_keeper> keepers_;

  std::map<instance_id, instance_record> strangers_;
  std::map<instance_id, pending_confirmation> confirmations_;
  std::map<instance_id, instance_write> writes_;
  std::vector<instance_id> chosen_;
  std::vector<instance_id> emitted_live_;
  std::optional<readiness_changed> readiness_;
  std::optional<time_point> drain_started_;
  bool drain_reported_ = false;
  bool fenced_ = false;
  bool announce_ = false;
  int64_t poll_rank_ = 0;
  int writes_left_ = 0;
  time_point last_announce_{};
  time_point next_heartbeat_{};
  time_point next_tick_{};
  fleet_actions actions_;
};

fleet_coordinator::implementation::implementation(
    instance_record self,
    std::vector<std::string> seeds,
    fleet_limits limits,
    random_engine random,
    time_point now)
    : limits_(limits),
      seeds_(std::move(seeds)),
      random_(random),
      self_id_(self.id),
      facts_(row_topic::facts, limits),
      instances_(row_topic::instances, limits),
      registration_(std::move(self), limits, Fork(random_)),
      links_(limits),
      silence_(limits.suspect_after),
      view_(limits.view_lifetime),
      vms_(limits.absence_confirmation),
      fact_polls_(limits.poll_period, limits, Fork(random_)),
      instance_polls_(limits.poll_period, limits, Fork(random_)),
      vm_polls_(limits.vm_poll_period, limits, Fork(random_)),
      next_heartbeat_(now),
      next_tick_(now) {}

// --- Messages ---

void fleet_coordinator::implementation::OnMessage(const instance_id& from,
                                                  const fleet_message& message,
                                                  time_point now) {
  if (from == self_id_ || from.empty())
    return;
  std::visit([&](const auto& typed) { On(from, typed, now); }, message);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const hello_message& hello,
                                           time_point now) {
  if (hello.sender.id != from)
    return;
  const bool known = members_.Find(from) != nullptr;
  if (!known && strangers_.size() < kMaxStrangers)
    strangers_.insert_or_assign(from, hello.sender);
  const bool first = !links_.Find(from);
  NoteHeard(from, now);
  const auto peer = AddressOf(from);
  if (first && peer)
    SendHeartbeat(*peer, now);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const heartbeat_message& heartbeat,
                                           time_point now) {
  NoteHeard(from, now);
  silence_.OnReports(heartbeat.silent, now);
  const auto receipt = links_.OnHeartbeat(from, heartbeat, now);
  if (const auto ask = facts_.OnDigest(from, heartbeat.facts, now))
    Reply(from, *ask);
  if (const auto ask = instances_.OnDigest(from, heartbeat.instances, now))
    Reply(from, *ask);
  if (!receipt.sent_after || members_.HasEnded(from))
    return;
  confirmations_[from] = {.sent_after = *receipt.sent_after,
                          .facts = heartbeat.facts,
                          .platform_age = heartbeat.platform_age};
  SettleConfirmations();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const row_request& request,
                                           time_point now) {
  NoteHeard(from, now);
  if (request.topic == row_topic::facts)
    Reply(from, facts_.store().MakePage(request, limits_.page_bytes));
  else
    Reply(from, instances_.store().MakePage(request, limits_.page_bytes));
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const fact_page& page,
                                           time_point now) {
  NoteHeard(from, now);
  const auto outcome = facts_.OnPage(from, page, now);
  TakeFacts(outcome.changed);
  if (outcome.next)
    Reply(from, *outcome.next);
  SettleConfirmations();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const instance_page& page,
                                           time_point now) {
  NoteHeard(from, now);
  const auto outcome = instances_.OnPage(from, page, now);
  TakeInstances(outcome.changed, now);
  if (outcome.next)
    Reply(from, *outcome.next);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const goodbye_message&,
                                           time_point now) {
  strangers_.erase(from);
  const bool linked = links_.Drop(from);
  if (members_.SetLeaving(from) || linked)
    OnMembersChanged(now);
  if (linked)
    EmitLinks();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const share_request& request,
                                           time_point now) {
  NoteHeard(from, now);
  if (share_keeper* keeper = Keeper(request.team))
    keeper->OnRequest(from, request.keep_ppm);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const share_notice& notice,
                                           time_point now) {
  NoteHeard(from, now);
  if (share_keeper* keeper = Keeper(notice.team))
    keeper->OnNotice(notice);
}

std::optional<peer_link> fleet_coordinator::implementation::AddressOf(
    const instance_id& id) const {
  if (const instance_record* record = members_.Find(id))
    return peer_link{.instance = id, .address = record->mesh_address};
  if (const auto linked = links_.Find(id))
    return linked;
  const auto stranger = strangers_.find(id);
  if (stranger == strangers_.end())
    return std::nullopt;
  return peer_link{.instance = id, .address = stranger->second.mesh_address};
}

void fleet_coordinator::implementation::Send(const peer_link& peer,
                                             fleet_message message) {
  actions_.push_back(
      send_fleet_message{.peer = peer, .message = std::move(message)});
}

void fleet_coordinator::implementation::Reply(const instance_id& to,
                                              fleet_message message) {
  if (const auto peer = AddressOf(to))
    Send(*peer, std::move(message));
}

void fleet_coordinator::implementation::NoteHeard(const instance_id& from,
                                                  time_point now) {
  if (members_.HasEnded(from) || members_.IsLeaving(from))
    return;
  const auto peer = AddressOf(from);
  if (peer && links_.OnHeard(*peer, now))
    EmitLinks();
  if (members_.SetSuspected(from, false))
    OnMembersChanged(now);
}

void fleet_coordinator::implementation::SendHeartbeat(const peer_link& peer,
                                                      time_point now) {
  if (links_.IsUnknownTo(peer.instance))
    Send(peer, hello_message{.sender = registration_.self()});
  heartbeat_message heartbeat;
  heartbeat.facts = facts_.store().digest();
  heartbeat.instances = instances_.store().digest();
  if (const auto confirmed = view_.platform_confirmed_at())
    heartbeat.platform_age = now - *confirmed;
  heartbeat.silent = silence_.ToPassOn();
  for (const instance_id& unheard : links_.Unheard(now))
    heartbeat.silent.push_back({.instance = unheard, .hops = 0});
  links_.OnHeartbeatSent(peer.instance, heartbeat, now);
  Send(peer, std::move(heartbeat));
}

void fleet_coordinator::implementation::SendHeartbeats(time_point now) {
  announce_ = false;
  last_announce_ = now;
  next_heartbeat_ = now + limits_.heartbeat_period;
  const auto links = links_.All();
  for (const peer_link& peer : links)
    SendHeartbeat(peer, now);
  if (links.empty())
    GreetSeeds();
}

void fleet_coordinator::implementation::GreetSeeds() {
  const hello_message hello{.sender = registration_.self()};
  for (const std::string& seed : seeds_) {
    if (seed != hello.sender.mesh_address)
      Send({.instance = instance_id(), .address = seed}, hello);
  }
}

// --- Replicated rows ---

void fleet_coordinator::implementation::TakeFacts(
    const std::vector<fact>& changed) {
  for (const fact& row : changed)
    actions_.push_back(apply_fact{.changed = row});
  announce_ = announce_ || !changed.empty();
}

void fleet_coordinator::implementation::TakeInstances(
    const std::vector<instance_row>& changed,
    time_point now) {
  if (changed.empty())
    return;
  announce_ = true;
  for (const instance_row& row : changed) {
    strangers_.erase(instance_id(row.key));
    for (const instance_id& ended : members_.OnRow(row)) {
      links_.Drop(ended);
      confirmations_.erase(ended);
      view_.Forget(ended);
      if (ended != self_id_)
        actions_.push_back(instance_ended{.instance = ended});
    }
  }
  registration_.OnOwnRow(instances_.store().Find(self_id_.value()));
  OnMembersChanged(now);
}

void fleet_coordinator::implementation::SettleConfirmations() {
  std::erase_if(confirmations_, [&](const auto& entry) {
    if (!facts_.Covers(entry.second.facts))
      return false;
    Confirm(entry.first, entry.second);
    return true;
  });
}

void fleet_coordinator::implementation::Confirm(
    const instance_id& peer,
    const pending_confirmation& told) {
  view_.OnPeerConfirmed(peer, told.sent_after);
  if (told.platform_age)
    view_.OnPlatformConfirmed(told.sent_after - *told.platform_age);
}

// --- Membership ---

void fleet_coordinator::implementation::OnMembersChanged(time_point now) {
  const auto& live = members_.Live();
  poll_rank_ = RendezvousRank(kPollDuty, self_id_, live);
  ChooseLinks(now);
  for (auto& [team, keeper] : keepers_)
    keeper.OnMembershipChanged(now);
  if (live == emitted_live_)
    return;
  emitted_live_ = live;
  actions_.push_back(peers_changed{.live = live});
}

void fleet_coordinator::implementation::ChooseLinks(time_point now) {
  chosen_ = ChoosePeers(self_id_, members_.Staying(), limits_);
  std::vector<peer_link> peers;
  peers.reserve(chosen_.size());
  for (const instance_id& id : chosen_)
    peers.push_back(
        {.instance = id, .address = members_.Find(id)->mesh_address});
  if (links_.Choose(peers, now))
    EmitLinks();
}

void fleet_coordinator::implementation::EmitLinks() {
  actions_.push_back(set_links{.peers = links_.All()});
}

void fleet_coordinator::implementation::JudgeSilence(time_point now) {
  silence_.DropLapsed(now);
  if (links_.DropIdle(now))
    EmitLinks();
  for (const peer_link& silent : links_.TakeSilent(now))
    actions_.push_back(redial_link{.peer = silent});
  const auto unheard = links_.Unheard(now);
  const std::set<instance_id> silent(unheard.begin(), unheard.end());
  std::vector<instance_id> changed;
  for (const instance_id& id : members_.Staying()) {
    const bool suspected =
        links_.Has(id) ? silent.contains(id) : silence_.Contains(id);
    if (id != self_id_ && suspected != members_.IsSuspected(id))
      changed.push_back(id);
  }
  for (const instance_id& id : changed) {
    const bool suspected = !members_.IsSuspected(id);
    members_.SetSuspected(id, suspected);
    if (suspected)
      actions_.push_back(instance_suspected{.instance = id});
  }
  if (!changed.empty())
    OnMembersChanged(now);
}

// --- Platform ---

void fleet_coordinator::implementation::Poll(time_point now) {
  const auto confirmed = view_.platform_confirmed_at();
  if (fact_polls_.TryStart(poll_rank_, confirmed, now))
    actions_.push_back(poll_facts{.since = facts_.store().complete_through()});
  if (instance_polls_.TryStart(poll_rank_, confirmed, now))
    actions_.push_back(
        poll_instances{.since = instances_.store().complete_through()});
  if (vm_polls_.TryStart(poll_rank_, now, now))
    actions_.push_back(poll_vms{});
}

void fleet_coordinator::implementation::OnFactRows(
    const std::vector<fact>& rows,
    revision since,
    revision version) {
  const auto sent_at = fact_polls_.OnAnswered();
  auto& store = facts_.store();
  TakeFacts(since == revision() ? store.ApplySnapshot(rows, version)
                                : store.ApplyChanges(rows, since, version));
  if (sent_at && since <= store.complete_through())
    view_.OnPlatformConfirmed(*sent_at);
  SettleConfirmations();
}

void fleet_coordinator::implementation::OnInstanceRows(
    const std::vector<instance_row>& rows,
    revision since,
    revision version,
    time_point now) {
  instance_polls_.OnAnswered();
  auto& store = instances_.store();
  const auto changed = since == revision()
                           ? store.ApplySnapshot(rows, version)
                           : store.ApplyChanges(rows, since, version);
  registration_.OnInstancesRead(version);
  TakeInstances(changed, now);
}

void fleet_coordinator::implementation::OnPushedFacts(
    const std::vector<fact>& rows) {
  TakeFacts(facts_.store().ApplyRows(rows));
}

void fleet_coordinator::implementation::OnPollFailed(poll_kind kind,
                                                     time_point now) {
  switch (kind) {
    case poll_kind::facts:
      fact_polls_.OnFailed(now);
      return;
    case poll_kind::instances:
      instance_polls_.OnFailed(now);
      return;
    case poll_kind::vms:
      vm_polls_.OnFailed(now);
      return;
  }
}

void fleet_coordinator::implementation::OnVmList(
    const std::vector<fleet_vm>& vms,
    time_point now) {
  vm_polls_.OnAnswered();
  std::vector<vm_id> watched;
  for (const instance_record& record : members_.Registered())
    watched.push_back(record.vm);
  vms_.OnList(vms, watched, now);
  if (!CanAct() || poll_rank_ >= limits_.pollers)
    return;
  writes_left_ = kWritesPerVmList;
  MarkListedVms();
  RemoveGoneInstances(now);
}

void fleet_coordinator::implementation::WriteInstance(
    const instance_row& row,
    std::optional<instance_record> record) {
  if (writes_left_ == 0 || writes_.contains(instance_id(row.key)))
    return;
  --writes_left_;
  writes_[instance_id(row.key)] = {.expected = row.version, .record = record};
  if (record)
    actions_.push_back(
        write_instance{.record = *record, .expected = row.version});
  else
    actions_.push_back(remove_instance{.instance = instance_id(row.key),
                                       .expected = row.version});
}

void fleet_coordinator::implementation::MarkListedVms() {
  instances_.store().ForEach([&](const instance_row& row) {
    if (row.value.vm_listed || !vms_.IsListed(row.value.vm))
      return;
    if (!members_.Find(row.value.id))
      return;
    instance_record listed = row.value;
    listed.vm_listed = true;
    WriteInstance(row, listed);
  });
}

void fleet_coordinator::implementation::RemoveGoneInstances(time_point now) {
  const time_point judged = now - poll_rank_ * kRemovalRankStep;
  instances_.store().ForEach([&](const instance_row& row) {
    const instance_record& record = row.value;
    if (record.id == self_id_)
      return;
    const bool superseded = members_.HasEnded(record.id);
    const bool gone =
        record.vm_listed && vms_.HasGone(record.vm, judged) &&
        !links_.HeardWithin(record.id, limits_.suspect_after, now);
    if (superseded || gone)
      WriteInstance(row, std::nullopt);
  });
}

void fleet_coordinator::implementation::OnInstanceWritten(
    const instance_id& instance,
    revision expected,
    write_end end,
    revision version,
    time_point now) {
  std::optional<instance_record> written;
  const auto found = writes_.find(instance);
  if (found != writes_.end() && found->second.expected == expected) {
    written = found->second.record;
    writes_.erase(found);
  } else if (instance == self_id_) {
    if (registration_.OnWritten(end, now))
      instance_polls_.Demand();
    if (expected == revision())
      written = registration_.self();
  } else {
    return;
  }
  if (end != write_end::committed)
    return;
  const instance_row row{.key = instance.value(),
                         .value = written.value_or(instance_record()),
                         .version = version,
                         .deleted = !written};
  TakeInstances(instances_.store().ApplyRows({row}), now);
}

// --- Shares ---

share_keeper* fleet_coordinator::implementation::Keeper(const team_id& team) {
  const auto found = keepers_.find(team);
  return found == keepers_.end() ? nullptr : &found->second;
}

void fleet_coordinator::implementation::OnConfiguration(
    const config::configuration& configuration,
    time_point now) {
  std::set<team_id> teams;
  for (const config::team& team : configuration.teams)
    teams.insert(team.id);
  for (auto& [team, keeper] : keepers_)
    keeper.SetActive(teams.contains(team));
  for (const team_id& team : teams) {
    const auto [place, added] =
        keepers_.try_emplace(team, team, self_id_, limits_, Fork(random_), now);
    if (added && !CanAct())
      place->second.Stop();
  }
}

// --- Life of the instance ---

void fleet_coordinator::implementation::OnDrain(time_point now) {
  if (drain_started_)
    return;
  drain_started_ = now;
  for (auto& [team, keeper] : keepers_)
    keeper.Stop();
  registration_.OnDrain();
}

void fleet_coordinator::implementation::OnTick(time_point now) {
  next_tick_ = now + kTickPeriod;
  JudgeSilence(now);
  if (now >= next_heartbeat_)
    SendHeartbeats(now);
  Poll(now);
}

void fleet_coordinator::implementation::JudgeReadiness(time_point now) {
  const bool informed = facts_.store().complete_through() > revision() &&
                        instances_.store().complete_through() > revision();
  readiness_changed current;
  current.ready = CanAct() && informed && view_.IsFresh(chosen_, now);
  current.code =
      drain_started_ ? refusal_code::shutting_down : refusal_code::isolated;
  if (readiness_ == current)
    return;
  readiness_ = current;
  actions_.push_back(current);
}

fleet_actions fleet_coordinator::implementation::Finish(time_point now) {
  members_.SetReflectsThrough(instances_.store().reflects_through());
  JudgeFencing();
  JudgeReadiness(now);
  for (auto& [team, keeper] : keepers_)
    keeper.Act(members_, now, actions_);
  if (!fenced_)
    registration_.Act(now, actions_);
  if (announce_ && now - last_announce_ >= kAnnouncePeriod)
    SendHeartbeats(now);
  FinishDrain(now);
  return std::exchange(actions_, {});
}

void fleet_coordinator::implementation::JudgeFencing() {
  const bool ended = registration_.removed() || members_.HasEnded(self_id_);
  if (!ended || drain_started_ || fenced_)
    return;
  fenced_ = true;
  for (auto& [team, keeper] : keepers_)
    keeper.Stop();
  actions_.push_back(instance_fenced{});
}

void fleet_coordinator::implementation::FinishDrain(time_point now) {
  if (!drain_started_ || drain_reported_)
    return;
  const bool gone = registration_.removed() || !registration_.registered();
  if (!gone && now - *drain_started_ < kLongestDrain)
    return;
  drain_reported_ = true;
  for (const peer_link& peer : links_.All())
    Send(peer, goodbye_message{});
  actions_.push_back(drain_finished{});
}

time_point fleet_coordinator::implementation::NextDeadline() const {
  if (announce_)
    return std::min(next_tick_, last_announce_ + kAnnouncePeriod);
  return next_tick_;
}

// --- Interface ---

fleet_coordinator::fleet_coordinator(instance_record self,
                                     std::vector<std::string> seeds,
                                     fleet_limits limits,
                                     random_engine random,
                                     time_point now)
    : implementation_(std::make_unique<implementation>(std::move(self),
                                                       std::move(seeds),
                                                       limits,
                                                       random,
                                                       now)) {}
fleet_coordinator::fleet_coordinator(fleet_coordinator&&) noexcept = default;
fleet_coordinator& fleet_coordinator::operator=(fleet_coordinator&&) noexcept =
    default;
fleet_coordinator::~fleet_coordinator() = default;

fleet_actions fleet_coordinator::OnFleetMessage(const instance_id& from,
                                                const fleet_message& message,
                                                time_point now) {
  implementation_->OnMessage(from, message, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnVmList(const std::vector<fleet_vm>& vms,
                                          time_point now) {
  implementation_->OnVmList(vms, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnInstanceRows(
    const std::vector<instance_row>& rows,
    revision since,
    revision version,
    time_point now) {
  implementation_->OnInstanceRows(rows, since, version, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnFactRows(const std::vector<fact>& rows,
                                            revision since,
                                            revision version,
                                            time_point now) {
  implementation_->OnFactRows(rows, since, version);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnPushedFacts(const std::vector<fact>& rows,
                                               time_point now) {
  implementation_->OnPushedFacts(rows);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnPollFailed(poll_kind kind, time_point now) {
  implementation_->OnPollFailed(kind, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnInstanceWritten(const instance_id& instance,
                                                   revision expected,
                                                   write_end end,
                                                   revision version,
                                                   time_point now) {
  implementation_->OnInstanceWritten(instance, expected, end, version, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnShareRow(const team_id& team,
                                            const share_record& record,
                                            revision version,
                                            time_point now) {
  if (share_keeper* keeper = implementation_->Keeper(team))
    keeper->OnRow(record, version, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnShareReadFailed(const team_id& team,
                                                   time_point now) {
  if (share_keeper* keeper = implementation_->Keeper(team))
    keeper->OnReadFailed(now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnShareCommitted(const team_id& team,
                                                  revision expected,
                                                  write_end end,
                                                  revision version,
                                                  time_point now) {
  if (share_keeper* keeper = implementation_->Keeper(team))
    keeper->OnCommitted(expected, end, version, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnConfiguration(
    const std::shared_ptr<const config::configuration>& configuration,
    time_point now) {
  if (configuration)
    implementation_->OnConfiguration(*configuration, now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnDrain(time_point now) {
  implementation_->OnDrain(now);
  return implementation_->Finish(now);
}

fleet_actions fleet_coordinator::OnTick(time_point now) {
  implementation_->OnTick(now);
  return implementation_->Finish(now);
}

time_point fleet_coordinator::NextDeadline() const {
  return implementation_->NextDeadline();
}

bool fleet_coordinator::ready() const {
  return implementation_->ready();
}

const instance_record& fleet_coordinator::self() const {
  return implementation_->own().self();
}

revision fleet_coordinator::FactVersion(const std::string& key) const {
  const fact* held = implementation_->facts().store().Find(key);
  return held ? held->version : revision();
}

std::vector<fact> fleet_coordinator::Facts() const {
  std::vector<fact> facts;
  implementation_->facts().store().ForEach(
      [&](const fact& held) { facts.push_back(held); });
  return facts;
}

revision fleet_coordinator::FactsCompleteThrough() const {
  return implementation_->facts().store().reflects_through();
}

bool fleet_coordinator::HasEnded(const instance_id& instance,
                                 revision named_at) const {
  return implementation_->members().HasEnded(instance, named_at);
}

std::vector<instance_view> fleet_coordinator::Instances() const {
  std::vector<instance_view> views;
  const membership& members = implementation_->members();
  for (const instance_record& record : members.Registered()) {
    const bool suspected = members.IsSuspected(record.id);
    views.push_back({.record = record,
                     .state = suspected ? instance_state::suspected
                                        : instance_state::alive});
  }
  return views;
}

int64_t fleet_coordinator::SharePpm(const team_id& team) const {
  const share_keeper* keeper = implementation_->Keeper(team);
  return keeper ? keeper->effective_ppm() : 0;
}

}  // namespace jasminepath::decision
