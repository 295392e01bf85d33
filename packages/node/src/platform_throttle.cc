#include "platform_throttle.h"

#include <algorithm>
#include <utility>

namespace jasminepath::node {
namespace {

// The parts of the table's capacity that the whole fleet may use together.
constexpr double kFleetReadsPerSecond = 1400;
constexpr double kFleetWritesPerSecond = 235;
constexpr double kReadBurst = 48;
constexpr double kWriteBurst = 32;

platform::call_rate RateOf(double whole, double burst, int64_t nodes) {
  return platform::call_rate{whole / static_cast<double>(nodes), burst};
}

}  // namespace

platform_throttle::platform_throttle(random_engine random, time_point now)
    : breaker_(platform::circuit_breaker_limits{}, random),
      reads_(platform::kTableReadRate, now),
      writes_(platform::kTableWriteRate, now) {}

void platform_throttle::SetNodeCount(int64_t nodes, time_point now) {
  const std::lock_guard lock(mutex_);
  const int64_t count = std::max<int64_t>(1, nodes);
  if (count == nodes_)
    return;
  nodes_ = count;
  reads_ = platform::call_budget(
      RateOf(kFleetReadsPerSecond, kReadBurst, count), now);
  writes_ = platform::call_budget(
      RateOf(kFleetWritesPerSecond, kWriteBurst, count), now);
}

throttle_answer platform_throttle::Ask(table_access access, time_point now) {
  using verdict = throttle_answer::verdict;
  const std::lock_guard lock(mutex_);
  platform::call_budget& budget = BudgetOf(access);
  const time_point next = budget.NextCallAt(now);
  if (next > now)
    return {verdict::wait, next};
  if (!breaker_.TryAcquire(now))
    return {verdict::refuse, {}};
  budget.TryTake(now);
  return {verdict::go, {}};
}

void platform_throttle::OnEnded(bool reached, time_point now) {
  const std::lock_guard lock(mutex_);
  if (reached)
    breaker_.OnSuccess();
  else
    breaker_.OnFailure(now);
}

bool platform_throttle::breaker_open() const {
  const std::lock_guard lock(mutex_);
  return breaker_.open();
}

platform::call_budget& platform_throttle::BudgetOf(table_access access) {
  return access == table_access::read ? reads_ : writes_;
}

}  // namespace jasminepath::node
