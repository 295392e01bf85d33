#ifndef JASMINEPATH_DECISION_ADMISSION_ANSWER_TIME_ESTIMATE_H_
#define JASMINEPATH_DECISION_ADMISSION_ANSWER_TIME_ESTIMATE_H_

#include "jasminepath/base/boot_time.h"

namespace jasminepath::decision {

// Smoothed mean and mean deviation of how long answers take, as TCP keeps them
// of its round-trip times (RFC 6298).
class answer_time_estimate {
 public:
  explicit answer_time_estimate(duration first_sample);

  // The estimate after another answer.
  [[nodiscard]] answer_time_estimate With(duration sample) const;

  // Time within which almost all answers end.
  duration upper_bound() const;

  friend bool operator==(const answer_time_estimate&,
                         const answer_time_estimate&) = default;

 private:
  answer_time_estimate(duration mean, duration deviation);

  duration mean_;
  duration deviation_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_ANSWER_TIME_ESTIMATE_H_
