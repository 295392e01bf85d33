#include "jasminepath/decision/fleet/peer_choice.h"

#include <algorithm>
#include <string>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {
namespace {

// An instance and its rendezvous weight.
struct weighted_instance {
  uint64_t weight = 0;
  instance_id id;

  friend auto operator<=>(const weighted_instance&,
                          const weighted_instance&) = default;
};

uint64_t DutyWeight(std::string_view duty, const instance_id& id) {
  return StableHash(std::string(duty) + '/' + id.value());
}

}  // namespace

std::vector<instance_id> ChoosePeers(const instance_id& self,
                                     const std::vector<instance_id>& instances,
                                     const fleet_limits& limits) {
  std::vector<weighted_instance> others;
  for (const instance_id& id : instances) {
    if (id != self)
      others.push_back({.weight = DutyWeight(self.value(), id), .id = id});
  }
  const bool is_full_mesh =
      static_cast<int64_t>(others.size()) < limits.max_full_mesh_instances;
  const auto peer_count =
      is_full_mesh ? others.size()
                   : static_cast<std::size_t>(limits.chosen_peer_count);
  std::partial_sort(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(peer_count),
                    others.end(), std::greater<>());
  others.resize(peer_count);
  std::vector<instance_id> chosen;
  chosen.reserve(peer_count);
  for (const weighted_instance& other : others)
    chosen.push_back(other.id);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

int64_t RendezvousRank(std::string_view duty,
                       const instance_id& self,
                       const std::vector<instance_id>& instances) {
  const bool is_member =
      std::find(instances.begin(), instances.end(), self) != instances.end();
  if (!is_member)
    return static_cast<int64_t>(instances.size());
  const weighted_instance own{.weight = DutyWeight(duty, self), .id = self};
  int64_t rank = 0;
  for (const instance_id& id : instances) {
    const weighted_instance other{.weight = DutyWeight(duty, id), .id = id};
    if (other > own)
      ++rank;
  }
  return rank;
}

}  // namespace jasminepath::decision
