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

// Counts how calls ended, in total and against their objectives. Thread-safe.
class node_metrics {
 public:
  explicit node_metrics(instance_id self);

  // One call has ended.
  void Record(const call_outcome& outcome);

  // The objectives of the configuration that is in force.
  void SetObjectives(const std::vector<config::objective>& objectives);

  // The metrics in the usual text format.
  std::string MetricsPage() const;

  // The windows of this and the last hour as JSON, for the burn report.
  std::string HistogramsPage() const;

  // Objects to put into the store; MarkUnstored() for one that failed.
  std::vector<report::stored_windows> TakeChanged();
  void MarkUnstored(const std::string& object_name);

 private:
  // Names one counter.
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
