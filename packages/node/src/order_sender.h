#ifndef JASMINEPATH_NODE_ORDER_SENDER_H_
#define JASMINEPATH_NODE_ORDER_SENDER_H_

#include <functional>
#include <thread>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/decision/placement/placement_action.h"

namespace jasminepath::node {

// Sends orders to engines on its own thread, one after the other, each at most
// once. Calls `deliver` with each outcome on that thread.
class order_sender {
 public:
  // Queues up to `capacity` orders. An engine must answer within `timeout`.
  order_sender(std::size_t capacity,
               duration timeout,
               std::function<void(decision::order_outcome)> deliver);
  order_sender(const order_sender&) = delete;
  order_sender& operator=(const order_sender&) = delete;
  // Sends the queued orders, then joins the thread.
  ~order_sender();

  // Returns false if the queue is full; the order is not sent in that case.
  bool TrySubmit(decision::send_order order);

 private:
  void Run();
  decision::order_outcome Send(const decision::send_order& order) const;

  const duration timeout_;
  const std::function<void(decision::order_outcome)> deliver_;
  bounded_ring<decision::send_order> orders_;
  std::thread thread_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ORDER_SENDER_H_
