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
#include "jasminepath/decision/fleet/share_manager.h"
#include "jasminepath/decision/fleet/silence_reports.h"
#include "jasminepath/decision/fleet/view_freshness.h"
#include "jasminepath/decision/fleet/vm_presence.h"

namespace jasminepath::decision {
namespace {

constexpr duration kTickPeriod = Milliseconds(250);
// Changes within this interval are announced in one heartbeat.
constexpr duration kMinAnnounceInterval = Milliseconds(100);
// A drain ends after this time even if the platform does not answer.
constexpr duration kDrainTimeout = Seconds(5);
// The maximum number of remembered senders whose row is not known.
constexpr std::size_t kMaxUnregisteredPeers = 64;
// The maximum number of rows that this instance writes after one VM list.
constexpr int kMaxWritesPerVmList = 4;
// The additional delay per rank before an instance removes a row.
constexpr duration kRemovalRankDelay = Seconds(10);
constexpr char kPollDuty[] = "poll";

random_engine ForkRandomEngine(random_engine& random) {
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
                         write_outcome outcome,
                         revision version,
                         time_point now);
  void OnConfiguration(const config::configuration& configuration,
                       time_point now);
  void OnDrain(time_point now);
  void OnTick(time_point now);

  // Completes an event: updates fencing and readiness, runs the share managers
  // and the registration, announces changes, and returns the actions to
  // perform.
  fleet_actions FinishEvent(time_point now);

  share_manager* FindShareManager(const team_id& team);
  time_point NextDeadline() const;

  const row_exchange<std::string>& facts() const { return facts_; }
  const membership& members() const { return members_; }
  const registration& own_registration() const { return registration_; }
  bool ready() const { return readiness_ && readiness_->ready; }

 private:
  // A heartbeat whose confirmation counts once this node has received all rows
  // that the digest summarizes.
  struct pending_confirmation {
    time_point sent_after{};
    store_digest facts;
    std::optional<duration> platform_age;

    friend bool operator==(const pending_confirmation&,
                           const pending_confirmation&) = default;
  };

  // An outstanding write of an instance row. Without a record, the write
  // deletes the row.
  struct instance_write {
    revision expected;
    std::optional<instance_record> record;

    friend bool operator==(const instance_write&,
                           const instance_write&) = default;
  };

  // Handlers for each type of message. `from` is the sender.
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

  std::optional<peer_link> FindPeer(const instance_id& id) const;
  void Send(const peer_link& peer, fleet_message message);
  void Reply(const instance_id& to, fleet_message message);
  void OnMessageFrom(const instance_id& from, time_point now);
  void SendHeartbeat(const peer_link& peer, time_point now);
  void SendHeartbeats(time_point now);
  void SendHelloToSeeds();

  void OnFactsChanged(const std::vector<fact>& changed);
  void OnInstancesChanged(const std::vector<instance_row>& changed,
                          time_point now);
  void ProcessConfirmations();
  void Confirm(const instance_id& peer,
               const pending_confirmation& confirmation);

  void OnMembersChanged(time_point now);
  void ChooseLinks(time_point now);
  void EmitLinks();
  void UpdateSuspicions(time_point now);
  void Poll(time_point now);
  void UpdateReadiness(time_point now);
  void UpdateFencing();
  void FinishDrain(time_point now);
  void WriteInstance(const instance_row& row,
                     std::optional<instance_record> record);
  void MarkListedVms();
  void RemoveGoneInstances(time_point now);
  bool CanAct() const { return !is_fenced_ && !drain_started_at_; }

  fleet_limits limits_;
  std::vector<std::string> seeds_;
  random_engine random_;
  instance_id self_id_;

  row_exchange<std::string> facts_;
  row_exchange<instance_record> instances_;
  membership members_;
  registration registration_;
  peer_links links_;
  silence_reports silence_reports_;
  view_freshness view_;
  vm_presence vm_presence_;
  poll_schedule fact_polls_;
  poll_schedule instance_polls_;
  poll_schedule vm_polls_;
  std::map<team_id, share_manager> share_managers_;

