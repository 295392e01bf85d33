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

// Knows the open connections of callers, by file descriptor, and until when
// each may take to send its next request head. Cuts those that are overdue.
// Thread-safe. A connection is registered for as long as its descriptor is
// open, so that a descriptor that was reused is never cut in its place.
class connection_watchdog {
 public:
  // `cut` ends the connection of a descriptor; it is called under the lock.
  explicit connection_watchdog(std::function<void(int)> shut_down)
      : shut_down_(std::move(shut_down)) {}

  // The connection waits for a request head until `deadline`.
  void OnWaiting(int descriptor, time_point deadline) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = deadline;
  }

  // A whole request head has come.
  void OnRequest(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = std::nullopt;
  }

  // The descriptor is about to be closed.
  void OnClosed(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_.erase(descriptor);
  }

  // Ends each connection whose head is overdue, once; returns their number.
  std::size_t ShutDownOverdue(time_point now) {
    return ShutDownIf([now](const auto& deadline) {
      return deadline.has_value() && *deadline <= now;
    });
  }

  // Ends the connections that wait for a request.
  std::size_t ShutDownIdle() {
    return ShutDownIf(
        [](const auto& deadline) { return deadline.has_value(); });
  }

  // Ends every connection.
  std::size_t ShutDownAll() {
    return ShutDownIf([](const auto&) { return true; });
  }

  // Connections open now.
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
