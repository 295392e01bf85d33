#ifndef JASMINEPATH_NODE_NODE_METRICS_H_
#define JASMINEPATH_NODE_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "call_outcome.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/report/latency_histogram.h"
#include "jasminepath/report/service_level_recorder.h"

namespace jasminepath::node {

// Counts the outcomes of calls, in total and against their service-level
// objectives. Thread-safe.
class node_metrics {
 public:
  explicit node_metrics(instance_id self);

  // Records the outcome of one call.
  void Record(const call_outcome& outcome);

  // Sets the objectives of the configuration in force.
  void SetObjectives(const std::vector<config::objective>& objectives);

  // Returns the metrics in the Prometheus text format.
  std::string MetricsPage() const;

  // Returns the windows of the current and the previous hour as JSON, for the
  // burn-rate report.
  std::string HistogramsPage() const;

  // Returns the objects to put into the store. Call MarkUnstored() for an
  // object whose write failed.
  std::vector<report::stored_windows> TakeChanged();
  void MarkUnstored(const std::string& object_name);

 private:
  // Labels of one counter.
  struct counter_key {
    team_id team;
    service_id service;
    // "served" or a refusal code.
    std::string outcome;

    friend auto operator<=>(const counter_key&, const counter_key&) = default;
  };

  mutable std::mutex mutex_;
  std::map<counter_key, int64_t> calls_;
  std::map<service_id, report::latency_histogram> first_bytes_;
  report::service_level_recorder recorder_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_METRICS_H_
