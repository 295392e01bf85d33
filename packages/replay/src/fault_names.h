#ifndef JASMINEPATH_REPLAY_FAULT_NAMES_H_
#define JASMINEPATH_REPLAY_FAULT_NAMES_H_

#include <array>
#include <string_view>

#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// A kind of fault and its name in traces.
struct fault_name {
  fault_kind kind;
  std::string_view name;
};

inline constexpr std::array kFaultNames = {
    fault_name{fault_kind::node_killed, "node_killed"},
    fault_name{fault_kind::node_paused, "node_paused"},
    fault_name{fault_kind::vm_leaving, "vm_leaving"},
    fault_name{fault_kind::vm_reclaimed, "vm_reclaimed"},
    fault_name{fault_kind::endpoint_died, "endpoint_died"},
    fault_name{fault_kind::store_slow, "store_slow"},
    fault_name{fault_kind::platform_down, "platform_down"},
    fault_name{fault_kind::answers_lost, "answers_lost"},
    fault_name{fault_kind::poison, "poison"},
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_FAULT_NAMES_H_
