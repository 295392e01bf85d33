#ifndef JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_
#define JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::report {

// One bucket of a histogram: the number of latencies below `upper` and at or
// above the upper bound of the previous bucket.
struct latency_bucket {
  duration upper;
  int64_t count = 0;

  friend bool operator==(const latency_bucket&,
                         const latency_bucket&) = default;
};

// Counts latencies in logarithmic buckets from 1 ms to 1000 s, each about 15%
// wider than the previous one, plus an underflow and an overflow bucket. All
// histograms have the same buckets, so that histograms of different nodes can
// be merged. Value type; not thread-safe.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram& other);
  latency_histogram& operator=(const latency_histogram& other);
  latency_histogram(latency_histogram&& other) noexcept;
  latency_histogram& operator=(latency_histogram&& other) noexcept;

  void Record(duration latency);
  void Merge(const latency_histogram& other);

  int64_t count() const;

  // Returns the upper bound of the bucket that contains the quantile; `share`
  // is from 0 to 1. Returns zero if nothing was recorded, and duration::max()
  // for the overflow bucket.
  duration Quantile(double share) const;

  // Returns all buckets in ascending order, including empty ones. The upper
  // bound of the last one is duration::max().
  std::vector<latency_bucket> Buckets() const;

  friend bool operator==(const latency_histogram& a,
                         const latency_histogram& b);

 private:
  friend config::json_value ToJson(const latency_histogram& histogram);
  friend result<latency_histogram, config::json_error> HistogramFromJson(
      const config::json_value& value);

  struct storage;
  std::unique_ptr<storage> storage_;
};

// Returns the non-empty buckets as an array of [index, count].
config::json_value ToJson(const latency_histogram& histogram);

// Parses the output of ToJson().
result<latency_histogram, config::json_error> HistogramFromJson(
    const config::json_value& value);

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_
