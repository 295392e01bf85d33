#include "order_sender.h"

#include <utility>

#include "endpoint_address_parser.h"
#include "engine_conversion.h"
#include "jasminepath/endpoint/engine_client.h"

namespace jasminepath::node {
namespace {

constexpr duration kQueuePollInterval = Milliseconds(500);

}  // namespace

order_sender::order_sender(std::size_t capacity,
                           duration timeout,
                           std::function<void(decision::order_outcome)> deliver)
    : timeout_(timeout),
      deliver_(std::move(deliver)),
      orders_(capacity),
      thread_([this] { Run(); }) {}

order_sender::~order_sender() {
  orders_.Close();
  thread_.join();
}

bool order_sender::TrySubmit(decision::send_order order) {
  return orders_.TryPush(order);
}

void order_sender::Run() {
  while (true) {
    const auto order = orders_.PopWithin(kQueuePollInterval);
    if (order) {
      deliver_(Send(*order));
      continue;
    }
    if (orders_.closed())
      return;
  }
}

decision::order_outcome order_sender::Send(
    const decision::send_order& order) const {
  const auto address = ParseEndpointAddress(order.address);
  const bool expired = boot_clock::now() >= order.expires;
  if (!address || expired)
    return {order.order.id, decision::order_end::failed};
  const endpoint::engine_client client(*address, timeout_);
  if (!order.incarnation.empty()) {
    const auto status = client.Status();
    if (!status || status.value().incarnation != order.incarnation)
      return {order.order.id, decision::order_end::failed};
  }
  return {order.order.id, ToDecision(client.SendOrder(ToEngine(order.order)))};
}

}  // namespace jasminepath::node
