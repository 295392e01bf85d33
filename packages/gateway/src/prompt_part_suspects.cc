#include "prompt_part_suspects.h"

#include <algorithm>
#include <iterator>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Length of the streak at which a part is blocked, and the same for parts that
// were answered before; the site's rule limits what may follow the fifth crash.
constexpr std::size_t kCrashesToBlock = 3;
constexpr std::size_t kCrashesToBlockAnswered = 6;
// Time for which a streak is kept after its last crash. A part that was never
// answered stays blocked as long.
constexpr duration kSuspectRetention = Seconds(120);
// Time after the last crash for which a part that was answered before stays
// blocked.
constexpr duration kAnsweredBlockTime = Seconds(30);
// Age up to which an answer counts when its part becomes suspected.
constexpr duration kAnswerRetention = Seconds(30);
// Maximum number of tracked parts; those with the oldest crashes are evicted
// first.
constexpr std::size_t kMaxSuspects = 256;
constexpr std::size_t kMaxAnsweredParts = 8192;
// Bounds of the crashes that are tracked and reported for a part, and of the
// parts in a report, so that a report fits into a datagram.
constexpr std::size_t kMaxTrackedCrashes = 32;
constexpr std::size_t kMaxReportedCrashes = 8;
constexpr std::size_t kMaxReportedParts = 48;

uint32_t FirstCrashId(const endpoint_id& endpoint) {
  return static_cast<uint32_t>(StableHash(endpoint.value()));
}

// Id of the next crash of an endpoint that restarts under the same id.
uint32_t NextCrashId(uint32_t id) {
  return static_cast<uint32_t>(MixHashes(id, 1));
}

// Keeps the parts with the most crashes.
void Shorten(std::vector<part_evidence>& parts) {
  std::stable_sort(parts.begin(), parts.end(),
                   [](const part_evidence& a, const part_evidence& b) {
                     return a.crashes.size() > b.crashes.size();
                   });
  if (parts.size() > kMaxReportedParts)
    parts.resize(kMaxReportedParts);
}

}  // namespace

std::vector<uint64_t> SharedParts(const caller_request& request) {
  std::vector<uint64_t> parts;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i)
    parts.push_back(StableHash(request.prompt[i].id));
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

void prompt_part_suspects::AddCrash(record& suspect,
                                    uint32_t id,
                                    bool own,
                                    time_point now) {
  if (suspect.cleared.contains(id))
    return;
  const auto [position, is_new] = suspect.streak.try_emplace(id);
  if (is_new) {
    position->second.known_at = now;
    suspect.last_crash_at = now;
  }
  position->second.own = position->second.own || own;
  if (suspect.streak.size() > kMaxTrackedCrashes)
    suspect.streak.erase(
        std::min_element(suspect.streak.begin(), suspect.streak.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.known_at < b.second.known_at;
                         }));
}

