#include "jasminepath/decision/admission/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kWriteRetryInterval = Milliseconds(100);
constexpr duration kSlowWriteRetryInterval = Seconds(2);
// Number of failed writes after which calls stop waiting for the trial.
constexpr int64_t kMaxFailuresBeforeDenial = 5;

}  // namespace

quarantine_list::quarantine_list(instance_id self,
                                 duration lifetime,
                                 std::size_t max_records)
    : self_(std::move(self)), lifetime_(lifetime), max_records_(max_records) {}

quarantine_verdict quarantine_list::Check(
    const request_fingerprint& fingerprint,
    time_point now) const {
  const entry* found = Find(fingerprint);
  if (found == nullptr || now >= found->expires_at)
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
  return std::max(found->expires_at - now, duration::zero());
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
  StartWriteIfDue(*found, now, output);
}

void quarantine_list::OnEndpointCrash(const request_fingerprint& fingerprint,
                                      const endpoint_id& endpoint,
                                      const request_id& call,
                                      bool requests_trial,
                                      time_point now,
                                      quarantine_output& output) {
  entry* found = Find(fingerprint);
  const bool is_known = found != nullptr && now < found->expires_at &&
                        found->record.state != quarantine_state::cleared;
  if (is_known) {
    if (requests_trial)
      output.denied.push_back(call);
    const bool is_same_crash =
        found->record.endpoint == endpoint && found->record.trial != call;
    if (found->record.state == quarantine_state::suspect && !is_same_crash)
      StartQuarantine(*found, now, output);
    return;
  }
  const quarantine_record record{.fingerprint = fingerprint,
                                 .state = quarantine_state::suspect,
                                 .endpoint = endpoint,
                                 .author = self_,
                                 .trial = {},
                                 .lifetime = lifetime_};
  entry& added = Insert(record, now);
  added.local_crash_endpoint = endpoint;
  added.needs_write = true;
  if (requests_trial)
    added.candidates.push_back(call);
  output.notices.push_back(record);
  StartWriteIfDue(added, now, output);
}

void quarantine_list::OnTrialEnd(const request_fingerprint& fingerprint,
                                 const request_id& call,
                                 bool succeeded,
                                 time_point now,
                                 quarantine_output& output) {
  entry* found = Find(fingerprint);
  if (found == nullptr || found->record.trial != call ||
      found->record.state != quarantine_state::suspect)
    return;
  found->record.trial = {};
  found->record.author = self_;
  if (succeeded)
    found->record.state = quarantine_state::cleared;
  found->needs_write = true;
  found->write_at = now;
  output.notices.push_back(found->record);
  StartWriteIfDue(*found, now, output);
}

void quarantine_list::CancelTrialRequest(const request_fingerprint& fingerprint,
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
      if (++found->failures >= kMaxFailuresBeforeDenial)
        DenyCandidates(*found, output);
      found->write_at = now + (found->failures >= kMaxFailuresBeforeDenial
                                   ? kSlowWriteRetryInterval
                                   : kWriteRetryInterval);
      break;
  }
  found->in_flight.reset();
  StartWriteIfDue(*found, now, output);
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
  ApplyCommittedRecord(*found, record, version, now, output);
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
  const bool is_stricter = record.state == quarantine_state::quarantined &&
                           found->record.state != quarantine_state::quarantined;
  const bool is_suspect_without_requests =
      found->record.state == quarantine_state::suspect &&
      found->candidates.empty() && !found->in_flight;
  if (is_stricter) {
    found->record = record;
    found->expires_at = now + record.lifetime;
    DenyCandidates(*found, output);
  } else if (is_suspect_without_requests && record.author != self_) {
    found->record.state = record.state;
    found->record.trial = record.trial;
  }
}

