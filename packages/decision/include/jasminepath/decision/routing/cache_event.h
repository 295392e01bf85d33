#ifndef JASMINEPATH_DECISION_ROUTING_CACHE_EVENT_H_
#define JASMINEPATH_DECISION_ROUTING_CACHE_EVENT_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Change of a prompt prefix in an engine's cache.
enum class cache_change { stored, removed, cleared };

// One cache event of an engine. Events may be late or lost; a gap in the
// sequence numbers shows a loss.
struct cache_event {
  endpoint_id endpoint;
  std::string incarnation;
  int64_t sequence = 0;
  cache_change change = cache_change::stored;
  // The hash of routing_query; unused for `cleared`.
  uint64_t prefix_hash = 0;

  friend bool operator==(const cache_event&, const cache_event&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ROUTING_CACHE_EVENT_H_
