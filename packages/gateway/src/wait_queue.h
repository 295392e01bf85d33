#ifndef JASMINEPATH_GATEWAY_SRC_WAIT_QUEUE_H_
#define JASMINEPATH_GATEWAY_SRC_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/gateway/peer_digest.h"

namespace jasminepath::gateway {

class call_session;

// This node's calls that wait for an endpoint, most urgent first, and the
// resulting demand for models. A call must remove itself before it ends. Runs
// on the event loop.
class wait_queue {
 public:
  // Counts a call for a model, whether or not it has to wait.
  void CountArrival(const model_id& model,
                    const adapter_id& adapter,
                    time_point now);

  // `for_load` is true if the call waits for a load of its model or adapter,
  // and false if it waits for capacity at an endpoint.
  void Add(call_session& call,
           int64_t priority,
           time_point deadline,
           const model_id& model,
           const adapter_id& adapter,
           bool for_load);
  void Remove(call_session& call);

  // Makes every waiting call retry its endpoint selection.
  void WakeAll();

  // Estimated time when the model becomes ready at some endpoint.
  void SetReadyAt(const model_id& model, time_point ready_at);
  time_point ReadyAt(const model_id& model) const;

  // Recent demand, for the digest.
  std::vector<model_usage> Demand(time_point now) const;
  std::size_t size() const { return waiting_.size(); }
  // Whether a call has started to wait for a load since the previous call of
  // this function.
  bool TakeNewLoadDemand() {
    return std::exchange(has_new_load_demand_, false);
  }

 private:
  using model_key = std::pair<model_id, adapter_id>;
  struct order_key {
    int64_t priority;
    time_point deadline;
    const call_session* call;
    friend auto operator<=>(const order_key&, const order_key&) = default;
  };
  struct waiter {
    call_session* call;
    model_key key;
    bool for_load;
  };
  struct use {
    int64_t arrivals = 0;
    int64_t waiting = 0;
    time_point last_arrived_at{};
  };

  std::map<order_key, waiter> waiting_;
  std::map<const call_session*, order_key> keys_;
  std::map<model_key, use> uses_;
  std::map<model_id, time_point> ready_at_;
  bool has_new_load_demand_ = false;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_WAIT_QUEUE_H_
