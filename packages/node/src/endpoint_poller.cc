#include "endpoint_poller.h"

#include <utility>

#include "endpoint_address_parser.h"
#include "engine_conversion.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/endpoint/engine_client.h"

namespace jasminepath::node {

endpoint_poller::endpoint_poller(const poll_limits& limits,
                                 std::function<void(node_event)> deliver)
    : limits_(limits), deliver_(std::move(deliver)) {
  for (int64_t shard = 0; shard < limits_.thread_count; ++shard)
    threads_.emplace_back([this, shard] { RunShard(shard); });
}

endpoint_poller::~endpoint_poller() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
}

void endpoint_poller::SetEndpoints(std::vector<polled_endpoint> endpoints) {
  {
    const std::lock_guard lock(mutex_);
    endpoints_ = std::move(endpoints);
  }
  wake_.notify_all();
}

void endpoint_poller::RunShard(int64_t shard) {
  cache_position_map positions;
  do {
    for (const polled_endpoint& target : ShardEndpoints(shard))
      PollEndpoint(target, positions);
  } while (WaitForNextPoll());
}

std::vector<polled_endpoint> endpoint_poller::ShardEndpoints(
    int64_t shard) const {
  const auto count = static_cast<uint64_t>(limits_.thread_count);
  const std::lock_guard lock(mutex_);
  std::vector<polled_endpoint> assigned;
  for (const polled_endpoint& target : endpoints_) {
    if (StableHash(target.id.value()) % count == static_cast<uint64_t>(shard))
      assigned.push_back(target);
  }
  return assigned;
}

void endpoint_poller::PollEndpoint(const polled_endpoint& target,
                                   cache_position_map& positions) {
  const auto address = ParseEndpointAddress(target.address);
  if (!address)
    return;
  const endpoint::engine_client client(*address, limits_.timeout);
  const time_point sent = boot_clock::now();
  const auto status = client.Status();
  if (!status) {
    deliver_(endpoint_unreachable{target.id});
    return;
  }
  const duration age = boot_clock::now() - sent;
  endpoint_polled event{ToDecision(target.id, status.value(), age), {}};
  cache_position& position = positions[target.id];
  if (position.incarnation != status.value().incarnation)
    position = {status.value().incarnation, 0};
  const auto page = client.Events(position.last_sequence);
  if (page && page.value().incarnation == position.incarnation) {
    position.last_sequence = page.value().last;
    event.cache_events = ToDecision(target.id, page.value());
  }
  deliver_(std::move(event));
}

// Returns false if the poller is stopping.
bool endpoint_poller::WaitForNextPoll() {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, limits_.interval);
  return !is_stopping_;
}

}  // namespace jasminepath::node
