#ifndef JASMINEPATH_ENDPOINT_CANCELLATION_H_
#define JASMINEPATH_ENDPOINT_CANCELLATION_H_

#include <atomic>

namespace jasminepath::endpoint {

// Allows any thread to end an exchange that another thread runs. Cancellation
// is permanent. The object owns one file descriptor, which wakes the waiting
// thread at once; if none is available, the exchange polls the flag every 20
// ms.
class cancellation {
 public:
  cancellation();
  cancellation(const cancellation&) = delete;
  cancellation& operator=(const cancellation&) = delete;
  ~cancellation();

  // Ends the exchange; safe from any thread and more than once.
  void Cancel();

  bool cancelled() const { return cancelled_.load(std::memory_order_acquire); }

  // A descriptor that becomes readable on cancellation; -1 if none is
  // available.
  int wake_descriptor() const { return descriptor_; }

 private:
  std::atomic<bool> cancelled_{false};
  int descriptor_;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_CANCELLATION_H_
