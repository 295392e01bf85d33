#include "stream_version_finder.h"

#include <utility>

namespace jasminepath::gateway {
namespace {

// Age of the endpoint list beyond which a version may have joined unnoticed:
// the time in which the list is confirmed while nothing is disturbed.
constexpr duration kMaxListAge = Milliseconds(1200);
// Pause between two calls of Check() after which this process must have been
// stopped, and may have missed messages.
constexpr duration kMaxCheckPause = Milliseconds(1000);
// Time after which further nodes are asked, and after which a question ends.
constexpr duration kFirstRoundTime = Milliseconds(60);
constexpr duration kQuestionTimeout = Milliseconds(200);
// Maximum number of questions in progress.
constexpr std::size_t kMaxPending = 4096;

}  // namespace

stream_version_finder::stream_version_finder(const software_versions& versions,
                                             stream_origins& origins,
                                             awareness_source awareness,
                                             sender send,
                                             time_point started_at)
    : versions_(versions),
      origins_(origins),
      awareness_(std::move(awareness)),
      send_(std::move(send)),
      started_at_(started_at),
      checked_at_(started_at) {}

bool stream_version_finder::IsListCurrent(const node_awareness& awareness,
                                          time_point now) const {
  return awareness.list_age <= kMaxListAge &&
         now - checked_at_ <= kMaxCheckPause;
}

// Versions that left before the start no longer matter once all streams of that
// time have ended.
bool stream_version_finder::KnowsHistory(const node_awareness& awareness,
                                         time_point now) const {
  return awareness.knows_history || now - started_at_ > versions_.span();
}

bool stream_version_finder::KnowsVersions(const node_awareness& awareness,
                                          time_point now) const {
  return KnowsHistory(awareness, now) && IsListCurrent(awareness, now) &&
         (!list_gap_at_ || now - *list_gap_at_ > versions_.span());
}

bool stream_version_finder::KnowsOrigins(const service_id& service,
                                         time_point now) const {
  const node_awareness awareness = awareness_(now);
  const auto missed = missed_origins_at_.find(service);
  return KnowsVersions(awareness, now) && awareness.hears_most &&
         (missed == missed_origins_at_.end() ||
          now - missed->second > versions_.span());
}

void stream_version_finder::Find(const service_id& service,
                                 const request_id& attempt,
                                 time_point now,
                                 callback done) {
  if (auto version = origins_.Find(attempt))
    return done({std::move(version), "", {}});
  if (KnowsVersions(awareness_(now), now) &&
      !versions_.HasSeveral(service, versions_.span(), now)) {
    if (auto version = versions_.VersionOfUnrecorded(service, now))
      return done({std::move(version), "", {}});
  }
  if (attempt.empty()) {
    // Nobody can tell the stream from others whose origins are known.
    auto version = IsSingle({service, now}, now)
                       ? versions_.VersionOfUnrecorded(service, now)
                       : std::nullopt;
    return done(
        {std::move(version), "unnamed_stream", awareness_(now).list_age});
  }
  if (pending_.size() >= kMaxPending)
    return done({std::nullopt, "too_many_questions", awareness_(now).list_age});
  const auto [found, is_new] = pending_.try_emplace(attempt);
  found->second.callbacks.push_back(std::move(done));
  if (!is_new)
    return;
  found->second.service = service;
  found->second.asked_at = now;
  ++asked_;
  Ask(attempt, found->second, now);
}

void stream_version_finder::Ask(const request_id& attempt,
                                question& asked,
                                time_point now) {
  asked.receivers += send_({attempt, asked.service}, asked.round);
  if (asked.replies < asked.receivers)
    return;
  Advance(attempt, now);
}

// Asks further nodes, or ends the question, if it is time.
void stream_version_finder::Advance(const request_id& attempt, time_point now) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end())
    return;
  question& asked = found->second;
  const duration age = now - asked.asked_at;
  const bool have_all_replied = asked.replies >= asked.receivers;
  if (asked.round == 0) {
    if (!have_all_replied && age < kFirstRoundTime)
      return;
    asked.round = 1;
    return Ask(attempt, asked, now);
  }
  const bool knows_history = KnowsHistory(awareness_(now), now);
  if (age < kQuestionTimeout && !(have_all_replied && knows_history))
    return;
  if (auto version = Infer(asked, now))
    return Resolve(attempt, {std::move(version), "", {}});
  const bool has_several =
      asked.heard_of_several ||
      versions_.HasSeveral(asked.service, versions_.span(), now);
  Resolve(attempt, {std::nullopt,
                    has_several      ? "unknown_version"
                    : !knows_history ? "unknown_history"
                                     : "list_unconfirmed",
                    awareness_(now).list_age});
}

