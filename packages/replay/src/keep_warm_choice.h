#ifndef JASMINEPATH_REPLAY_KEEP_WARM_CHOICE_H_
#define JASMINEPATH_REPLAY_KEEP_WARM_CHOICE_H_

#include <cstdint>
#include <utility>
#include <variant>

#include "jasminepath/decision/placement/keep_warm.h"

namespace jasminepath::replay {

// A keep-warm policy that is selected at run time, so that the simulation is
// compiled once for all policies. Satisfies keep_warm_policy.
class keep_warm_choice {
 public:
  using policy = std::variant<decision::adaptive_timeout,
                              decision::fixed_timeout,
                              decision::break_even_timeout>;

  explicit keep_warm_choice(policy chosen) : chosen_(std::move(chosen)) {}

  void OnArrivals(const model_id& model, int64_t count, time_point now) {
    std::visit([&](auto& chosen) { chosen.OnArrivals(model, count, now); },
               chosen_);
  }
  duration RetentionTime(const model_id& model,
                         const decision::keep_warm_price& price,
                         time_point now) {
    return std::visit(
        [&](auto& chosen) { return chosen.RetentionTime(model, price, now); },
        chosen_);
  }

 private:
  policy chosen_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_KEEP_WARM_CHOICE_H_
