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

// Seconds since the Unix epoch. The windows of all nodes are aligned to the
// epoch, so that they can be merged.
using unix_seconds = int64_t;

// Length of one window.
inline constexpr unix_seconds kWindowSeconds = 300;
// Time covered by one stored object, which holds a node's windows of one hour.
inline constexpr unix_seconds kStoredObjectSeconds = 3600;

// Identifies the calls that one service level counts.
struct service_level_key {
  team_id team;
  service_id service;
  // The model of a model service, or "METHOD prefix" for a plain service.
  std::string route;

  friend auto operator<=>(const service_level_key&,
                          const service_level_key&) = default;
};

// Counts of the calls in one window.
struct service_level {
  // Calls that count against the service level; see
  // CountsAgainstServiceLevel().
  int64_t total = 0;
  // Served calls whose time to first byte is within the objective.
  int64_t good = 0;
  // Time to first byte of served calls.
  latency_histogram first_byte;

  void Merge(const service_level& other);

  friend bool operator==(const service_level&, const service_level&) = default;
};

// The service levels that one node counted in one window.
struct service_level_window {
  // A multiple of kWindowSeconds.
  unix_seconds start = 0;
  std::map<service_level_key, service_level> levels;

  friend bool operator==(const service_level_window&,
                         const service_level_window&) = default;
};

// Windows of one node instance, ordered by start.
struct service_level_log {
  instance_id instance;
  std::vector<service_level_window> windows;

  friend bool operator==(const service_level_log&,
                         const service_level_log&) = default;
};

// Whether a refused call counts against the service level. Refusals that the
// caller caused do not count, for example for a bad key or an exceeded rate.
bool CountsAgainstServiceLevel(refusal_code code);

// Returns the body of GET /admin/histograms and of stored objects.
std::string ToJson(const service_level_log& log);

// Parses the output of ToJson().
result<service_level_log, config::json_error> ServiceLevelLogFromJson(
    const std::string& json);

// Returns the name of the object that holds an instance's windows of the hour
// that starts at `hour`.
std::string StoredObjectName(const instance_id& instance, unix_seconds hour);

// Returns the start of the hour in a stored object's name, or -1 if the name is
// malformed.
unix_seconds HourOfStoredObject(const std::string& name);

// Prefix of the names of all stored objects.
inline constexpr char kStoredObjectPrefix[] = "report/";

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_SERVICE_LEVEL_H_
