#include "call_context.h"

#include <cmath>

namespace jasminepath::gateway {
namespace {

// Share of the site's retry limit that the nodes use, because they count
// retries independently.
constexpr double kNodeBudgetShare = 0.75;

}  // namespace

retry_budgets::retry_budgets(double share, int64_t reserve)
    : percent_(
          static_cast<int64_t>(std::floor(share * 100 * kNodeBudgetShare))),
      reserve_(static_cast<int64_t>(
          std::floor(static_cast<double>(reserve) * kNodeBudgetShare))) {}

void retry_budgets::SetNodes(int64_t nodes) {
  if (nodes == nodes_)
    return;
  nodes_ = nodes;
  for (auto& [service, budget] : budgets_)
    budget.SetNodes(nodes);
}

decision::retry_budget& retry_budgets::For(const service_id& service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end())
    return found->second;
  auto& budget =
      budgets_.emplace(service, decision::retry_budget(percent_, reserve_))
          .first->second;
  budget.SetNodes(nodes_);
  return budget;
}

}  // namespace jasminepath::gateway