void prompt_part_suspects::Clear(record& suspect) {
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

uint64_t prompt_part_suspects::RecentAnswer(uint64_t part,
                                            time_point now) const {
  const auto found = answers_.find(part);
  if (found == answers_.end() || now - found->second.at > kAnswerRetention)
    return 0;
  return found->second.number;
}

void prompt_part_suspects::OnCrash(const std::vector<uint64_t>& parts,
                                   const endpoint_id& endpoint,
                                   time_point sent_at,
                                   time_point now) {
  for (const uint64_t part : parts) {
    record& suspect = records_[part];
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
    suspect.answered = suspect.answered || RecentAnswer(part, now) != 0;
    AddCrash(suspect, id, true, now);
  }
  DropOld(now);
}

void prompt_part_suspects::OnAnswered(const std::vector<uint64_t>& parts,
                                      time_point now) {
  for (const uint64_t part : parts) {
    answer& last = answers_[part];
    answers_by_age_.erase({last.number, part});
    // Numbers also rise over restarts of this process.
    last_answer_number_ =
        std::max(last_answer_number_ + 1,
                 static_cast<uint64_t>(ToMilliseconds(now.time_since_epoch())));
    last = {now, last_answer_number_};
    answers_by_age_.emplace(last.number, part);
    const auto suspect = records_.find(part);
    if (suspect != records_.end())
      Clear(suspect->second);
  }
  while (answers_.size() > kMaxAnsweredParts) {
    const auto oldest = answers_by_age_.begin();
    answers_.erase(oldest->second);
    answers_by_age_.erase(oldest);
  }
}

void prompt_part_suspects::OnReport(const crash_report& report,
                                    time_point now) {
  if (!report.is_zone_report)
    reports_[report.node] = {report, now};
  for (const part_evidence& evidence : report.parts) {
    record& suspect = records_[evidence.part];
    if (suspect.last_crash_at == time_point{})
      suspect.last_crash_at = now;
    suspect.answered =
        suspect.answered || RecentAnswer(evidence.part, now) != 0;
    for (const uint32_t id : evidence.crashes)
      AddCrash(suspect, id, false, now);
    uint64_t& answers = suspect.answers_by_node[report.node];
    if (evidence.answers > answers)
      Clear(suspect);
    answers = evidence.answers;
  }
  DropOld(now);
}

void prompt_part_suspects::ForgetPeer(const vm_id& node) {
  reports_.erase(node);
  for (auto& [part, suspect] : records_)
    suspect.answers_by_node.erase(node);
}

bool prompt_part_suspects::IsBlocked(const record& suspect, time_point now) {
  const std::size_t limit =
      suspect.answered ? kCrashesToBlockAnswered : kCrashesToBlock;
  const duration block_time =
      suspect.answered ? kAnsweredBlockTime : kSuspectRetention;
  return suspect.streak.size() >= limit &&
         now - suspect.last_crash_at <= block_time;
}

bool prompt_part_suspects::IsBlocked(const std::vector<uint64_t>& parts,
                                     time_point now) const {
  return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) {
    const auto found = records_.find(part);
    return found != records_.end() && IsBlocked(found->second, now);
  });
}

int64_t prompt_part_suspects::BlockedCount(time_point now) const {
  return std::count_if(
      records_.begin(), records_.end(),
      [now](const auto& item) { return IsBlocked(item.second, now); });
}

std::vector<blocked_part> prompt_part_suspects::TakeNewlyBlocked(
    time_point now) {
  std::vector<blocked_part> blocked;
  for (auto& [part, suspect] : records_) {
    const bool is_blocked = IsBlocked(suspect, now);
    if (is_blocked && !suspect.block_taken &&
        blocked.size() < kMaxBlockedReported) {
      blocked.push_back({part, std::ssize(suspect.streak), suspect.answered});
      suspect.block_taken = true;
    }
    if (!is_blocked)
      suspect.block_taken = false;
  }
  return blocked;
}

crash_report prompt_part_suspects::OwnReport(time_point now) const {
  crash_report report;
  report.node = self_;
  for (const auto& [part, suspect] : records_) {
    if (now - suspect.last_crash_at > kSuspectRetention)
      continue;
    part_evidence evidence;
    evidence.part = part;
    evidence.answers = RecentAnswer(part, now);
    for (const auto& [id, seen] : suspect.streak) {
      if (seen.own && evidence.crashes.size() < kMaxReportedCrashes)
        evidence.crashes.push_back(id);
    }
    if (evidence.answers != 0 || !evidence.crashes.empty())
      report.parts.push_back(std::move(evidence));
  }
  Shorten(report.parts);
  return report;
}

crash_report prompt_part_suspects::ZoneReport(const zone_id& zone,
                                              time_point now) const {
  crash_report combined;
  combined.is_zone_report = true;
  combined.zone = zone;
  std::map<uint64_t, part_evidence> parts;
  const auto add = [&parts](const crash_report& report) {
    for (const part_evidence& evidence : report.parts) {
      part_evidence& sum = parts[evidence.part];
      sum.part = evidence.part;
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
  for (auto& [part, evidence] : parts)
    combined.parts.push_back(std::move(evidence));
  Shorten(combined.parts);
  return combined;
}

void prompt_part_suspects::DropOld(time_point now) {
  std::erase_if(records_, [now](const auto& item) {
    return now - item.second.last_crash_at > kSuspectRetention;
  });
  while (records_.size() > kMaxSuspects) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.last_crash_at < b.second.last_crash_at;
        }));
  }
}

}  // namespace jasminepath::gateway
