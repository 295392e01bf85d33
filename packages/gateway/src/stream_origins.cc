#include "stream_origins.h"

namespace jasminepath::gateway {

void stream_origins::Begin(const stream_origin& origin, time_point now) {
  Learn(origin, now);
  if (on_begun_)
    on_begun_(origin);
}

void stream_origins::Learn(const stream_origin& origin, time_point now) {
  while (!recorded_.empty() && (now - recorded_.front().first > kMemory ||
                                recorded_.size() >= kMaxStreams)) {
    versions_.erase(recorded_.front().second);
    recorded_.pop_front();
  }
  if (versions_.emplace(origin.attempt, origin.version).second)
    recorded_.emplace_back(now, origin.attempt);
}

std::optional<software_version> stream_origins::Find(
    const request_id& attempt) const {
  const auto found = versions_.find(attempt);
  if (found == versions_.end())
    return std::nullopt;
  return found->second;
}

}  // namespace jasminepath::gateway
