#include "jasminepath/replay/replay_runner.h"

#include <algorithm>
#include <array>

#include "simulation.h"

namespace jasminepath::replay {
namespace {

template <typename Policy>
struct policy_name {
  Policy policy;
  std::string_view name;
};

constexpr std::array kPlacementNames = {
    policy_name<placement_policy>{placement_policy::adaptive, "adaptive"},
    policy_name<placement_policy>{placement_policy::fixed, "fixed"},
    policy_name<placement_policy>{placement_policy::break_even, "break_even"},
    policy_name<placement_policy>{placement_policy::least_loaded,
                                  "least_loaded"},
};

constexpr std::array kAdmissionNames = {
    policy_name<admission_policy>{admission_policy::escrow, "escrow"},
    policy_name<admission_policy>{admission_policy::static_split,
                                  "static_split"},
    policy_name<admission_policy>{admission_policy::table_write, "table_write"},
};

template <typename Names>
auto Parse(const Names& names, std::string_view name)
    -> std::optional<decltype(names.front().policy)> {
  for (const auto& entry : names) {
    if (entry.name == name)
      return entry.policy;
  }
  return std::nullopt;
}

template <typename Names, typename Policy>
std::string_view NameOf(const Names& names, Policy policy) {
  return std::find_if(names.begin(), names.end(),
                      [&](const auto& entry) { return entry.policy == policy; })
      ->name;
}

}  // namespace

std::optional<placement_policy> ParsePlacementPolicy(std::string_view name) {
  return Parse(kPlacementNames, name);
}

std::optional<admission_policy> ParseAdmissionPolicy(std::string_view name) {
  return Parse(kAdmissionNames, name);
}

std::string_view ToString(placement_policy policy) {
  return NameOf(kPlacementNames, policy);
}

std::string_view ToString(admission_policy policy) {
  return NameOf(kAdmissionNames, policy);
}

replay_report Replay(const trace& source, const replay_options& options) {
  if (options.admission == admission_policy::escrow)
    return simulation<decision::peer_borrowing>(source, options).Run();
  return simulation<decision::static_split>(source, options).Run();
}

}  // namespace jasminepath::replay
