#include "jasminepath/decision/admission/retry_budget.h"

#include <algorithm>

namespace jasminepath::decision {
namespace {

constexpr int64_t kHundredths = 100;

}  // namespace

retry_budget::retry_budget(int64_t percent, int64_t fleet_reserve)
    : percent_(percent),
      fleet_reserve_(fleet_reserve),
      balance_(fleet_reserve * kHundredths) {}

void retry_budget::SetNodes(int64_t nodes) {
  nodes_ = std::max<int64_t>(nodes, 1);
  balance_ = std::min(balance_, fleet_reserve_ * kHundredths / nodes_);
}

void retry_budget::OnFirstAttempt() {
  const int64_t most = fleet_reserve_ * kHundredths / nodes_;
  balance_ = std::min(balance_ + percent_, std::max(most, kHundredths));
}

bool retry_budget::Take() {
  if (balance_ < kHundredths)
    return false;
  balance_ -= kHundredths;
  return true;
}

}  // namespace jasminepath::decision
