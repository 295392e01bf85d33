#ifndef JASMINEPATH_GATEWAY_SRC_ORDER_DISPATCHER_H_
#define JASMINEPATH_GATEWAY_SRC_ORDER_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "endpoint_pool.h"
#include "jasminepath/gateway/gateway_settings.h"
#include "jasminepath/gateway/placement_lease.h"
#include "jasminepath/gateway/placement_planner.h"
#include "store_client.h"

namespace jasminepath::gateway {

// Maintains this node's placement lease and, while the node holds it, sends the
// planners' orders to the engines. Runs on the event loop.
class order_dispatcher {
 public:
  order_dispatcher(http::event_loop& loop,
                   const gateway_settings& settings,
                   uint64_t incarnation,
                   duration candidate_delay,
                   store_client& store,
                   const engine_codec& codec,
                   endpoint_pool& endpoints,
                   report::event_log& log);

  // Sets the receiver of the notices for this node and its peers.
  void OnNotice(std::function<void(const load_notice& notice)> callback) {
    on_notice_ = std::move(callback);
  }

  void SetSite(const site& value);
  void OnEndpoints(const endpoint_changes& changes, time_point now);
  // Takes a digest of a peer or of this node.
  void OnDigest(const peer_digest& digest, time_point now);
  // Takes the waiting requests of a node in another zone.
  void OnUrgentDemand(const peer_digest& digest, time_point now);
  void ForgetPeer(const vm_id& node);

  // Advances the lease and sends orders. Called often.
  void Tick(time_point now);
  // Releases the lease because the process is about to exit.
  void BeginStop(time_point now);

  // The store has come back from an older copy.
  void OnStoreEra(store_era era, time_point now) {
    lease_.OnStoreEra(era, now);
  }
  // Sets whether this node may take the placement lease.
  void SetCandidate(bool candidate, time_point now);
  bool IsHolder(time_point now) const { return lease_.IsHolder(now); }
  const placement_lease& lease() const { return lease_; }
  // Number of orders sent to engines since the start.
  int64_t sent_orders() const { return sent_orders_; }

 private:
  // Only holders and candidates pass changes of the endpoint list to the
  // planners; other nodes save the CPU time.
  bool ShouldFollowEndpoints(time_point now) const {
    return candidate_ || lease_.IsHolder(now);
  }
  // Passes the complete endpoint list to the planners.
  void UpdatePlanners(time_point now);
  void StepLease(time_point now);
  void OnLeaseRead(const store_answer& answer);
  void OnLeaseWritten(const store_answer& answer);
  void UpdateHolder(time_point now);
  void SendOrders(time_point now);
  void SendOrder(engine_order order);
  void OnOrderAnswer(const engine_order& order, order_verdict verdict);
  void RequestReport(const endpoint_id& engine);
  placement_planner* PlannerOf(const endpoint_id& engine);
  void Call(pooled_endpoint& endpoint,
            const http::request& message,
            std::function<void(const http::response*)> done);

  http::event_loop& loop_;
  const gateway_settings& settings_;
  store_client& store_;
  const engine_codec& codec_;
  endpoint_pool& endpoints_;
  report::event_log& log_;
  placement_lease lease_;
  store_client::handle lease_call_;
  std::map<service_id, placement_planner> planners_;
  std::function<void(const load_notice&)> on_notice_;
  // Calls to engines in progress.
  std::list<std::unique_ptr<http::buffered_call>> calls_;
  time_point next_plan_at_{};
  bool candidate_ = false;
  bool was_holder_ = false;
  vm_id last_holder_;
  int64_t sent_orders_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ORDER_DISPATCHER_H_
