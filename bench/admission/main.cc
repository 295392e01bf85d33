#include <cstdint>
#include <cstdlib>

#include "measurements.h"

// usage: admission_bench [SEED]
int main(int argc, char** argv) {
  const uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : uint64_t{1};
  jasminepath::bench::MeasureWrongfulRefusals(seed);
  jasminepath::bench::MeasureQueueFairness(seed);
  jasminepath::bench::MeasureDuplicateRuns(seed);
  jasminepath::bench::MeasureDecisionCost();
  return 0;
}
