#include "crash_suspects.h"

#include <algorithm>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Number of lost connections after which a request is blocked; the site's rule
// limits what may follow the third crash.
constexpr int64_t kCrashesToBlock = 3;
// Time for which the crash counts of a request are kept after the last crash.
constexpr duration kSuspectRetention = Seconds(120);
// Maximum number of tracked requests; the oldest are evicted first.
constexpr std::size_t kMaxSuspects = 256;

}  // namespace

uint64_t Fingerprint(const caller_request& request, const team_id& team) {
  std::string text = team.value();
  text.append("\n").append(request.method).append(" ").append(request.target);
  for (const prompt_part& part : request.prompt)
    text.append("\n").append(part.id);
  text.append("\n").append(request.body);
  return StableHash(text);
}

void crash_suspects::DropOld(time_point now) {
  std::erase_if(records_, [&](const auto& item) {
    return now - item.second.last_crash_at > kSuspectRetention;
  });
  while (records_.size() > kMaxSuspects) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.last_crash_at < b.second.last_crash_at;
        }));
  }
}

void crash_suspects::OnCrash(uint64_t fingerprint, time_point now) {
  record& known = records_[fingerprint];
  ++known.by_node[self_];
  known.last_crash_at = now;
  DropOld(now);
}

void crash_suspects::OnAnswered(uint64_t fingerprint) {
  records_.erase(fingerprint);
}

void crash_suspects::OnDigest(const peer_digest& digest, time_point now) {
  for (const crash_count& count : digest.crashes) {
    record& known = records_[count.fingerprint];
    int64_t& crashes = known.by_node[digest.node];
    if (crashes != count.crashes)
      known.last_crash_at = now;
    crashes = count.crashes;
  }
  DropOld(now);
}

bool crash_suspects::IsBlocked(uint64_t fingerprint, time_point now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() ||
      now - found->second.last_crash_at > kSuspectRetention)
    return false;
  int64_t crashes = 0;
  for (const auto& [node, count] : found->second.by_node)
    crashes += count;
  return crashes >= kCrashesToBlock;
}

std::vector<crash_count> crash_suspects::Counts(time_point now) const {
  std::vector<crash_count> counts;
  for (const auto& [fingerprint, known] : records_) {
    const auto own = known.by_node.find(self_);
    if (own != known.by_node.end() &&
        now - known.last_crash_at <= kSuspectRetention)
      counts.push_back({fingerprint, own->second});
  }
  return counts;
}

}  // namespace jasminepath::gateway
