#include "jasminepath/decision/admission/retry_budget.h"

#include <algorithm>

namespace jasminepath::decision {
namespace {

constexpr int64_t kHundredthsPerRetry = 100;

}  // namespace

retry_budget::retry_budget(int64_t percent, int64_t fleet_reserve)
    : percent_(percent),
      fleet_reserve_(fleet_reserve),
      balance_hundredths_(fleet_reserve * kHundredthsPerRetry) {}

void retry_budget::SetNodes(int64_t nodes) {
  nodes_ = std::max<int64_t>(nodes, 1);
  balance_hundredths_ = std::min(balance_hundredths_,
                                 fleet_reserve_ * kHundredthsPerRetry / nodes_);
}

void retry_budget::OnFirstAttempt() {
  const int64_t max_balance = fleet_reserve_ * kHundredthsPerRetry / nodes_;
  balance_hundredths_ = std::min(balance_hundredths_ + percent_,
                                 std::max(max_balance, kHundredthsPerRetry));
}

bool retry_budget::Take() {
  if (balance_hundredths_ < kHundredthsPerRetry)
    return false;
  balance_hundredths_ -= kHundredthsPerRetry;
  return true;
}

}  // namespace jasminepath::decision
