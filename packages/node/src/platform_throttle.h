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
  // With `wait`: when to request the call again.
  time_point retry_at;
};

// Rate limiter and circuit breaker shared by all platform executors of one
// node. The node's rates are the fleet's rates divided by the number of live
// nodes. Thread-safe.
class platform_throttle {
 public:
  platform_throttle(random_engine random, time_point now);

  // Sets the number of nodes among which the fleet's rates are divided.
  void SetNodeCount(int64_t nodes, time_point now);

  // With `allow`, the caller must make the call and report it with
  // OnCallEnded().
  call_permission RequestCall(table_access access, time_point now);

  // `has_answered` is false if the platform did not answer.
  void OnCallEnded(bool has_answered, time_point now);

  bool is_breaker_open() const;

 private:
  platform::call_budget& BudgetOf(table_access access);

  mutable std::mutex mutex_;
  platform::circuit_breaker breaker_;
  platform::call_budget read_budget_;
  platform::call_budget write_budget_;
  int64_t node_count_ = 0;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PLATFORM_THROTTLE_H_
