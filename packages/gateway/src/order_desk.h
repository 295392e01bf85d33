#ifndef JASMINEPATH_GATEWAY_SRC_ORDER_DESK_H_
#define JASMINEPATH_GATEWAY_SRC_ORDER_DESK_H_

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

// This node's part in placement: takes and renews the lease, and while it holds
// it, carries the planners' orders to the engines. Runs on the loop.
class order_desk {
 public:
  order_desk(http::event_loop& loop,
             const gateway_settings& settings,
             uint64_t incarnation,
             duration candidate_delay,
             store_client& store,
             const engine_codec& codec,
             endpoint_pool& endpoints,
             report::event_log& log);

  // Notices for this node and its peers.
  void OnNotice(std::function<void(const load_notice& notice)> callback) {
    on_notice_ = std::move(callback);
  }

  void SetSite(const site& value);
  void OnEndpoints(const endpoint_changes& changes, time_point now);
  // A digest of a peer or of this node itself.
  void OnDigest(const peer_digest& digest, time_point now);
  // What the callers of a node of another zone wait for.
  void OnWants(const peer_digest& digest, time_point now);
  void ForgetPeer(const vm_id& node);

  // Moves the lease on and gives orders; called often.
  void Tick(time_point now);
  // The process ends: gives the lease up.
  void BeginStop(time_point now);

  // Whether this node may become the one that places models.
  void SetCandidate(bool candidate, time_point now);
  bool holds(time_point now) const { return lease_.Holds(now); }
  const placement_lease& lease() const { return lease_; }
  int64_t orders() const { return orders_; }

 private:
  // Nodes that cannot come to place models are spared the work.
  bool FollowsEndpoints(time_point now) const {
    return candidate_ || lease_.Holds(now);
  }
  // Shows the planners the whole list.
  void ShowEndpoints(time_point now);
  void StepLease(time_point now);
  void OnLeaseRead(const store_answer& answer);
  void OnLeaseWritten(const store_answer& answer);
  void NoteHolder(time_point now);
  void GiveOrders(time_point now);
  void Give(engine_order order);
  void OnOrderAnswer(const engine_order& order, order_verdict verdict);
  void Ask(const endpoint_id& engine);
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
  // Calls to engines under way.
  std::list<std::unique_ptr<http::whole_call>> calls_;
  time_point next_plan_at_{};
  bool candidate_ = false;
  bool held_before_ = false;
  vm_id holder_before_;
  int64_t orders_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ORDER_DESK_H_
