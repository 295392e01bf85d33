#include "jasminepath/decision/admission/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kWritePause = Milliseconds(100);
constexpr duration kLongWritePause = Seconds(2);
// Failed writes after which calls no longer wait for the try.
constexpr int64_t kPatientFailures = 5;

}  // namespace

quarantine_list::quarantine_list(instance_id self,
                                 duration lifetime,
                                 std::size_t limit)
    : self_(std::move(self)), lifetime_(lifetime), limit_(limit) {}

quarantine_verdict quarantine_list::Check(
    const request_fingerprint& fingerprint,
    time_point now) const {
  const entry* found = Find(fingerprint);
  if (found == nullptr || now >= found->forget_at)
    return quarantine_verdict::allowed;
  switch (found->record.state) {
    case quarantine_state::cleared:
      return quarantine_verdict::allowed;
    case quarantine_state::quarantined:
      return quarantine_verdict::refused;
    case quarantine_state::suspect:
      break;
  }
  return found->record.trial.empty() && found->candidates.empty()
             ? quarantine_verdict::trial_open
             : quarantine_verdict::refused;
}

duration quarantine_list::TimeLeft(const request_fingerprint& fingerprint,
                                   time_point now) const {
  const entry* found = Find(fingerprint);
  if (found == nullptr)
    return duration::zero();
  return std::max(found->forget_at - now, duration::zero());
}

void quarantine_list::RequestTrial(const request_fingerprint& fingerprint,
                                   const request_id& call,
                                   time_point now,
                                   quarantine_output& output) {
  entry* found = Find(fingerprint);
  if (found == nullptr) {
    output.granted.push_back(call);
    return;
  }
  found->candidates.push_back(call);
  found->needs_write = true;
  found->failures = 0;
  found->write_at = now;
  Write(*found, now, output);
}

void quarantine_list::OnDeath(const request_fingerprint& fingerprint,
                              const endpoint_id& endpoint,
                              const request_id& call,
                              bool wants_trial,
                              time_point now,
                              quarantine_output& output) {
  entry* found = Find(fingerprint);
  const bool known = found != nullptr && now < found->forget_at &&
                     found->record.state != quarantine_state::cleared;
  if (known) {
    if (wants_trial)
      output.denied.push_back(call);
    const bool same_death =
        found->record.endpoint == endpoint && found->record.trial != call;
    if (found->record.state == quarantine_state::suspect && !same_death)
      Quarantine(*found, now, output);
    return;
  }
  const quarantine_record record{.fingerprint = fingerprint,
                                 .state = quarantine_state::suspect,
                                 .endpoint = endpoint,
                                 .author = self_,
                                 .trial = {},
                                 .lifetime = lifetime_};
  entry& added = Insert(record, now);
  added.own_death = endpoint;
  added.needs_write = true;
  if (wants_trial)
    added.candidates.push_back(call);
  output.notices.push_back(record);
  Write(added, now, output);
}

void quarantine_list::OnTrialEnd(const request_fingerprint& fingerprint,
                                 const request_id& call,
                                 bool proven,
                                 time_point now,
                                 quarantine_output& output) {
  entry* found = Find(fingerprint);
  if (found == nullptr || found->record.trial != call ||
      found->record.state != quarantine_state::suspect)
    return;
  found->record.trial = {};
  found->record.author = self_;
  if (proven)
    found->record.state = quarantine_state::cleared;
  found->needs_write = true;
  found->write_at = now;
  output.notices.push_back(found->record);
  Write(*found, now, output);
}

void quarantine_list::Withdraw(const request_fingerprint& fingerprint,
                               const request_id& call) {
  if (entry* found = Find(fingerprint))
    std::erase(found->candidates, call);
}

