#ifndef JASMINEPATH_GATEWAY_SRC_GATEWAY_METRICS_H_
#define JASMINEPATH_GATEWAY_SRC_GATEWAY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jasminepath/base/ids.h"
#include "jasminepath/report/latency_histogram.h"

namespace jasminepath::gateway {

// Values that the node collects when the metrics are requested.
struct gateway_gauges {
  int64_t connections = 0;
  int64_t waiting = 0;
  int64_t endpoint_connections_opened = 0;
  int64_t store_calls = 0;
  int64_t store_failures = 0;
  int64_t peers = 0;
  int64_t site_version = 0;
  int64_t orders = 0;
  int64_t blocked_suspects = 0;
  bool holds_placement = false;
  bool reads_endpoints = false;
  duration endpoint_list_age{};
  int64_t endpoint_list_version = 0;
  int64_t store_era = 0;
  // Time since the era of the store has risen; the node's age if it has not.
  duration store_era_age{};
  bool ready = false;

  friend bool operator==(const gateway_gauges&,
                         const gateway_gauges&) = default;
};

// Counters and histograms of one node since its start.
class gateway_metrics {
 public:
  void CountAttempt() { ++attempts_; }
  void RecordEnd(std::string_view outcome, duration time);
  void RecordFirstByte(const service_id& service, duration time);

  // All metrics in the text exposition format.
  std::string Text(const gateway_gauges& gauges) const;

 private:
  int64_t attempts_ = 0;
  std::map<std::string, int64_t, std::less<>> outcomes_;
  std::map<service_id, report::latency_histogram> first_byte_;
  report::latency_histogram total_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_GATEWAY_METRICS_H_
