#ifndef JASMINEPATH_DECISION_FLEET_INSTANCE_RECORD_H_
#define JASMINEPATH_DECISION_FLEET_INSTANCE_RECORD_H_

#include <cstdint>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/versioned_row.h"

namespace jasminepath::decision {

// One run of a node process, as registered in the table. Addresses have the
// form "ip:port".
struct instance_record {
  instance_id id;
  vm_id vm;
  zone_id zone;
  std::string mesh_address;
  std::string caller_address;
  std::string admin_address;
  // The version of the table that the instance read before it registered. Of
  // two instances on one VM, the one with the higher number is the successor.
  int64_t started = 0;
  // Whether the VM has appeared on the platform's list since the registration.
  bool vm_listed = false;

  friend bool operator==(const instance_record&,
                         const instance_record&) = default;
};

// The row of an instance. The key is the id of the instance, without a prefix.
using instance_row = versioned_row<instance_record>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_INSTANCE_RECORD_H_
