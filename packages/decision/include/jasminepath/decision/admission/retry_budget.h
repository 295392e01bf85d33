#ifndef JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_
#define JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

namespace jasminepath::decision {

// Limits retries to a percentage of first attempts, so that failing endpoints
// are not overloaded by retries. Over the fleet, the number of retries stays
// below `percent` of the first attempts plus `fleet_reserve`, which the nodes
// share evenly.
class retry_budget {
 public:
  // The budget starts with this node's part of the reserve.
  retry_budget(int64_t percent, int64_t fleet_reserve);

  // Sets how many nodes share the reserve, including this one.
  void SetNodes(int64_t nodes);

  // A call was sent for the first time.
  void OnFirstAttempt();

  // Takes one retry from the budget; returns false if none is left.
  bool Take();

 private:
  int64_t percent_;
  int64_t fleet_reserve_;
  int64_t nodes_ = 1;
  // In hundredths of a retry.
  int64_t balance_hundredths_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_RETRY_BUDGET_H_
