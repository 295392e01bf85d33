#include "placement/rendezvous.h"

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

void rendezvous::SetMembers(const std::vector<instance_id>& members) {
  members_.clear();
  for (const instance_id& id : members)
    members_.push_back({id, StableHash(id.value())});
}

const instance_id& rendezvous::Choose(std::string_view key) const {
  const uint64_t key_hash = StableHash(key);
  const member* best = nullptr;
  uint64_t best_score = 0;
  for (const member& entry : members_) {
    const uint64_t score = MixHashes(key_hash, entry.hash);
    if (best != nullptr && score <= best_score)
      continue;
    best = &entry;
    best_score = score;
  }
  return best == nullptr ? no_member_ : best->id;
}

}  // namespace jasminepath::decision
