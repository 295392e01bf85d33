#ifndef JASMINEPATH_NODE_ENDPOINT_POLLER_H_
#define JASMINEPATH_NODE_ENDPOINT_POLLER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "node_event.h"

namespace jasminepath::node {

// An engine to poll.
struct polled_endpoint {
  endpoint_id id;
  // "ip:port".
  std::string address;

  friend bool operator==(const polled_endpoint&,
                         const polled_endpoint&) = default;
};

// Timing and concurrency of the poller.
struct poll_limits {
  duration interval = Milliseconds(400);
  duration timeout = Milliseconds(800);
  // The engines are divided among this many threads, so that an unresponsive
  // engine delays the polls of few others.
  int64_t thread_count = 4;

  friend bool operator==(const poll_limits&, const poll_limits&) = default;
};

// Polls the status and the cache events of model engines. Calls `deliver` with
// the results on its own threads.
class endpoint_poller {
 public:
  endpoint_poller(const poll_limits& limits,
                  std::function<void(node_event)> deliver);
  endpoint_poller(const endpoint_poller&) = delete;
  endpoint_poller& operator=(const endpoint_poller&) = delete;
  // Waits for the polls in progress, then joins the threads.
  ~endpoint_poller();

  // Replaces the engines to poll. Thread-safe.
  void SetEndpoints(std::vector<polled_endpoint> endpoints);

 private:
  // The position up to which one thread has read an engine's cache events.
  struct cache_position {
    std::string incarnation;
    int64_t last_sequence = 0;
  };
  using cache_position_map = std::map<endpoint_id, cache_position>;

  void RunShard(int64_t shard);
  std::vector<polled_endpoint> ShardEndpoints(int64_t shard) const;
  void PollEndpoint(const polled_endpoint& target,
                    cache_position_map& positions);
  bool WaitForNextPoll();

  const poll_limits limits_;
  const std::function<void(node_event)> deliver_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<polled_endpoint> endpoints_;
  bool is_stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ENDPOINT_POLLER_H_
