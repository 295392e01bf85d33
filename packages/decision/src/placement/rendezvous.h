#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Rendezvous hashing: assigns each key to one of the members. All nodes with
// the same members agree on the assignment. When a member leaves, only its own
// keys move.
class rendezvous {
 public:
  void SetMembers(const std::vector<instance_id>& members);
  // Returns the member that the key is assigned to; empty if there are no
  // members.
  const instance_id& Choose(std::string_view key) const;

 private:
  struct member {
    instance_id id;
    uint64_t hash = 0;
  };

  std::vector<member> members_;
  instance_id no_member_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_RENDEZVOUS_H_
