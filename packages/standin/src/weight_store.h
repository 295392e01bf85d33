#ifndef JASMINEPATH_STANDIN_WEIGHT_STORE_H_
#define JASMINEPATH_STANDIN_WEIGHT_STORE_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::standin {

// The kind of a load. Each kind has a separate limit.
enum class load_kind { model, adapter };

// The rate-limited weight store. A limited number of loads of each kind run at
// full speed; with more, all loads of that kind slow down in proportion. The
// progress of loads is computed when the store is called. Thread-safe.
class weight_store {
 public:
  // Begins a load that takes `full_speed` at full speed. No effect if the id is
  // already known.
  void Begin(const std::string& id,
             load_kind kind,
             duration full_speed,
             time_point now);
  // True if the load is complete; nothing if the id is unknown. `slow_factor`
  // divides the speed of all loads since the last call.
  std::optional<bool> IsComplete(const std::string& id,
                                 double slow_factor,
                                 time_point now);

 private:
  struct running_load {
    load_kind kind = load_kind::model;
    // Remaining time at full speed.
    duration remaining{};
  };

  // Updates the progress of all loads to `now`.
  void Advance(double slow_factor, time_point now);
  double Speed(load_kind kind) const;

  std::mutex mutex_;
  std::map<std::string, running_load> loads_;
  time_point advanced_to_{};
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_WEIGHT_STORE_H_
