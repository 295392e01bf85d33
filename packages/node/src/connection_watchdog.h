#ifndef JASMINEPATH_NODE_CONNECTION_WATCHDOG_H_
#define JASMINEPATH_NODE_CONNECTION_WATCHDOG_H_

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::node {

// Tracks the open connections by file descriptor, with the deadline for the
// next request head of each, and shuts down connections that miss it.
// Thread-safe. A connection is registered exactly as long as its descriptor is
// open, so that a reused descriptor is never shut down by mistake.
class connection_watchdog {
 public:
  // `shut_down` ends the connection of a descriptor; it is called with the lock
  // held.
  explicit connection_watchdog(std::function<void(int)> shut_down)
      : shut_down_(std::move(shut_down)) {}

  // Sets the deadline for the next request head of the connection.
  void OnWaiting(int descriptor, time_point deadline) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = deadline;
  }

  // Clears the deadline: a complete request head has arrived.
  void OnRequest(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = std::nullopt;
  }

  // Removes the connection before its descriptor is closed.
  void OnClosed(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_.erase(descriptor);
  }

  // Shuts down each connection past its deadline, once. Returns their number.
  std::size_t ShutDownOverdue(time_point now) {
    return ShutDownIf([now](const auto& deadline) {
      return deadline.has_value() && *deadline <= now;
    });
  }

  // Shuts down the connections that wait for a request.
  std::size_t ShutDownIdle() {
    return ShutDownIf(
        [](const auto& deadline) { return deadline.has_value(); });
  }

  // Shuts down every connection.
  std::size_t ShutDownAll() {
    return ShutDownIf([](const auto&) { return true; });
  }

  // Number of open connections.
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return connections_.size();
  }

 private:
  template <typename Predicate>
  std::size_t ShutDownIf(Predicate predicate) {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (auto& [descriptor, deadline] : connections_) {
      if (!predicate(deadline))
        continue;
      shut_down_(descriptor);
      deadline = std::nullopt;
      ++count;
    }
    return count;
  }

  const std::function<void(int)> shut_down_;
  mutable std::mutex mutex_;
  std::map<int, std::optional<time_point>> connections_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CONNECTION_WATCHDOG_H_
