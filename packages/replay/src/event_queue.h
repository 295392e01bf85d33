#ifndef JASMINEPATH_REPLAY_EVENT_QUEUE_H_
#define JASMINEPATH_REPLAY_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::replay {

// Scheduled events in virtual time. Events with the same time run in the order
// in which they were added.
class event_queue {
 public:
  using handler = std::function<void()>;

  explicit event_queue(time_point start) : now_(start) {}

  time_point now() const { return now_; }

  // Schedules the handler for `when`, or for now if that has passed.
  void At(time_point when, handler run) {
    events_.push(event{std::max(when, now_), ++event_count_, std::move(run)});
  }
  void After(duration wait, handler run) { At(now_ + wait, std::move(run)); }

  // Runs the next event and sets the time to its time. False if there is none
  // up to `last`.
  bool RunNext(time_point last) {
    if (events_.empty() || events_.top().when > last)
      return false;
    event next = std::move(const_cast<event&>(events_.top()));
    events_.pop();
    now_ = next.when;
    next.run();
    return true;
  }

 private:
  struct event {
    time_point when;
    int64_t sequence = 0;
    handler run;

    // Reversed, because priority_queue has the greatest element on top.
    friend bool operator<(const event& a, const event& b) {
      return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
    }
  };

  time_point now_;
  int64_t event_count_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_EVENT_QUEUE_H_
