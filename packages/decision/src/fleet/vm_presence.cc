#include "jasminepath/decision/fleet/vm_presence.h"

#include <utility>

namespace jasminepath::decision {
namespace {

constexpr int64_t kMinListsWithoutVm = 3;

}  // namespace

vm_presence::vm_presence(duration absence_confirmation)
    : absence_confirmation_(absence_confirmation) {}

void vm_presence::OnList(const std::vector<fleet_vm>& vms,
                         const std::vector<vm_id>& watched,
                         time_point now) {
  listed_.clear();
  for (const fleet_vm& vm : vms)
    listed_.insert(vm.id);
  std::map<vm_id, absence> absences;
  for (const vm_id& vm : watched) {
    if (listed_.contains(vm))
      continue;
    const auto known = absences_.find(vm);
    absence current = known == absences_.end()
                          ? absence{.since = now, .lists = 0}
                          : known->second;
    ++current.lists;
    absences.emplace(vm, current);
  }
  absences_ = std::move(absences);
}

bool vm_presence::IsListed(const vm_id& vm) const {
  return listed_.contains(vm);
}

bool vm_presence::IsGone(const vm_id& vm, time_point now) const {
  const auto found = absences_.find(vm);
  if (found == absences_.end())
    return false;
  return found->second.lists >= kMinListsWithoutVm &&
         now - found->second.since >= absence_confirmation_;
}

}  // namespace jasminepath::decision
