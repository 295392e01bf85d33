#ifndef JASMINEPATH_REPORT_SERVICE_LEVEL_H_
#define JASMINEPATH_REPORT_SERVICE_LEVEL_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/fault.h"
#include "jasminepath/config/json_value.h"
#include "jasminepath/report/latency_histogram.h"

namespace jasminepath::report {

// Seconds since the Unix epoch. Windows of all nodes are aligned to it, so that
// they can be merged.
using unix_seconds = int64_t;

// Length of one window.
inline constexpr unix_seconds kWindowSeconds = 300;
// Windows of one node are stored together for each hour.
inline constexpr unix_seconds kStoredObjectSeconds = 3600;

// What a service level is counted for.
struct service_level_key {
  team_id team;
  service_id service;
  // The model of a model service, or "METHOD prefix" of a plain one.
  std::string route;

  friend auto operator<=>(const service_level_key&,
                          const service_level_key&) = default;
};

// Calls in one window.
struct service_level {
  // Calls that count: those that the caller spoiled do not.
  int64_t total = 0;
  // Served, with the first byte within the objective.
  int64_t good = 0;
  // Time to first byte of the calls that were served.
  latency_histogram first_byte;

  void Merge(const service_level& other);

  friend bool operator==(const service_level&, const service_level&) = default;
};

// What one node counted in one window.
struct service_level_window {
  // A multiple of kWindowSeconds.
  unix_seconds start = 0;
  std::map<service_level_key, service_level> levels;

  friend bool operator==(const service_level_window&,
                         const service_level_window&) = default;
};

// Windows of one node instance, in rising order.
struct service_level_log {
  instance_id instance;
  std::vector<service_level_window> windows;

  friend bool operator==(const service_level_log&,
                         const service_level_log&) = default;
};

// Whether a refused call counts against the service level: not if the caller
// caused the refusal, for example by a bad key or beyond its rate.
bool CountsAgainstServiceLevel(refusal_code code);

// The body of GET /admin/histograms and of stored objects.
std::string ToJson(const service_level_log& log);

// Reads what ToJson() wrote.
result<service_level_log, config::json_error> ServiceLevelLogFromJson(
    const std::string& json);

// Name of the object that holds the windows of an instance from `hour` on.
std::string StoredObjectName(const instance_id& instance, unix_seconds hour);

// The start of the hour in a stored object's name; -1 if it is no such name.
unix_seconds HourOfStoredObject(const std::string& name);

// Prefix of all stored objects.
inline constexpr char kStoredObjectPrefix[] = "report/";

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_SERVICE_LEVEL_H_
