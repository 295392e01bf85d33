#include "crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Length of the streak at which a suspect is blocked, and the same for suspects
// that were answered before; the site's rules limit what may follow the third
// crash by a request, and the fifth by a prompt part.
constexpr std::size_t kCrashesToBlock = 3;
constexpr std::size_t kCrashesToBlockAnswered = 6;
// Time for which a streak is kept after its last crash. A suspect that was
// never answered stays blocked as long.
constexpr duration kSuspectRetention = Seconds(120);
// Time after the last crash for which a suspect that was answered before stays
// blocked.
constexpr duration kAnsweredBlockTime = Seconds(30);
// Age up to which an answer counts when something becomes suspected.
constexpr duration kAnswerRetention = Seconds(30);
// Time for which a suspect with a single crash is reported. Most of these are
// requests that ran beside a crashing one.
constexpr duration kSingleCrashReportTime = Seconds(2);
// Maximum number of suspects; those with the fewest crashes, and of these the
// oldest, are evicted first.
constexpr std::size_t kMaxSuspects = 512;
constexpr std::size_t kMaxAnswers = 16384;
// Bounds of the crashes that are tracked and reported for a suspect, and of the
// suspects in a report, so that a report fits into a datagram.
constexpr std::size_t kMaxTrackedCrashes = 32;
constexpr std::size_t kMaxReportedCrashes = 8;
constexpr std::size_t kMaxReportedSuspects = 48;

uint32_t FirstCrashId(const endpoint_id& endpoint) {
  return static_cast<uint32_t>(StableHash(endpoint.value()));
}

// Id of the next crash of an endpoint that restarts under the same id.
uint32_t NextCrashId(uint32_t id) {
  return static_cast<uint32_t>(MixHashes(id, 1));
}

// Keeps the suspects with the most crashes.
template <typename Suspect>
void Shorten(std::vector<Suspect>& suspects) {
  std::stable_sort(suspects.begin(), suspects.end(),
                   [](const Suspect& a, const Suspect& b) {
                     return a.crashes.size() > b.crashes.size();
                   });
  if (suspects.size() > kMaxReportedSuspects)
    suspects.resize(kMaxReportedSuspects);
}

}  // namespace

uint64_t Fingerprint(const caller_request& request, const team_id& team) {
  std::string text = team.value();
  text.append("\n").append(request.method).append(" ").append(request.target);
  for (const prompt_part& part : request.prompt)
    text.append("\n").append(part.id);
  text.append("\n").append(request.body);
  return StableHash(text);
}

std::vector<uint64_t> SharedParts(const caller_request& request) {
  std::vector<uint64_t> parts;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i)
    parts.push_back(StableHash(request.prompt[i].id));
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

void crash_suspects::AddCrash(record& suspect,
                              uint32_t id,
                              bool own,
                              time_point crashed_at) {
  if (suspect.cleared.contains(id))
    return;
  const auto [position, is_new] = suspect.streak.try_emplace(id);
  if (is_new) {
    position->second.known_at = crashed_at;
    suspect.last_crash_at = std::max(suspect.last_crash_at, crashed_at);
  }
  position->second.own = position->second.own || own;
  if (suspect.streak.size() > kMaxTrackedCrashes)
    suspect.streak.erase(
        std::min_element(suspect.streak.begin(), suspect.streak.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.known_at < b.second.known_at;
                         }));
}

void crash_suspects::Clear(record& suspect) {
  suspect.cleared.merge(suspect.streak);
  suspect.streak.clear();
  while (suspect.cleared.size() > kMaxTrackedCrashes)
    suspect.cleared.erase(
        std::min_element(suspect.cleared.begin(), suspect.cleared.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.known_at < b.second.known_at;
                         }));
  suspect.answered = true;
  suspect.block_taken = false;
}

uint64_t crash_suspects::RecentAnswer(uint64_t key, time_point now) const {
  const auto found = answers_.find(key);
  if (found == answers_.end() || now - found->second.at > kAnswerRetention)
    return 0;
  return found->second.number;
}

