#ifndef JASMINEPATH_GATEWAY_SRC_STREAM_ORIGINS_H_
#define JASMINEPATH_GATEWAY_SRC_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/gateway/peer_digest.h"

namespace jasminepath::gateway {

// The software version on which each stream began, for streams that callers may
// resume at any node. Only streams of services with several versions are
// recorded. Does no I/O.
class stream_origins {
 public:
  // Time for which a stream is remembered, longer than any stream lasts, and
  // the most streams that are remembered.
  static constexpr duration kMemory = Seconds(120);
  static constexpr std::size_t kMaxStreams = 50'000;

  // Sets the receiver of streams that begin at this node.
  void OnBegun(std::function<void(const stream_origin&)> callback) {
    on_begun_ = std::move(callback);
  }

  // Records a stream that begins at this node. Call before its first event is
  // passed on.
  void Begin(const stream_origin& origin, time_point now);
  // Records a stream that has begun at another node.
  void Learn(const stream_origin& origin, time_point now);
  std::optional<software_version> Find(const request_id& attempt) const;
  std::size_t size() const { return versions_.size(); }

 private:
  std::function<void(const stream_origin&)> on_begun_;
  std::map<request_id, software_version> versions_;
  // Streams in the order in which they were recorded.
  std::deque<std::pair<time_point, request_id>> recorded_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_STREAM_ORIGINS_H_
