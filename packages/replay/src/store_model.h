#ifndef JASMINEPATH_REPLAY_STORE_MODEL_H_
#define JASMINEPATH_REPLAY_STORE_MODEL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "event_queue.h"
#include "jasminepath/base/boot_time.h"

namespace jasminepath::replay {

// The weight store for one kind of load. Up to `full_speed_loads` loads run at
// full speed; with more, all slow down in proportion.
class store_model {
 public:
  store_model(event_queue& events, int64_t full_speed_loads)
      : events_(events), full_speed_loads_(full_speed_loads) {}

  // Begins a load that takes `full_speed` at full speed, and then calls `done`.
  void Begin(duration full_speed, std::function<void()> done);
  // Divides the speed of all loads by `factor` from now on.
  void SetSlowdown(int64_t factor);

 private:
  struct running_load {
    // Remaining time at full speed.
    double remaining_seconds = 0;
    std::function<void()> done;
  };

  double Speed() const;
  void Advance();
  void ScheduleNext();
  void CompleteLoads();

  event_queue& events_;
  int64_t full_speed_loads_;
  int64_t slowdown_ = 1;
  time_point advanced_to_{};
  // Incremented on every change, so that a completion that was scheduled before
  // the change is ignored.
  int64_t schedule_version_ = 0;
  std::vector<running_load> loads_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_STORE_MODEL_H_
