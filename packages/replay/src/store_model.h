#ifndef JASMINEPATH_REPLAY_STORE_MODEL_H_
#define JASMINEPATH_REPLAY_STORE_MODEL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "event_queue.h"
#include "jasminepath/base/boot_time.h"

namespace jasminepath::replay {

// The weight store for one kind of load: so many run at full speed, and beyond
// that all slow down in proportion.
class store_model {
 public:
  store_model(event_queue& events, int64_t full_speed_loads)
      : events_(events), full_speed_loads_(full_speed_loads) {}

  // Begins a load that takes `full_speed` when alone.
  void Begin(duration full_speed, std::function<void()> done);
  // Makes every load this many times slower from now on.
  void SetSlowness(int64_t factor);

 private:
  struct running_load {
    // Seconds left at full speed.
    double left = 0;
    std::function<void()> done;
  };

  double Speed() const;
  void Advance();
  void ScheduleNext();
  void Complete();

  event_queue& events_;
  int64_t full_speed_loads_;
  int64_t slowness_ = 1;
  time_point advanced_to_{};
  // Counts changes, so that a completion planned before one is ignored.
  int64_t plan_ = 0;
  std::vector<running_load> loads_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_STORE_MODEL_H_