void quarantine_list::OnWriteOutcome(const request_fingerprint& fingerprint,
                                     const quarantine_write_outcome& outcome,
                                     time_point now,
                                     quarantine_output& output) {
  entry* found = Find(fingerprint);
  if (found == nullptr || !found->in_flight)
    return;
  switch (outcome.result) {
    case quarantine_write_outcome::status::committed:
      OnCommitted(*found, outcome.version, now, output);
      break;
    case quarantine_write_outcome::status::conflict:
      OnConflict(*found, outcome, now, output);
      break;
    case quarantine_write_outcome::status::lost:
    case quarantine_write_outcome::status::unreachable:
      found->needs_write = true;
      if (++found->failures >= kPatientFailures)
        DenyAll(*found, output);
      found->write_at =
          now +
          (found->failures >= kPatientFailures ? kLongWritePause : kWritePause);
      break;
  }
  found->in_flight.reset();
  Write(*found, now, output);
}

void quarantine_list::OnFact(const quarantine_record& record,
                             revision version,
                             time_point now,
                             quarantine_output& output) {
  entry* found = Find(record.fingerprint);
  if (found == nullptr) {
    Insert(record, now).version = version;
    return;
  }
  if (version <= found->version)
    return;
  Adopt(*found, record, version, now, output);
}

void quarantine_list::OnNotice(const quarantine_record& record,
                               time_point now,
                               quarantine_output& output) {
  entry* found = Find(record.fingerprint);
  if (found == nullptr) {
    if (record.state != quarantine_state::cleared)
      Insert(record, now);
    return;
  }
  const bool worse = record.state == quarantine_state::quarantined &&
                     found->record.state != quarantine_state::quarantined;
  const bool settled = found->record.state == quarantine_state::suspect &&
                       found->candidates.empty() && !found->in_flight;
  if (worse) {
    found->record = record;
    found->forget_at = now + record.lifetime;
    DenyAll(*found, output);
  } else if (settled && record.author != self_) {
    found->record.state = record.state;
    found->record.trial = record.trial;
  }
}

void quarantine_list::OnTick(time_point now, quarantine_output& output) {
  std::vector<request_fingerprint> over;
  for (auto& [fingerprint, found] : entries_) {
    if (now >= found.forget_at && !found.in_flight) {
      over.push_back(fingerprint);
      continue;
    }
    Write(found, now, output);
  }
  for (const request_fingerprint& fingerprint : over) {
    entry& found = entries_[fingerprint];
    DenyAll(found, output);
    quarantine_record last = found.record;
    const bool must_delete = last.author == self_ &&
                             found.version > revision(0) &&
                             last.state != quarantine_state::cleared;
    last.state = quarantine_state::cleared;
    if (must_delete)
      output.writes.push_back({last, found.version});
    entries_.erase(fingerprint);
  }
}

std::optional<time_point> quarantine_list::NextDeadline() const {
  std::optional<time_point> next;
  for (const auto& [fingerprint, found] : entries_) {
    const bool writes = found.needs_write && !found.in_flight;
    const time_point due =
        writes ? std::min(found.write_at, found.forget_at) : found.forget_at;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

auto quarantine_list::Find(const request_fingerprint& fingerprint) -> entry* {
  const auto found = entries_.find(fingerprint);
  return found == entries_.end() ? nullptr : &found->second;
}

auto quarantine_list::Find(const request_fingerprint& fingerprint) const
    -> const entry* {
  const auto found = entries_.find(fingerprint);
  return found == entries_.end() ? nullptr : &found->second;
}

auto quarantine_list::Insert(const quarantine_record& record, time_point now)
    -> entry& {
  const auto old = entries_.find(record.fingerprint);
  if (old == entries_.end())
    MakeRoom();
  entry& added = entries_[record.fingerprint];
  added.record = record;
  added.forget_at = now + record.lifetime;
  added.write_at = now;
  return added;
}

// Drops the record that ends first when there is no room for another.
void quarantine_list::MakeRoom() {
  if (entries_.size() < limit_)
    return;
  const auto first = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.forget_at < b.second.forget_at;
      });
  entries_.erase(first);
}

