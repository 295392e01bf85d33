#ifndef JASMINEPATH_REPORT_METRICS_TEXT_H_
#define JASMINEPATH_REPORT_METRICS_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/report/latency_histogram.h"

namespace jasminepath::report {

struct metric_label {
  std::string name;
  std::string value;

  friend bool operator==(const metric_label&, const metric_label&) = default;
};

using metric_labels = std::vector<metric_label>;

// Writes metrics in the Prometheus text exposition format. All samples of a
// metric must be written consecutively, since its HELP and TYPE lines precede
// the first sample.
class metrics_text {
 public:
  void Counter(std::string_view name,
               std::string_view help,
               const metric_labels& labels,
               int64_t value);
  void Gauge(std::string_view name,
             std::string_view help,
             const metric_labels& labels,
             double value);
  // Writes cumulative buckets in seconds, the number of samples and an upper
  // estimate of their sum, computed from the buckets' upper bounds. Omits empty
  // buckets at the start and end.
  void Histogram(std::string_view name,
                 std::string_view help,
                 const metric_labels& labels,
                 const latency_histogram& value);

  const std::string& text() const { return text_; }

 private:
  void WriteHeader(std::string_view name,
                   std::string_view help,
                   std::string_view type);
  void WriteSample(std::string_view name,
                   const metric_labels& labels,
                   const std::string& value);

  std::string text_;
  std::string last_name_;
};

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_METRICS_TEXT_H_
