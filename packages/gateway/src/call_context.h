#ifndef JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_
#define JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_

#include <cstdint>
#include <map>
#include <string>

#include "call_registry.h"
#include "crash_suspects.h"
#include "endpoint_pool.h"
#include "gateway_metrics.h"
#include "jasminepath/decision/admission/retry_budget.h"
#include "jasminepath/gateway/fleet_rate_limiter.h"
#include "jasminepath/gateway/ports.h"
#include "jasminepath/report/event_log.h"
#include "stop_admission.h"
#include "stream_origins.h"
#include "stream_version_finder.h"
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

// Dependencies and state shared by all calls of a node. Owned by the node; used
// on the event loop only.
struct call_context {
  http::event_loop& loop;
  const request_codec& codec;
  report::event_log& log;
  endpoint_pool& endpoints;
  fleet_rate_limiter& limiter;
  retry_budgets& retries;
  wait_queue& queue;
  call_registry& calls;
  crash_suspects& suspects;
  stream_origins& origins;
  stream_version_finder& stream_versions;
  gateway_metrics& metrics;
  // The active configuration; null until the first one has been read.
  site_pointer site;
  stop_admission stop;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CALL_CONTEXT_H_
