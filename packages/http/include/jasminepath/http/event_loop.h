#ifndef JASMINEPATH_HTTP_EVENT_LOOP_H_
#define JASMINEPATH_HTTP_EVENT_LOOP_H_

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::http {

// The event loop of a process: it serves all connections, timers and decisions.
// All callbacks run on the single thread that runs the loop.
using event_loop = boost::asio::io_context;

// Runs `callback` once after `delay`. Destroying or restarting the timer
// cancels the callback.
class timer {
 public:
  explicit timer(event_loop& loop) : timer_(loop) {}

  void Start(duration delay, std::function<void()> callback);
  void Cancel();

 private:
  boost::asio::steady_timer timer_;
  // Replaced at each start, so that a callback that has already expired detects
  // that it is stale.
  std::shared_ptr<bool> active_;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_EVENT_LOOP_H_
