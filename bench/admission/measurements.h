#ifndef JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_
#define JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_

#include <cstdint>

namespace jasminepath::bench {

// Each prints one line of key=value pairs for every case to standard output.

// Refusals of requests that one central bucket would have admitted, when most
// of a team's traffic lands on one of eight nodes: escrow with borrowing,
// static split, and one table write for each grant. In virtual time.
void MeasureWrongfulRefusals(uint64_t seed);

// Waits of four teams beside one at eight times its share, for each queue
// discipline and for a plain first-in-first-out queue. In virtual time.
void MeasureQueueFairness(uint64_t seed);

// Bookings that ran twice when answers are lost and callers send again, with
// and without the idempotency claim. In virtual time.
void MeasureDuplicateRuns(uint64_t seed);

// Processor time of one call's decisions.
void MeasureDecisionCost();

}  // namespace jasminepath::bench

#endif  // JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_