void quarantine_list::Quarantine(entry& found,
                                 time_point now,
                                 quarantine_output& output) {
  found.record.state = quarantine_state::quarantined;
  found.record.author = self_;
  found.record.trial = {};
  found.record.lifetime = lifetime_;
  found.forget_at = now + lifetime_;
  found.needs_write = true;
  found.write_at = now;
  DenyAll(found, output);
  output.notices.push_back(found.record);
  Write(found, now, output);
}

// Takes over a newer committed record, unless this node knows worse.
void quarantine_list::Adopt(entry& found,
                            const quarantine_record& record,
                            revision version,
                            time_point now,
                            quarantine_output& output) {
  found.version = version;
  if (record.state == quarantine_state::cleared)
    found.version = revision(0);
  const bool knows_worse =
      found.record.state == quarantine_state::quarantined &&
      record.state != quarantine_state::quarantined && found.needs_write;
  if (knows_worse)
    return;
  const bool second_death = record.state == quarantine_state::suspect &&
                            !found.own_death.empty() &&
                            found.own_death != record.endpoint;
  found.record = record;
  if (second_death) {
    found.own_death = {};
    Quarantine(found, now, output);
    return;
  }
  found.forget_at = now + record.lifetime;
  const bool open =
      record.state == quarantine_state::suspect && record.trial.empty();
  found.needs_write = open && !found.candidates.empty();
  if (!open)
    DenyAll(found, output);
}

void quarantine_list::DenyAll(entry& found, quarantine_output& output) {
  for (const request_id& call : std::exchange(found.candidates, {}))
    output.denied.push_back(call);
}

// Starts the next write of the row if one is due and none is under way.
void quarantine_list::Write(entry& found,
                            time_point now,
                            quarantine_output& output) {
  if (found.in_flight || !found.needs_write || now < found.write_at)
    return;
  quarantine_record next = found.record;
  if (next.state == quarantine_state::suspect && next.trial.empty() &&
      !found.candidates.empty())
    next.trial = found.candidates.front();
  found.in_flight = next;
  found.needs_write = false;
  output.writes.push_back({next, found.version});
}

void quarantine_list::OnCommitted(entry& found,
                                  revision version,
                                  time_point now,
                                  quarantine_output& output) {
  const quarantine_record written = *found.in_flight;
  found.failures = 0;
  found.version =
      written.state == quarantine_state::cleared ? revision(0) : version;
  found.own_death = {};
  if (found.record.state != written.state)
    return;
  found.record = written;
  if (written.trial.empty())
    return;
  const auto winner = std::find(found.candidates.begin(),
                                found.candidates.end(), written.trial);
  if (winner == found.candidates.end()) {
    // The call has ended meanwhile: the try is given back.
    found.record.trial = {};
    found.needs_write = true;
    found.write_at = now;
    return;
  }
  found.candidates.erase(winner);
  output.granted.push_back(written.trial);
  output.notices.push_back(written);
  DenyAll(found, output);
}

void quarantine_list::OnConflict(entry& found,
                                 const quarantine_write_outcome& outcome,
                                 time_point now,
                                 quarantine_output& output) {
  const quarantine_record written = *found.in_flight;
  if (!outcome.stored) {
    // The row is gone: a new one is written if this node still needs it.
    found.version = revision(0);
    found.needs_write = written.state != quarantine_state::cleared;
    found.write_at = now;
    return;
  }
  if (*outcome.stored == written) {
    OnCommitted(found, outcome.version, now, output);
    return;
  }
  const bool keeps_state = written.state != quarantine_state::suspect &&
                           outcome.stored->state == quarantine_state::suspect;
  found.version = outcome.version;
  if (keeps_state) {
    found.needs_write = true;
    found.write_at = now;
    return;
  }
  Adopt(found, *outcome.stored, outcome.version, now, output);
}

}  // namespace jasminepath::decision
