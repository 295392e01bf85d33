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
  // Acts on the connection of a descriptor; called with the lock held.
  using descriptor_action = std::function<void(int)>;

  // `shut_down` ends a connection.
  explicit connection_watchdog(descriptor_action shut_down)
      : shut_down_(std::move(shut_down)) {}

  // The connection is idle. Sets the deadline for its next request head.
  void OnWaiting(int descriptor, time_point deadline) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = {deadline, true};
    if (end_idle_)
      end_idle_(descriptor);
  }

  // A request head has begun to arrive.
  void OnArriving(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor].is_idle = false;
  }

  // Clears the deadline: a complete request head has arrived.
  void OnRequest(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = {};
  }

  // Removes the connection before its descriptor is closed.
  void OnClosed(int descriptor) {
    const std::lock_guard lock(mutex_);
    connections_.erase(descriptor);
  }

  // Shuts down each connection past its deadline, once. Returns their number.
  std::size_t ShutDownOverdue(time_point now) {
    return ShutDownIf([now](const connection& value) {
      return value.deadline.has_value() && *value.deadline <= now;
    });
  }

  // Calls `end_idle` on the idle connections, and from then on on each one that
  // becomes idle.
  void EndIdle(descriptor_action end_idle) {
    const std::lock_guard lock(mutex_);
    end_idle_ = std::move(end_idle);
    for (const auto& [descriptor, value] : connections_) {
      if (value.is_idle)
        end_idle_(descriptor);
    }
  }

  // Shuts down every connection.
  std::size_t ShutDownAll() {
    return ShutDownIf([](const connection&) { return true; });
  }

  // Number of open connections.
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return connections_.size();
  }

 private:
  struct connection {
    std::optional<time_point> deadline;
    bool is_idle = false;

    friend bool operator==(const connection&, const connection&) = default;
  };

  template <typename Predicate>
  std::size_t ShutDownIf(Predicate predicate) {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (auto& [descriptor, value] : connections_) {
      if (!predicate(value))
        continue;
      shut_down_(descriptor);
      value.deadline = std::nullopt;
      ++count;
    }
    return count;
  }

  const descriptor_action shut_down_;
  mutable std::mutex mutex_;
  descriptor_action end_idle_;
  std::map<int, connection> connections_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CONNECTION_WATCHDOG_H_