void crash_suspects::OnCrash(const std::vector<uint64_t>& suspects,
                             const endpoint_id& endpoint,
                             time_point sent_at,
                             time_point now) {
  for (const uint64_t key : suspects) {
    record& suspect = records_[key];
    // Connections that are lost together may have one cause, such as a reset of
    // all of this node's connections.
    if (suspect.last_own_crash_at != time_point{} &&
        sent_at <= suspect.last_own_crash_at)
      continue;
    uint32_t id = FirstCrashId(endpoint);
    while (true) {
      const auto known = suspect.streak.find(id);
      const auto cleared = suspect.cleared.find(id);
      const bool is_later_run =
          (known != suspect.streak.end() && known->second.known_at < sent_at) ||
          (cleared != suspect.cleared.end() &&
           cleared->second.known_at < sent_at);
      if (!is_later_run)
        break;
      id = NextCrashId(id);
    }
    suspect.last_own_crash_at = now;
    suspect.answered = suspect.answered || RecentAnswer(key, now) != 0;
    AddCrash(suspect, id, true, now);
  }
  DropOld(now);
}

void crash_suspects::OnAnswered(const std::vector<uint64_t>& suspects,
                                time_point now) {
  for (const uint64_t key : suspects) {
    answer& last = answers_[key];
    answers_by_age_.erase({last.number, key});
    // Numbers also rise over restarts of this process.
    last_answer_number_ =
        std::max(last_answer_number_ + 1,
                 static_cast<uint64_t>(ToMilliseconds(now.time_since_epoch())));
    last = {now, last_answer_number_};
    answers_by_age_.emplace(last.number, key);
    const auto suspect = records_.find(key);
    if (suspect != records_.end())
      Clear(suspect->second);
  }
  while (answers_.size() > kMaxAnswers) {
    const auto oldest = answers_by_age_.begin();
    answers_.erase(oldest->second);
    answers_by_age_.erase(oldest);
  }
}

void crash_suspects::OnReport(const crash_report& report, time_point now) {
  if (!report.is_zone_report)
    reports_[report.node] = {report, now};
  for (const crash_evidence& evidence : report.suspects) {
    record& suspect = records_[evidence.suspect];
    if (suspect.last_crash_at == time_point{})
      suspect.last_crash_at = now;
    suspect.answered =
        suspect.answered || RecentAnswer(evidence.suspect, now) != 0;
    for (const uint32_t id : evidence.crashes)
      AddCrash(suspect, id, false, now);
    uint64_t& answers = suspect.answers_by_node[report.node];
    if (evidence.answers > answers)
      Clear(suspect);
    answers = evidence.answers;
  }
  DropOld(now);
}

void crash_suspects::ForgetPeer(const vm_id& node) {
  reports_.erase(node);
  for (auto& [key, suspect] : records_)
    suspect.answers_by_node.erase(node);
}

bool crash_suspects::IsBlocked(const record& suspect, time_point now) {
  const std::size_t limit =
      suspect.answered ? kCrashesToBlockAnswered : kCrashesToBlock;
  const duration block_time =
      suspect.answered ? kAnsweredBlockTime : kSuspectRetention;
  return suspect.streak.size() >= limit &&
         now - suspect.last_crash_at <= block_time;
}

bool crash_suspects::IsReported(const record& suspect, time_point now) {
  const duration age = now - suspect.last_crash_at;
  return age <= kSingleCrashReportTime ||
         (age <= kSuspectRetention &&
          suspect.streak.size() + suspect.cleared.size() > 1);
}

bool crash_suspects::IsBlocked(const std::vector<uint64_t>& suspects,
                               time_point now) const {
  return std::any_of(suspects.begin(), suspects.end(), [&](uint64_t key) {
    const auto found = records_.find(key);
    return found != records_.end() && IsBlocked(found->second, now);
  });
}

int64_t crash_suspects::BlockedCount(time_point now) const {
  return std::count_if(
      records_.begin(), records_.end(),
      [now](const auto& item) { return IsBlocked(item.second, now); });
}