void quarantine_list::OnTick(time_point now, quarantine_output& output) {
  std::vector<request_fingerprint> expired;
  for (auto& [fingerprint, found] : entries_) {
    if (now >= found.expires_at && !found.in_flight) {
      expired.push_back(fingerprint);
      continue;
    }
    StartWriteIfDue(found, now, output);
  }
  for (const request_fingerprint& fingerprint : expired) {
    entry& found = entries_[fingerprint];
    DenyCandidates(found, output);
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
    const bool has_pending_write = found.needs_write && !found.in_flight;
    const time_point due = has_pending_write
                               ? std::min(found.write_at, found.expires_at)
                               : found.expires_at;
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
    EvictIfFull();
  entry& added = entries_[record.fingerprint];
  added.record = record;
  added.expires_at = now + record.lifetime;
  added.write_at = now;
  return added;
}

// Evicts the record that expires first if the list is full.
void quarantine_list::EvictIfFull() {
  if (entries_.size() < max_records_)
    return;
  const auto first = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.expires_at < b.second.expires_at;
      });
  entries_.erase(first);
}

void quarantine_list::StartQuarantine(entry& found,
                                      time_point now,
                                      quarantine_output& output) {
  found.record.state = quarantine_state::quarantined;
  found.record.author = self_;
  found.record.trial = {};
  found.record.lifetime = lifetime_;
  found.expires_at = now + lifetime_;
  found.needs_write = true;
  found.write_at = now;
  DenyCandidates(found, output);
  output.notices.push_back(found.record);
  StartWriteIfDue(found, now, output);
}

// Replaces the local record by a newer committed one, unless the local record
// is stricter and has yet to be written.
void quarantine_list::ApplyCommittedRecord(entry& found,
                                           const quarantine_record& record,
                                           revision version,
                                           time_point now,
                                           quarantine_output& output) {
  found.version = version;
  if (record.state == quarantine_state::cleared)
    found.version = revision(0);
  const bool is_local_state_stricter =
      found.record.state == quarantine_state::quarantined &&
      record.state != quarantine_state::quarantined && found.needs_write;
  if (is_local_state_stricter)
    return;
  const bool is_second_crash = record.state == quarantine_state::suspect &&
                               !found.local_crash_endpoint.empty() &&
                               found.local_crash_endpoint != record.endpoint;
  found.record = record;
  if (is_second_crash) {
    found.local_crash_endpoint = {};
    StartQuarantine(found, now, output);
    return;
  }
  found.expires_at = now + record.lifetime;
  const bool is_trial_open =
      record.state == quarantine_state::suspect && record.trial.empty();
  found.needs_write = is_trial_open && !found.candidates.empty();
  if (!is_trial_open)
    DenyCandidates(found, output);
}

void quarantine_list::DenyCandidates(entry& found, quarantine_output& output) {
  for (const request_id& call : std::exchange(found.candidates, {}))
    output.denied.push_back(call);
}

// Starts the next write of the row if one is due and none is outstanding.
void quarantine_list::StartWriteIfDue(entry& found,
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
  found.local_crash_endpoint = {};
  if (found.record.state != written.state)
    return;
  found.record = written;
  if (written.trial.empty())
    return;
  const auto winner = std::find(found.candidates.begin(),
                                found.candidates.end(), written.trial);
  if (winner == found.candidates.end()) {
    // The call has ended in the meantime, so the trial becomes available again.
    found.record.trial = {};
    found.needs_write = true;
    found.write_at = now;
    return;
  }
  found.candidates.erase(winner);
  output.granted.push_back(written.trial);
  output.notices.push_back(written);
  DenyCandidates(found, output);
}

void quarantine_list::OnConflict(entry& found,
                                 const quarantine_write_outcome& outcome,
                                 time_point now,
                                 quarantine_output& output) {
  const quarantine_record written = *found.in_flight;
  if (!outcome.stored) {
    // The row no longer exists; a new one is written if this node still needs
    // it.
    found.version = revision(0);
    found.needs_write = written.state != quarantine_state::cleared;
    found.write_at = now;
    return;
  }
  if (*outcome.stored == written) {
    OnCommitted(found, outcome.version, now, output);
    return;
  }
  const bool must_rewrite = written.state != quarantine_state::suspect &&
                            outcome.stored->state == quarantine_state::suspect;
  found.version = outcome.version;
  if (must_rewrite) {
    found.needs_write = true;
    found.write_at = now;
    return;
  }
  ApplyCommittedRecord(found, *outcome.stored, outcome.version, now, output);
}

}  // namespace jasminepath::decision
