#ifndef JASMINEPATH_ENDPOINT_CANCELLATION_H_
#define JASMINEPATH_ENDPOINT_CANCELLATION_H_

#include <atomic>

namespace jasminepath::endpoint {

// Lets any thread end an exchange that another thread runs. The flag stays set
// once set. Holds one file descriptor, which wakes the waiting thread at once;
// where none can be had the exchange notices the flag within 20 ms.
class cancellation {
 public:
  cancellation();
  cancellation(const cancellation&) = delete;
  cancellation& operator=(const cancellation&) = delete;
  ~cancellation();

  // Ends the exchange; safe from any thread and more than once.
  void Cancel();

  bool cancelled() const { return cancelled_.load(std::memory_order_acquire); }

  // Becomes readable on cancellation; -1 if there is none.
  int wake_descriptor() const { return descriptor_; }

 private:
  std::atomic<bool> cancelled_{false};
  int descriptor_;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_CANCELLATION_H_
