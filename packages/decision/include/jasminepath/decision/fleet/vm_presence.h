#ifndef JASMINEPATH_DECISION_FLEET_VM_PRESENCE_H_
#define JASMINEPATH_DECISION_FLEET_VM_PRESENCE_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/fleet_vm.h"

namespace jasminepath::decision {

// Determines from successive VM lists whether a VM is gone. Because the list
// lags and an older state may reappear, a VM counts as gone only if it is
// missing from several consecutive lists and for at least the confirmation
// time.
class vm_presence {
 public:
  explicit vm_presence(duration absence_confirmation);

  // Applies a VM list. `watched` are the VMs whose absence is tracked.
  void OnList(const std::vector<fleet_vm>& vms,
              const std::vector<vm_id>& watched,
              time_point now);

  // Whether the latest list contains the VM.
  bool IsListed(const vm_id& vm) const;
  bool IsGone(const vm_id& vm, time_point now) const;

 private:
  // The time of the first of the consecutive lists without the VM, and their
  // number.
  struct absence {
    time_point since;
    int64_t lists = 0;

    friend bool operator==(const absence&, const absence&) = default;
  };

  duration absence_confirmation_;
  std::set<vm_id> listed_;
  std::map<vm_id, absence> absences_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_VM_PRESENCE_H_
