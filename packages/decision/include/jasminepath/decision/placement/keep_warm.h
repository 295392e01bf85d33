#ifndef JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_
#define JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_

#include <array>
#include <concepts>
#include <cstdint>
#include <unordered_map>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// What a cold start of a model costs against keeping it loaded.
struct keep_warm_price {
  // Expected time of the next cold start.
  duration cold_start = duration::zero();
  // Accelerators that one replica holds.
  int64_t accelerators = 1;
  // Price of one second that a caller waits for a cold start.
  double cold_start_second = 1.0;
  // Price of one hour that one accelerator holds an idle replica.
  double idle_accelerator_hour = 1.0;

  friend bool operator==(const keep_warm_price&,
                         const keep_warm_price&) = default;
};

// Idle time whose price equals that of one cold start.
duration BreakEvenTime(const keep_warm_price& price);

// Decides how long an idle replica stays loaded.
template <typename T>
concept keep_warm_policy = requires(T policy,
                                    const model_id& model,
                                    int64_t count,
                                    const keep_warm_price& price,
                                    time_point now) {
  // Calls for the model have arrived somewhere in the fleet.
  { policy.OnArrivals(model, count, now) } -> std::same_as<void>;
  // How long after the last use a replica of the model stays loaded.
  { policy.RetentionTime(model, price, now) } -> std::same_as<duration>;
};

// Keeps every model loaded for the same time after its last use.
class fixed_timeout {
 public:
  explicit fixed_timeout(duration timeout) : timeout_(timeout) {}

  void OnArrivals(const model_id& model, int64_t count, time_point now);
  duration RetentionTime(const model_id& model,
                         const keep_warm_price& price,
                         time_point now);

 private:
  duration timeout_;
};

// Keeps a model loaded until idling has cost as much as a cold start: at most
// twice the price of the best choice in hindsight.
class break_even_timeout {
 public:
  void OnArrivals(const model_id& model, int64_t count, time_point now);
  duration RetentionTime(const model_id& model,
                         const keep_warm_price& price,
                         time_point now);
};

// Chooses the timeout that would have cost least over the gaps between the
// model's past arrivals, recent ones weighing more. Starts from the break-even
// time and assumes one gap before the first, so that a few gaps do not decide
// alone.
class adaptive_timeout {
 public:
  void OnArrivals(const model_id& model, int64_t count, time_point now);
  duration RetentionTime(const model_id& model,
                         const keep_warm_price& price,
                         time_point now);

 private:
  // Gaps are counted in classes that grow by a constant factor.
  static constexpr int kGapClasses = 48;
  struct history {
    time_point last_arrival;
    std::array<double, kGapClasses> weight = {};
    // Sum of the gaps in the class, for its mean.
    std::array<double, kGapClasses> seconds = {};
  };

  std::unordered_map<model_id, history> histories_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_
