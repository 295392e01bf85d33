#ifndef JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_
#define JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_

#include <map>
#include <utility>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"

namespace jasminepath::gateway {

// Adds up the digests of a zone's nodes into one for other zones. Every node
// keeps it, so that any can speak for the zone. Does no I/O.
class zone_summary {
 public:
  // A digest of a node of the zone, this node included.
  void OnDigest(const peer_digest& digest, time_point now);
  void Forget(const vm_id& node) { nodes_.erase(node); }

  // The sums. Names, versions and counts are left to the caller.
  peer_digest Make(time_point now) const;

 private:
  struct node_state {
    peer_digest last;
    time_point heard_at{};
  };

  std::map<vm_id, node_state> nodes_;
  // Counts that rise over all nodes and incarnations.
  std::map<team_id, int64_t> team_tokens_;
  std::map<std::pair<model_id, adapter_id>, int64_t> arrivals_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ZONE_SUMMARY_H_