  std::map<instance_id, instance_record> unregistered_peers_;
  std::map<instance_id, pending_confirmation> confirmations_;
  std::map<instance_id, instance_write> pending_writes_;
  std::vector<instance_id> chosen_peers_;
  std::vector<instance_id> emitted_live_;
  std::optional<readiness_changed> readiness_;
  std::optional<time_point> drain_started_at_;
  bool is_drain_reported_ = false;
  bool is_fenced_ = false;
  bool should_announce_ = false;
  int64_t poll_rank_ = 0;
  int remaining_writes_ = 0;
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
      registration_(std::move(self), limits, ForkRandomEngine(random_)),
      links_(limits),
      silence_reports_(limits.suspect_after),
      view_(limits.view_lifetime),
      vm_presence_(limits.absence_confirmation),
      fact_polls_(limits.poll_period, limits, ForkRandomEngine(random_)),
      instance_polls_(limits.poll_period, limits, ForkRandomEngine(random_)),
      vm_polls_(limits.vm_poll_period, limits, ForkRandomEngine(random_)),
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
  const bool is_known = members_.Find(from) != nullptr;
  if (!is_known && unregistered_peers_.size() < kMaxUnregisteredPeers)
    unregistered_peers_.insert_or_assign(from, hello.sender);
  const bool is_first_message = !links_.Find(from);
  OnMessageFrom(from, now);
  const auto peer = FindPeer(from);
  if (is_first_message && peer)
    SendHeartbeat(*peer, now);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const heartbeat_message& heartbeat,
                                           time_point now) {
  OnMessageFrom(from, now);
  silence_reports_.OnReports(heartbeat.silent, now);
  const auto receipt = links_.OnHeartbeat(from, heartbeat, now);
  if (const auto request = facts_.OnDigest(from, heartbeat.facts, now))
    Reply(from, *request);
  if (const auto request = instances_.OnDigest(from, heartbeat.instances, now))
    Reply(from, *request);
  if (!receipt.sent_after || members_.HasEnded(from))
    return;
  confirmations_[from] = {.sent_after = *receipt.sent_after,
                          .facts = heartbeat.facts,
                          .platform_age = heartbeat.platform_age};
  ProcessConfirmations();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const row_request& request,
                                           time_point now) {
  OnMessageFrom(from, now);
  if (request.topic == row_topic::facts)
    Reply(from, facts_.store().MakePage(request, limits_.page_bytes));
  else
    Reply(from, instances_.store().MakePage(request, limits_.page_bytes));
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const fact_page& page,
                                           time_point now) {
  OnMessageFrom(from, now);
  const auto outcome = facts_.OnPage(from, page, now);
  OnFactsChanged(outcome.changed);
  if (outcome.next)
    Reply(from, *outcome.next);
  ProcessConfirmations();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const instance_page& page,
                                           time_point now) {
  OnMessageFrom(from, now);
  const auto outcome = instances_.OnPage(from, page, now);
  OnInstancesChanged(outcome.changed, now);
  if (outcome.next)
    Reply(from, *outcome.next);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const goodbye_message&,
                                           time_point now) {
  unregistered_peers_.erase(from);
  const bool was_linked = links_.Drop(from);
  if (members_.SetLeaving(from) || was_linked)
    OnMembersChanged(now);
  if (was_linked)
    EmitLinks();
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const share_request& request,
                                           time_point now) {
  OnMessageFrom(from, now);
  if (share_manager* manager = FindShareManager(request.team))
    manager->OnRequest(from, request.keep_ppm);
}

void fleet_coordinator::implementation::On(const instance_id& from,
                                           const share_notice& notice,
                                           time_point now) {
  OnMessageFrom(from, now);
  if (share_manager* manager = FindShareManager(notice.team))
    manager->OnNotice(notice);
}

std::optional<peer_link> fleet_coordinator::implementation::FindPeer(
    const instance_id& id) const {
  if (const instance_record* record = members_.Find(id))
    return peer_link{.instance = id, .address = record->mesh_address};
  if (const auto linked = links_.Find(id))
    return linked;
  const auto unregistered = unregistered_peers_.find(id);
  if (unregistered == unregistered_peers_.end())
    return std::nullopt;
  return peer_link{.instance = id,
                   .address = unregistered->second.mesh_address};
}

void fleet_coordinator::implementation::Send(const peer_link& peer,
                                             fleet_message message) {
  actions_.push_back(
      send_fleet_message{.peer = peer, .message = std::move(message)});
}

void fleet_coordinator::implementation::Reply(const instance_id& to,
                                              fleet_message message) {
  if (const auto peer = FindPeer(to))
    Send(*peer, std::move(message));
}

void fleet_coordinator::implementation::OnMessageFrom(const instance_id& from,
                                                      time_point now) {
  if (members_.HasEnded(from) || members_.IsLeaving(from))
    return;
  const auto peer = FindPeer(from);
  if (peer && links_.OnMessageReceived(*peer, now))
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
  heartbeat.silent = silence_reports_.ToForward();
  for (const instance_id& silent_peer : links_.SilentPeers(now))
    heartbeat.silent.push_back({.instance = silent_peer, .hops = 0});
  links_.OnHeartbeatSent(peer.instance, heartbeat, now);
  Send(peer, std::move(heartbeat));
}

void fleet_coordinator::implementation::SendHeartbeats(time_point now) {
  should_announce_ = false;
  last_announce_ = now;
  next_heartbeat_ = now + limits_.heartbeat_period;
  const auto links = links_.All();
  for (const peer_link& peer : links)
    SendHeartbeat(peer, now);
  if (links.empty())
    SendHelloToSeeds();
}

void fleet_coordinator::implementation::SendHelloToSeeds() {
  const hello_message hello{.sender = registration_.self()};
  for (const std::string& seed : seeds_) {
    if (seed != hello.sender.mesh_address)
      Send({.instance = instance_id(), .address = seed}, hello);
  }
}

// --- Replicated rows ---

void fleet_coordinator::implementation::OnFactsChanged(
    const std::vector<fact>& changed) {
  for (const fact& row : changed)
    actions_.push_back(apply_fact{.changed = row});
  should_announce_ = should_announce_ || !changed.empty();
}

void fleet_coordinator::implementation::OnInstancesChanged(
    const std::vector<instance_row>& changed,
    time_point now) {
  if (changed.empty())
    return;
  should_announce_ = true;
  for (const instance_row& row : changed) {
    unregistered_peers_.erase(instance_id(row.key));
    for (const instance_id& ended : members_.OnRow(row)) {
      links_.Drop(ended);
      confirmations_.erase(ended);
      view_.RemovePeer(ended);
      if (ended != self_id_)
        actions_.push_back(instance_ended{.instance = ended});
    }
  }
  registration_.OnOwnRow(instances_.store().Find(self_id_.value()));
  OnMembersChanged(now);
}

void fleet_coordinator::implementation::ProcessConfirmations() {
  std::erase_if(confirmations_, [&](const auto& entry) {
    if (!facts_.Covers(entry.second.facts))
      return false;
    Confirm(entry.first, entry.second);
    return true;
  });
}

void fleet_coordinator::implementation::Confirm(
    const instance_id& peer,
    const pending_confirmation& confirmation) {
  view_.OnPeerConfirmed(peer, confirmation.sent_after);
  if (confirmation.platform_age)
    view_.OnPlatformConfirmed(confirmation.sent_after -
                              *confirmation.platform_age);
}

// --- Membership ---

void fleet_coordinator::implementation::OnMembersChanged(time_point now) {
  const auto& live = members_.Live();
  poll_rank_ = RendezvousRank(kPollDuty, self_id_, live);
  ChooseLinks(now);
  for (auto& [team, manager] : share_managers_)
    manager.OnMembershipChanged(now);
  if (live == emitted_live_)
    return;
  emitted_live_ = live;
  actions_.push_back(peers_changed{.live = live});
}

void fleet_coordinator::implementation::ChooseLinks(time_point now) {
  chosen_peers_ = ChoosePeers(self_id_, members_.NonLeaving(), limits_);
  std::vector<peer_link> peers;
  peers.reserve(chosen_peers_.size());
  for (const instance_id& id : chosen_peers_)
    peers.push_back(
        {.instance = id, .address = members_.Find(id)->mesh_address});
  if (links_.SetChosen(peers, now))
    EmitLinks();
}

void fleet_coordinator::implementation::EmitLinks() {
  actions_.push_back(set_links{.peers = links_.All()});
}

void fleet_coordinator::implementation::UpdateSuspicions(time_point now) {
  silence_reports_.DropExpired(now);
  if (links_.DropIdle(now))
    EmitLinks();
  for (const peer_link& silent : links_.TakeLinksToRedial(now))
    actions_.push_back(redial_link{.peer = silent});
  const auto silent_ids = links_.SilentPeers(now);
  const std::set<instance_id> silent(silent_ids.begin(), silent_ids.end());
  std::vector<instance_id> changed;
  for (const instance_id& id : members_.NonLeaving()) {
    const bool suspected =
        links_.Has(id) ? silent.contains(id) : silence_reports_.Contains(id);
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
  OnFactsChanged(since == revision()
                     ? store.ApplySnapshot(rows, version)
                     : store.ApplyChanges(rows, since, version));
  if (sent_at && since <= store.complete_through())
    view_.OnPlatformConfirmed(*sent_at);
  ProcessConfirmations();
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
  OnInstancesChanged(changed, now);
}

void fleet_coordinator::implementation::OnPushedFacts(
    const std::vector<fact>& rows) {
  OnFactsChanged(facts_.store().ApplyRows(rows));
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
  vm_presence_.OnList(vms, watched, now);
  if (!CanAct() || poll_rank_ >= limits_.poller_count)
    return;
  remaining_writes_ = kMaxWritesPerVmList;
  MarkListedVms();
  RemoveGoneInstances(now);
}

void fleet_coordinator::implementation::WriteInstance(
    const instance_row& row,
    std::optional<instance_record> record) {
  if (remaining_writes_ == 0 || pending_writes_.contains(instance_id(row.key)))
    return;
  --remaining_writes_;
  pending_writes_[instance_id(row.key)] = {.expected = row.version,
                                           .record = record};
  if (record)
    actions_.push_back(
        write_instance{.record = *record, .expected = row.version});
  else
    actions_.push_back(remove_instance{.instance = instance_id(row.key),
                                       .expected = row.version});
}

void fleet_coordinator::implementation::MarkListedVms() {
  instances_.store().ForEach([&](const instance_row& row) {
    if (row.value.vm_listed || !vm_presence_.IsListed(row.value.vm))
      return;
    if (!members_.Find(row.value.id))
      return;
    instance_record listed = row.value;
    listed.vm_listed = true;
    WriteInstance(row, listed);
  });
}

void fleet_coordinator::implementation::RemoveGoneInstances(time_point now) {
  const time_point rank_adjusted_now = now - poll_rank_ * kRemovalRankDelay;
  instances_.store().ForEach([&](const instance_row& row) {
    const instance_record& record = row.value;
    if (record.id == self_id_)
      return;
    const bool is_superseded = members_.HasEnded(record.id);
    const bool is_gone =
        record.vm_listed && vm_presence_.IsGone(record.vm, rank_adjusted_now) &&
        !links_.HasReceivedWithin(record.id, limits_.suspect_after, now);
    if (is_superseded || is_gone)
      WriteInstance(row, std::nullopt);
  });
}

void fleet_coordinator::implementation::OnInstanceWritten(
    const instance_id& instance,
    revision expected,
    write_outcome outcome,
    revision version,
    time_point now) {
  std::optional<instance_record> written;
  const auto found = pending_writes_.find(instance);
  if (found != pending_writes_.end() && found->second.expected == expected) {
    written = found->second.record;
    pending_writes_.erase(found);
  } else if (instance == self_id_) {
    if (registration_.OnWritten(outcome, now))
      instance_polls_.RequestPoll();
    if (expected == revision())
      written = registration_.self();
  } else {
    return;
  }
  if (outcome != write_outcome::committed)
    return;
  const instance_row row{.key = instance.value(),
                         .value = written.value_or(instance_record()),
                         .version = version,
                         .deleted = !written};
  OnInstancesChanged(instances_.store().ApplyRows({row}), now);
}

// --- Shares ---

share_manager* fleet_coordinator::implementation::FindShareManager(
    const team_id& team) {
  const auto found = share_managers_.find(team);
  return found == share_managers_.end() ? nullptr : &found->second;
}

void fleet_coordinator::implementation::OnConfiguration(
    const config::configuration& configuration,
    time_point now) {
  std::set<team_id> teams;
  for (const config::team& team : configuration.teams)
    teams.insert(team.id);
  for (auto& [team, manager] : share_managers_)
    manager.SetActive(teams.contains(team));
  for (const team_id& team : teams) {
    const auto [entry, added] = share_managers_.try_emplace(
        team, team, self_id_, limits_, ForkRandomEngine(random_), now);
    if (added && !CanAct())
      entry->second.Stop();
  }
}

// --- Lifecycle ---

void fleet_coordinator::implementation::OnDrain(time_point now) {
  if (drain_started_at_)
    return;
  drain_started_at_ = now;
  for (auto& [team, manager] : share_managers_)
    manager.Stop();
  registration_.OnDrain();
}

void fleet_coordinator::implementation::OnTick(time_point now) {
  next_tick_ = now + kTickPeriod;
  UpdateSuspicions(now);
  if (now >= next_heartbeat_)
    SendHeartbeats(now);
  Poll(now);
}

void fleet_coordinator::implementation::UpdateReadiness(time_point now) {
  const bool has_complete_copy =
      facts_.store().complete_through() > revision() &&
      instances_.store().complete_through() > revision();
  readiness_changed current;
  current.ready =
      CanAct() && has_complete_copy && view_.IsFresh(chosen_peers_, now);
  current.code =
      drain_started_at_ ? refusal_code::shutting_down : refusal_code::isolated;
  if (readiness_ == current)
    return;
  readiness_ = current;
  actions_.push_back(current);
}

fleet_actions fleet_coordinator::implementation::FinishEvent(time_point now) {
  members_.SetReflectsThrough(instances_.store().reflects_through());
  UpdateFencing();
  UpdateReadiness(now);
  for (auto& [team, manager] : share_managers_)
    manager.AppendActions(members_, now, actions_);
  if (!is_fenced_)
    registration_.AppendDueWrite(now, actions_);
  if (should_announce_ && now - last_announce_ >= kMinAnnounceInterval)
    SendHeartbeats(now);
  FinishDrain(now);
  return std::exchange(actions_, {});
}

void fleet_coordinator::implementation::UpdateFencing() {
  const bool has_ended =
      registration_.IsRemoved() || members_.HasEnded(self_id_);
  if (!has_ended || drain_started_at_ || is_fenced_)
    return;
  is_fenced_ = true;
  for (auto& [team, manager] : share_managers_)
    manager.Stop();
  actions_.push_back(instance_fenced{});
}

void fleet_coordinator::implementation::FinishDrain(time_point now) {
  if (!drain_started_at_ || is_drain_reported_)
    return;
  const bool is_unregistered =
      registration_.IsRemoved() || !registration_.IsRegistered();
  if (!is_unregistered && now - *drain_started_at_ < kDrainTimeout)
    return;
  is_drain_reported_ = true;
  for (const peer_link& peer : links_.All())
    Send(peer, goodbye_message{});
  actions_.push_back(drain_finished{});
}

time_point fleet_coordinator::implementation::NextDeadline() const {
  if (should_announce_)
    return std::min(next_tick_, last_announce_ + kMinAnnounceInterval);
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
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnVmList(const std::vector<fleet_vm>& vms,
                                          time_point now) {
  implementation_->OnVmList(vms, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnInstanceRows(
    const std::vector<instance_row>& rows,
    revision since,
    revision version,
    time_point now) {
  implementation_->OnInstanceRows(rows, since, version, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnFactRows(const std::vector<fact>& rows,
                                            revision since,
                                            revision version,
                                            time_point now) {
  implementation_->OnFactRows(rows, since, version);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnPushedFacts(const std::vector<fact>& rows,
                                               time_point now) {
  implementation_->OnPushedFacts(rows);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnPollFailed(poll_kind kind, time_point now) {
  implementation_->OnPollFailed(kind, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnInstanceWritten(const instance_id& instance,
                                                   revision expected,
                                                   write_outcome outcome,
                                                   revision version,
                                                   time_point now) {
  implementation_->OnInstanceWritten(instance, expected, outcome, version, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnShareRow(const team_id& team,
                                            const share_record& record,
                                            revision version,
                                            time_point now) {
  if (share_manager* manager = implementation_->FindShareManager(team))
    manager->OnRow(record, version, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnShareReadFailed(const team_id& team,
                                                   time_point now) {
  if (share_manager* manager = implementation_->FindShareManager(team))
    manager->OnReadFailed(now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnShareCommitted(const team_id& team,
                                                  revision expected,
                                                  write_outcome outcome,
                                                  revision version,
                                                  time_point now) {
  if (share_manager* manager = implementation_->FindShareManager(team))
    manager->OnCommitted(expected, outcome, version, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnConfiguration(
    const std::shared_ptr<const config::configuration>& configuration,
    time_point now) {
  if (configuration)
    implementation_->OnConfiguration(*configuration, now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnDrain(time_point now) {
  implementation_->OnDrain(now);
  return implementation_->FinishEvent(now);
}

fleet_actions fleet_coordinator::OnTick(time_point now) {
  implementation_->OnTick(now);
  return implementation_->FinishEvent(now);
}

time_point fleet_coordinator::NextDeadline() const {
  return implementation_->NextDeadline();
}

bool fleet_coordinator::ready() const {
  return implementation_->ready();
}

const instance_record& fleet_coordinator::self() const {
  return implementation_->own_registration().self();
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
  const share_manager* manager = implementation_->FindShareManager(team);
  return manager ? manager->effective_ppm() : 0;
}

}  // namespace jasminepath::decision
