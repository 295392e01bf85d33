#include "platform_throttle.h"

#include <algorithm>
#include <utility>

namespace jasminepath::node {
namespace {

// The part of the table's capacity that all nodes of the fleet share.
constexpr double kFleetReadsPerSecond = 1400;
constexpr double kFleetWritesPerSecond = 235;
constexpr double kReadBurstCalls = 48;
constexpr double kWriteBurstCalls = 32;

platform::call_rate RateOf(double fleet_rate, double burst, int64_t nodes) {
  return platform::call_rate{fleet_rate / static_cast<double>(nodes), burst};
}

}  // namespace

platform_throttle::platform_throttle(random_engine random, time_point now)
    : breaker_(platform::circuit_breaker_limits{}, random),
      read_budget_(platform::kTableReadRate, now),
      write_budget_(platform::kTableWriteRate, now) {}

void platform_throttle::SetNodeCount(int64_t nodes, time_point now) {
  const std::lock_guard lock(mutex_);
  const int64_t count = std::max<int64_t>(1, nodes);
  if (count == node_count_)
    return;
  node_count_ = count;
  read_budget_ = platform::call_budget(
      RateOf(kFleetReadsPerSecond, kReadBurstCalls, count), now);
  write_budget_ = platform::call_budget(
      RateOf(kFleetWritesPerSecond, kWriteBurstCalls, count), now);
}

call_permission platform_throttle::RequestCall(table_access access,
                                               time_point now) {
  using verdict = call_permission::verdict;
  const std::lock_guard lock(mutex_);
  platform::call_budget& budget = BudgetOf(access);
  const time_point next_call_at = budget.NextCallAt(now);
  if (next_call_at > now)
    return {verdict::wait, next_call_at};
  if (!breaker_.TryAcquire(now))
    return {verdict::refuse, {}};
  budget.TryTake(now);
  return {verdict::allow, {}};
}

void platform_throttle::OnCallEnded(bool has_answered, time_point now) {
  const std::lock_guard lock(mutex_);
  if (has_answered)
    breaker_.OnSuccess();
  else
    breaker_.OnFailure(now);
}

bool platform_throttle::is_breaker_open() const {
  const std::lock_guard lock(mutex_);
  return breaker_.is_open();
}

platform::call_budget& platform_throttle::BudgetOf(table_access access) {
  return access == table_access::read ? read_budget_ : write_budget_;
}

}  // namespace jasminepath::node
