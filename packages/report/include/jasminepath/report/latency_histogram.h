#ifndef JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_
#define JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::report {

// One bucket of a histogram: how many latencies lie at or above the bound of
// the bucket before and below `upper`.
struct latency_bucket {
  duration upper;
  int64_t count = 0;

  friend bool operator==(const latency_bucket&,
                         const latency_bucket&) = default;
};

// Counts latencies in logarithmic buckets from 1 ms to 1000 s, each about 15%
// wider than the one before, with one bucket below and one above. All
// histograms have the same buckets, so that those of different nodes can be
// merged. Value type; not safe for use from several threads at a time.
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

  // Upper bound of the bucket that holds the quantile; `share` from 0 to 1.
  // Zero if nothing was recorded.
  duration Quantile(double share) const;

  // Every bucket in rising order, empty ones included; the last has
  // duration::max() as its bound.
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

// The non-empty buckets as an array of [index, count].
config::json_value ToJson(const latency_histogram& histogram);

// Reads what ToJson() wrote.
result<latency_histogram, config::json_error> HistogramFromJson(
    const config::json_value& value);

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_LATENCY_HISTOGRAM_H_
