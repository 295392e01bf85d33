#ifndef JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_
#define JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_

#include <map>
#include <utility>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"

namespace jasminepath::gateway {

// Aggregates the digests of a zone's nodes into one for other zones. Every node
// maintains the aggregate, so that any of them can become the zone's
// representative. Does no I/O.
class zone_summary {
 public:
  // Takes a digest of a node of the zone, including this one.
  void OnDigest(const peer_digest& digest, time_point now);
  void Forget(const vm_id& node) { nodes_.erase(node); }

  // Returns the aggregated digest, of the given era of the store. The caller
  // sets names, versions and counts.
  peer_digest MakeZoneDigest(store_era era, time_point now) const;

 private:
  struct node_state {
    peer_digest last_digest;
    time_point last_received_at{};
  };

  std::map<vm_id, node_state> nodes_;
  // Monotonic totals over all nodes and incarnations.
  std::map<team_id, int64_t> team_tokens_;
  std::map<std::pair<model_id, adapter_id>, int64_t> arrivals_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_
