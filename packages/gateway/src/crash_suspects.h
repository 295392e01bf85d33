#ifndef JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
#define JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Recognises a request that comes again: team, method, target and body.
uint64_t Fingerprint(const caller_request& request, const team_id& team);

// Counts, over all nodes, how often a request has cost an endpoint its
// connection while it ran, and refuses those that have done so too often.
class crash_suspects {
 public:
  explicit crash_suspects(vm_id self) : self_(std::move(self)) {}

  // A request of this node has lost its endpoint while it ran.
  void OnCrash(uint64_t fingerprint, time_point now);
  // A request that was suspected has been answered.
  void OnAnswered(uint64_t fingerprint);
  void OnDigest(const peer_digest& digest, time_point now);

  // Whether the request must not be sent to another endpoint.
  bool IsBarred(uint64_t fingerprint, time_point now) const;

  // This node's counts, for its digest.
  std::vector<crash_count> Counts(time_point now) const;

 private:
  struct record {
    std::map<vm_id, int64_t> by_node;
    time_point last{};
  };

  void DropOld(time_point now);

  vm_id self_;
  std::map<uint64_t, record> records_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
