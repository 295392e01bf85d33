#ifndef JASMINEPATH_BASE_BOUNDED_RING_H_
#define JASMINEPATH_BASE_BOUNDED_RING_H_

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "jasminepath/base/boot_time.h"

namespace jasminepath {

// A bounded queue with any number of producers and one consumer thread. A push
// never blocks: if the queue is full, it fails and the item stays with the
// caller, so that no item is lost. The consumer sleeps only while the queue is
// empty.
template <typename Item>
class bounded_ring {
 public:
  // Creates a queue for at most `capacity` items.
  explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}
  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;
  ~bounded_ring() {
    while (TryPop()) {
    }
  }

  // Moves `item` into the queue and returns true. If the queue is full or
  // closed, returns false and leaves `item` unchanged.
  bool TryPush(Item& item) {
    if (closed_.load(std::memory_order_acquire))
      return false;
    auto boxed = std::make_unique<Item>(std::move(item));
    if (!queue_.bounded_push(boxed.get())) {
      item = std::move(*boxed);
      return false;
    }
    boxed.release();
    WakeConsumer();
    return true;
  }
  bool TryPush(Item&& item) { return TryPush(item); }

  // Removes and returns the oldest item, or returns nothing if the queue is
  // empty.
  std::optional<Item> TryPop() {
    Item* raw = nullptr;
    if (!queue_.pop(raw))
      return std::nullopt;
    std::unique_ptr<Item> boxed(raw);
    return std::optional<Item>(std::move(*boxed));
  }

  // Waits up to `timeout` for an item. Returns nothing on timeout, or if the
  // queue is closed and empty.
  std::optional<Item> PopWithin(duration timeout) {
    if (auto item = TryPop())
      return item;
    std::unique_lock lock(mutex_);
    is_consumer_sleeping_.store(true);
    wake_.wait_for(lock, timeout,
                   [this] { return !queue_.empty() || closed_.load(); });
    is_consumer_sleeping_.store(false);
    lock.unlock();
    return TryPop();
  }

  // Rejects further items. Items already in the queue can still be removed.
  void Close() {
    closed_.store(true, std::memory_order_release);
    const std::lock_guard lock(mutex_);
    wake_.notify_all();
  }

  bool closed() const { return closed_.load(std::memory_order_acquire); }

 private:
  void WakeConsumer() {
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (!is_consumer_sleeping_.load())
      return;
    const std::lock_guard lock(mutex_);
    wake_.notify_one();
  }

  boost::lockfree::queue<Item*> queue_;
  std::atomic<bool> closed_{false};
  std::atomic<bool> is_consumer_sleeping_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
};

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_BOUNDED_RING_H_
