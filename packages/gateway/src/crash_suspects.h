#ifndef JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
#define JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Hash of team, method, target, prompt parts and body, by which a repeated
// request is recognised.
uint64_t Fingerprint(const caller_request& request, const team_id& team);

// Counts, across all nodes, how often a request has cost an endpoint its
// connection while it ran, and blocks requests that have reached the limit.
class crash_suspects {
 public:
  explicit crash_suspects(vm_id self) : self_(std::move(self)) {}

  // The endpoint's connection was lost while it ran a request of this node.
  void OnCrash(uint64_t fingerprint, time_point now);
  // A request was answered; clears its crash count.
  void OnAnswered(uint64_t fingerprint);
  void OnDigest(const peer_digest& digest, time_point now);

  // Whether the request must not be sent to any endpoint.
  bool IsBlocked(uint64_t fingerprint, time_point now) const;

  // Crash counts of this node, for its digest.
  std::vector<crash_count> Counts(time_point now) const;

 private:
  struct record {
    std::map<vm_id, int64_t> by_node;
    time_point last_crash_at{};
  };

  void DropOld(time_point now);

  vm_id self_;
  std::map<uint64_t, record> records_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
