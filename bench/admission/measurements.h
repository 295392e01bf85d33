#ifndef JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_
#define JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_

#include <cstdint>

namespace jasminepath::bench {

// Each function prints one line of key=value pairs per case to standard output.

// Counts refusals of requests that one central bucket would have admitted, when
// 90% of a team's traffic arrives at one of eight nodes. Compares escrow with
// borrowing, a static split, and one table write per grant. Runs in virtual
// time.
void MeasureWrongfulRefusals(uint64_t seed);

// Measures the queueing delays of four teams while a fifth sends its share or
// eight times its share, for each queue discipline and for a plain FIFO queue.
// Runs in virtual time.
void MeasureQueueFairness(uint64_t seed);

// Counts bookings that run more than once when answers are lost and callers
// retry, with and without the idempotency claim. Runs in virtual time.
void MeasureDuplicateRuns(uint64_t seed);

// Measures the elapsed time of the decisions of one call, and the heap bytes of
// one waiting call.
void MeasureDecisionCost();

}  // namespace jasminepath::bench

#endif  // JASMINEPATH_BENCH_ADMISSION_MEASUREMENTS_H_
