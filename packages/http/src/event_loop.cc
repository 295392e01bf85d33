#include "jasminepath/http/event_loop.h"

namespace jasminepath::http {

void timer::Start(duration delay, std::function<void()> callback) {
  Cancel();
  active_ = std::make_shared<bool>(true);
  timer_.expires_after(
      std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
  timer_.async_wait(
      [active = std::weak_ptr<bool>(active_),
       callback = std::move(callback)](const boost::system::error_code& error) {
        if (!error && active.lock())
          callback();
      });
}

void timer::Cancel() {
  if (!active_)
    return;
  active_.reset();
  timer_.cancel();
}

}  // namespace jasminepath::http
