#ifndef JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_
#define JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_

#include <cstdint>
#include <map>
#include <string>

#include "crash_suspects.h"
#include "endpoint_pool.h"
#include "gateway_metrics.h"
#include "jasminepath/decision/admission/retry_budget.h"
#include "jasminepath/gateway/fleet_rate_limiter.h"
#include "jasminepath/gateway/ports.h"
#include "jasminepath/report/event_log.h"
#include "wait_queue.h"

namespace jasminepath::gateway {

// The retry budgets of a node, one for each service.
class retry_budgets {
 public:
  retry_budgets(double share, int64_t reserve);

  void SetNodes(int64_t nodes);
  decision::retry_budget& For(const service_id& service);

 private:
  int64_t percent_;
  int64_t reserve_;
  int64_t nodes_ = 1;
  std::map<service_id, decision::retry_budget> budgets_;
};

// What the calls of a node share. Owned by the node; used on the loop only.
struct call_context {
  http::event_loop& loop;
  const request_codec& codec;
  report::event_log& log;
  endpoint_pool& endpoints;
  fleet_rate_limiter& limiter;
  retry_budgets& retries;
  wait_queue& queue;
  crash_suspects& suspects;
  gateway_metrics& metrics;
  // The configuration in force; null before the first one has come.
  site_pointer site;
  // When calls have to be answered because the process ends, if it does.
  time_point ends_at = time_point::max();
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_
