#ifndef JASMINEPATH_NODE_NODE_METRICS_H_
#define JASMINEPATH_NODE_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "call_outcome.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::node {

// Counts how calls ended. Thread-safe.
class node_metrics {
 public:
  explicit node_metrics(instance_id self);

  // One call has ended.
  void Record(const call_outcome& outcome, time_point now);

  // The metrics in the usual text format.
  std::string MetricsPage() const;

  // The histograms as JSON, for the burn report.
  std::string HistogramsPage() const;

 private:
  // Names one counter.
  struct counter_key {
    team_id team;
    service_id service;
    // "served" or a refusal code.
    std::string outcome;

    friend auto operator<=>(const counter_key&, const counter_key&) = default;
  };

  const instance_id self_;
  mutable std::mutex mutex_;
  std::map<counter_key, int64_t> calls_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_METRICS_H_
