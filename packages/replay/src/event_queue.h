#ifndef JASMINEPATH_REPLAY_EVENT_QUEUE_H_
#define JASMINEPATH_REPLAY_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::replay {

// Virtual time. Events of one time run in the order in which they were added.
class event_queue {
 public:
  using handler = std::function<void()>;

  explicit event_queue(time_point start) : now_(start) {}

  time_point now() const { return now_; }

  // Runs the handler at the time, or now if that has passed.
  void At(time_point when, handler run) {
    events_.push(event{std::max(when, now_), ++added_, std::move(run)});
  }
  void After(duration wait, handler run) { At(now_ + wait, std::move(run)); }

  // Runs the next event if it is not after `last`.
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
    int64_t number = 0;
    handler run;

    // The queue's top is the greatest: the earliest event.
    friend bool operator<(const event& a, const event& b) {
      return a.when != b.when ? a.when > b.when : a.number > b.number;
    }
  };

  time_point now_;
  int64_t added_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_EVENT_QUEUE_H_
