#ifndef JASMINEPATH_DECISION_FLEET_FLEET_VM_H_
#define JASMINEPATH_DECISION_FLEET_FLEET_VM_H_

#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// One entry of the platform's VM list. The list lags behind the actual state.
struct fleet_vm {
  vm_id id;
  bool leaving = false;

  friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_VM_H_
