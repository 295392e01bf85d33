#include "placement/rendezvous.h"

#include <cstdint>
#include <string>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

instance_id RendezvousChoice(std::string_view key,
                             const std::set<instance_id>& candidates,
                             const std::set<instance_id>& excluded) {
  instance_id best;
  uint64_t best_hash = 0;
  std::string text;
  for (const instance_id& candidate : candidates) {
    if (excluded.contains(candidate))
      continue;
    text.assign(key);
    text += '|';
    text += candidate.value();
    const uint64_t hash = StableHash(text);
    if (!best.empty() && hash <= best_hash)
      continue;
    best = candidate;
    best_hash = hash;
  }
  return best;
}

}  // namespace jasminepath::decision
