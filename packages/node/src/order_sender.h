#ifndef JASMINEPATH_NODE_ORDER_SENDER_H_
#define JASMINEPATH_NODE_ORDER_SENDER_H_

#include <functional>
#include <thread>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/decision/placement/placement_action.h"

namespace jasminepath::node {

// A thread that sends orders to engines, one after the other, each at most
// once. Outcomes go to `deliver` on the duty's thread.
class order_sender {
 public:
  // Room for `capacity` orders; an engine has `timeout` to answer.
  order_sender(std::size_t capacity,
               duration timeout,
               std::function<void(decision::order_outcome)> deliver);
  order_sender(const order_sender&) = delete;
  order_sender& operator=(const order_sender&) = delete;
  // Sends the orders that wait, then ends the thread.
  ~order_sender();

  // False when the ring is full; the order was not sent then.
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
