#include "jasminepath/decision/admission/answer_time_estimate.h"

#include <algorithm>

namespace jasminepath::decision {
namespace {

// A sample moves the mean by 1/8 of its distance and the deviation by 1/4.
constexpr int64_t kMeanDivisor = 8;
constexpr int64_t kDeviationDivisor = 4;
constexpr int64_t kDeviationsInBound = 4;

}  // namespace

answer_time_estimate::answer_time_estimate(duration first_sample)
    : answer_time_estimate(first_sample, first_sample / 2) {}

answer_time_estimate::answer_time_estimate(duration mean, duration deviation)
    : mean_(mean), deviation_(deviation) {}

answer_time_estimate answer_time_estimate::With(duration sample) const {
  const duration distance = sample - mean_;
  const duration size = std::max<duration>(distance, -distance);
  return {mean_ + distance / kMeanDivisor,
          deviation_ + (size - deviation_) / kDeviationDivisor};
}

duration answer_time_estimate::upper_bound() const {
  return mean_ + deviation_ * kDeviationsInBound;
}

}  // namespace jasminepath::decision