std::optional<software_version> stream_version_finder::Infer(
    const question& asked,
    time_point now) const {
  if (!IsSingle(asked, now) && !KnowsOrigins(asked.service, now))
    return std::nullopt;
  return versions_.VersionOfUnrecorded(asked.service, now);
}

bool stream_version_finder::IsSingle(const question& asked,
                                     time_point now) const {
  const node_awareness awareness = awareness_(now);
  return !asked.heard_of_several && KnowsHistory(awareness, now) &&
         (asked.replies > 0 || IsListCurrent(awareness, now)) &&
         !versions_.HasSeveral(asked.service, versions_.span(), now);
}

std::optional<software_version> stream_version_finder::RequiredVersion(
    const service_id& service,
    time_point now) const {
  if (!versions_.RecordsOrigins(service, now) || awareness_(now).hears_most)
    return std::nullopt;
  return versions_.VersionOfUnrecorded(service, now);
}

origin_reply stream_version_finder::Answer(const origin_query& query,
                                           time_point now) const {
  if (auto version = origins_.Find(query.attempt))
    return {query.attempt, origin_knowledge::recorded, *version};
  if (KnowsOrigins(query.service, now)) {
    const auto version = versions_.VersionOfUnrecorded(query.service, now);
    return {query.attempt, origin_knowledge::unrecorded,
            version.value_or(software_version())};
  }
  const bool has_several =
      versions_.HasSeveral(query.service, versions_.span(), now);
  return {query.attempt,
          has_several ? origin_knowledge::unknown
                      : origin_knowledge::unknown_of_one,
          {}};
}

void stream_version_finder::OnReply(const origin_reply& reply, time_point now) {
  const auto found = pending_.find(reply.attempt);
  if (found == pending_.end())
    return;
  ++found->second.replies;
  switch (reply.knowledge) {
    case origin_knowledge::recorded:
      origins_.Learn({reply.attempt, reply.version}, now);
      return Resolve(reply.attempt, {reply.version, "", {}});
    case origin_knowledge::unrecorded:
      if (!reply.version.empty())
        return Resolve(reply.attempt, {reply.version, "", {}});
      // The origin may have been lost on its way to that node only.
      found->second.heard_of_several = true;
      break;
    case origin_knowledge::unknown:
      found->second.heard_of_several = true;
      break;
    case origin_knowledge::unknown_of_one:
      break;
  }
  if (found->second.replies >= found->second.receivers)
    Advance(reply.attempt, now);
}

void stream_version_finder::Check(time_point now) {
  RecordGaps(now);
  checked_at_ = now;
  std::vector<request_id> attempts;
  attempts.reserve(pending_.size());
  for (const auto& [attempt, asked] : pending_)
    attempts.push_back(attempt);
  for (const request_id& attempt : attempts)
    Advance(attempt, now);
}

void stream_version_finder::RecordGaps(time_point now) {
  const node_awareness awareness = awareness_(now);
  if (awareness.list_age <= kMaxListAge)
    had_current_list_ = true;
  const bool has_outdated_list =
      had_current_list_ && awareness.list_age > kMaxListDelay;
  if (has_outdated_list || now - checked_at_ > kMaxCheckPause)
    list_gap_at_ = now;
  if (awareness.hears_most)
    return;
  for (const service_id& service : versions_.Services()) {
    if (versions_.RecordsOrigins(service, now))
      missed_origins_at_[service] = now;
  }
}

void stream_version_finder::Resolve(const request_id& attempt,
                                    const stream_version& found) {
  auto node = pending_.extract(attempt);
  if (node.empty())
    return;
  for (const callback& done : node.mapped().callbacks)
    done(found);
}

}  // namespace jasminepath::gateway
