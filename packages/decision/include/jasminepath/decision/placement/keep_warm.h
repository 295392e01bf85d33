#ifndef JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_
#define JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_

#include <array>
#include <concepts>
#include <cstdint>
#include <unordered_map>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Cost of a cold start of a model and cost of keeping the model loaded.
struct keep_warm_price {
  // Expected time of the next cold start.
  duration cold_start = duration::zero();
  // Number of accelerators that one replica occupies.
  int64_t accelerators = 1;
  // Cost of one second that a caller waits for a cold start.
  double cold_start_second = 1.0;
  // Cost of one hour in which an idle replica occupies one accelerator.
  double idle_accelerator_hour = 1.0;

  friend bool operator==(const keep_warm_price&,
                         const keep_warm_price&) = default;
};

// Returns the idle time whose cost equals the cost of one cold start.
duration BreakEvenTime(const keep_warm_price& price);

// Decides how long an idle replica stays loaded.
template <typename T>
concept keep_warm_policy = requires(T policy,
                                    const model_id& model,
                                    int64_t count,
                                    const keep_warm_price& price,
                                    time_point now) {
  // Records calls for the model from any node of the fleet.
  { policy.OnArrivals(model, count, now) } -> std::same_as<void>;
  // Returns how long a replica of the model stays loaded after its last use.
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

// Keeps a model loaded until the idle time has cost as much as a cold start.
// The total cost is at most twice the cost of the optimal choice in hindsight.
class break_even_timeout {
 public:
  void OnArrivals(const model_id& model, int64_t count, time_point now);
  duration RetentionTime(const model_id& model,
                         const keep_warm_price& price,
                         time_point now);
};

// Chooses the timeout that would have had the lowest cost over the gaps between
// the model's past arrivals. Recent gaps have a higher weight. The policy
// starts from the break-even time and assumes one gap in advance, so that the
// first few observed gaps do not determine the timeout alone.
class adaptive_timeout {
 public:
  void OnArrivals(const model_id& model, int64_t count, time_point now);
  duration RetentionTime(const model_id& model,
                         const keep_warm_price& price,
                         time_point now);

 private:
  // Number of classes of the gap histogram. The width of the classes grows by a
  // constant factor.
  static constexpr int kGapClasses = 48;
  struct history {
    time_point last_arrival;
    std::array<double, kGapClasses> weight = {};
    // Weighted sum of the gaps in each class, in seconds.
    std::array<double, kGapClasses> seconds = {};
  };

  std::unordered_map<model_id, history> histories_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_KEEP_WARM_H_
