#ifndef JASMINEPATH_NODE_PLATFORM_THROTTLE_H_
#define JASMINEPATH_NODE_PLATFORM_THROTTLE_H_

#include <cstdint>
#include <mutex>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/platform/call_budget.h"
#include "jasminepath/platform/circuit_breaker.h"

namespace jasminepath::node {

enum class table_access { read, write };

// Whether a call to the platform may be made now.
struct call_permission {
  enum class verdict { allow, wait, refuse };
  verdict outcome = verdict::allow;
  // With `wait`: when to ask again.
  time_point retry_at;
};

// What all platform duties of one node share: one circuit breaker, and the
// node's part of the table's rates, which is the whole divided by the number
// of live nodes. Thread-safe.
class platform_throttle {
 public:
  platform_throttle(random_engine random, time_point now);

  // Divides the platform's rates among this many nodes.
  void SetNodeCount(int64_t nodes, time_point now);

  // With `go` the call must be made and reported by OnEnded.
  call_permission RequestCall(table_access access, time_point now);

  // `reached` is false when the platform gave no answer.
  void OnCallEnded(bool has_answered, time_point now);

  bool is_breaker_open() const;

 private:
  platform::call_budget& BudgetOf(table_access access);

  mutable std::mutex mutex_;
  platform::circuit_breaker breaker_;
  platform::call_budget reads_;
  platform::call_budget writes_;
  int64_t node_count_ = 0;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PLATFORM_THROTTLE_H_
