#ifndef JASMINEPATH_STANDIN_WEIGHT_STORE_H_
#define JASMINEPATH_STANDIN_WEIGHT_STORE_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::standin {

// What a load takes from the store; each kind has its own limit.
enum class load_kind { model, adapter };

// The rate-limited weight store: so many loads of a kind run at full speed,
// and beyond that all of the kind slow down in proportion. Safe from several
// threads; a load's progress is worked out when it is asked for.
class weight_store {
 public:
  // Begins a load that takes `full_speed` when alone; the same id twice is one
  // load.
  void Begin(const std::string& id,
             load_kind kind,
             duration full_speed,
             time_point now);
  // Whether the load is complete; nothing if the id is not known.
  std::optional<bool> IsComplete(const std::string& id,
                                 double slow_factor,
                                 time_point now);

 private:
  struct running_load {
    load_kind kind = load_kind::model;
    // Time left at full speed.
    duration left{};
  };

  // Brings every load's progress up to `now`.
  void Advance(double slow_factor, time_point now);
  double Speed(load_kind kind) const;

  std::mutex mutex_;
  std::map<std::string, running_load> loads_;
  time_point advanced_to_{};
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_WEIGHT_STORE_H_
