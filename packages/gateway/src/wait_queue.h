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

// Calls of this node that wait for an endpoint, the most urgent first, and the
// demand for models that they show. Calls leave it by themselves before they
// end. Runs on the loop.
class wait_queue {
 public:
  // A call for a model has come, whether or not it has to wait.
  void CountArrival(const model_id& model,
                    const adapter_id& adapter,
                    time_point now);

  // `for_load` says that the call waits for its model or adapter, and not only
  // for room at an endpoint.
  void Add(call_session& call,
           int64_t priority,
           time_point deadline,
           const model_id& model,
           const adapter_id& adapter,
           bool for_load);
  void Remove(call_session& call);

  // Lets every waiting call look for an endpoint again.
  void WakeAll();

  // An estimate of when the model will be ready somewhere.
  void SetReadyAt(const model_id& model, time_point ready_at);
  time_point ReadyAt(const model_id& model) const;

  // The demand of the last seconds, for the digest.
  std::vector<model_use> Demand(time_point now) const;
  std::size_t size() const { return waiting_.size(); }
  // Whether a call began to wait for a load since the last call.
  bool TakeNewWant() { return std::exchange(new_want_, false); }

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
    time_point last{};
  };

  std::map<order_key, waiter> waiting_;
  std::map<const call_session*, order_key> keys_;
  std::map<model_key, use> uses_;
  std::map<model_id, time_point> ready_at_;
  bool new_want_ = false;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_WAIT_QUEUE_H_