std::vector<blocked_suspect> crash_suspects::TakeNewlyBlocked(time_point now) {
  std::vector<blocked_suspect> blocked;
  for (auto& [key, suspect] : records_) {
    const bool is_blocked = IsBlocked(suspect, now);
    if (is_blocked && !suspect.block_taken &&
        blocked.size() < kMaxBlockedReported) {
      blocked.push_back({key, std::ssize(suspect.streak), suspect.answered});
      suspect.block_taken = true;
    }
    if (!is_blocked)
      suspect.block_taken = false;
  }
  return blocked;
}

crash_report crash_suspects::OwnReport(time_point now) const {
  crash_report report;
  report.node = self_;
  for (const auto& [key, suspect] : records_) {
    if (!IsReported(suspect, now))
      continue;
    crash_evidence evidence;
    evidence.suspect = key;
    evidence.answers = RecentAnswer(key, now);
    for (const auto& [id, seen] : suspect.streak) {
      if (seen.own && evidence.crashes.size() < kMaxReportedCrashes)
        evidence.crashes.push_back(id);
    }
    if (evidence.answers != 0 || !evidence.crashes.empty())
      report.suspects.push_back(std::move(evidence));
  }
  Shorten(report.suspects);
  return report;
}

crash_report crash_suspects::ZoneReport(const zone_id& zone,
                                        time_point now) const {
  crash_report combined;
  combined.is_zone_report = true;
  combined.zone = zone;
  std::map<uint64_t, crash_evidence> sums;
  const auto add = [&sums](const crash_report& report) {
    for (const crash_evidence& evidence : report.suspects) {
      crash_evidence& sum = sums[evidence.suspect];
      sum.suspect = evidence.suspect;
      sum.answers += evidence.answers;
      for (const uint32_t id : evidence.crashes) {
        const auto place =
            std::lower_bound(sum.crashes.begin(), sum.crashes.end(), id);
        if ((place == sum.crashes.end() || *place != id) &&
            sum.crashes.size() < kMaxReportedCrashes)
          sum.crashes.insert(place, id);
      }
    }
  };
  add(OwnReport(now));
  for (const auto& [node, last] : reports_) {
    if (now - last.received_at <= kDigestValidity)
      add(last.report);
  }
  for (auto& [key, evidence] : sums)
    combined.suspects.push_back(std::move(evidence));
  Shorten(combined.suspects);
  return combined;
}

crash_history crash_suspects::History(time_point now) const {
  crash_history history;
  for (const auto& [key, suspect] : records_) {
    const duration age = now - suspect.last_crash_at;
    if (suspect.streak.size() < 2 || age > kSuspectRetention)
      continue;
    known_suspect known{key, ToMilliseconds(age), suspect.answered, {}};
    for (const auto& [id, seen] : suspect.streak) {
      if (known.crashes.size() < kMaxReportedCrashes)
        known.crashes.push_back(id);
    }
    history.suspects.push_back(std::move(known));
  }
  Shorten(history.suspects);
  return history;
}

void crash_suspects::OnHistory(const crash_history& history, time_point now) {
  for (const known_suspect& known : history.suspects) {
    const duration age = Milliseconds(std::max<int64_t>(known.age_ms, 0));
    if (age > kSuspectRetention)
      continue;
    record& suspect = records_[known.suspect];
    suspect.answered = suspect.answered || known.answered ||
                       RecentAnswer(known.suspect, now) != 0;
    if (suspect.last_crash_at == time_point{})
      suspect.last_crash_at = now - age;
    for (const uint32_t id : known.crashes)
      AddCrash(suspect, id, false, now - age);
  }
  DropOld(now);
}

void crash_suspects::DropOld(time_point now) {
  std::erase_if(records_, [now](const auto& item) {
    return now - item.second.last_crash_at > kSuspectRetention;
  });
  while (records_.size() > kMaxSuspects) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.streak.size(), a.second.last_crash_at) <
                 std::pair(b.second.streak.size(), b.second.last_crash_at);
        }));
  }
}

}  // namespace jasminepath::gateway
