#ifndef JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_
#define JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

namespace jasminepath::decision {

// Bounds retries to a share of first attempts, so that failing endpoints are
// not met by a storm. Over the fleet, retries stay below `percent` of the first
// attempts plus `fleet_reserve`, which the nodes share evenly.
class retry_budget {
 public:
  // A node starts with its part of the reserve.
  retry_budget(int64_t percent, int64_t fleet_reserve);

  // Sets how many nodes share the reserve, this one included.
  void SetNodes(int64_t nodes);

  // A call was sent for the first time.
  void OnFirstAttempt();

  // Takes one retry from the budget, if there is one.
  bool Take();

 private:
  int64_t percent_;
  int64_t fleet_reserve_;
  int64_t nodes_ = 1;
  // In hundredths of a retry.
  int64_t balance_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_
