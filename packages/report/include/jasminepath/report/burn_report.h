#ifndef JASMINEPATH_REPORT_BURN_REPORT_H_
#define JASMINEPATH_REPORT_BURN_REPORT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/report/service_level.h"

namespace jasminepath::report {

// One span over which burn is computed, ending now.
struct burn_span {
  const char* name;
  unix_seconds length;
};

// Five minutes and an hour show a fast burn, six hours and three days a slow
// one. The error budget is that of the longest.
inline constexpr std::array<burn_span, 4> kBurnSpans = {{
    {"5m", 300},
    {"1h", 3600},
    {"6h", 21600},
    {"3d", 259200},
}};

// Calls within one span.
struct span_burn {
  int64_t total = 0;
  int64_t good = 0;
  // Share of bad calls over the share that the objective allows; 1 spends
  // exactly the budget. 0 without calls.
  double burn = 0;

  friend bool operator==(const span_burn&, const span_burn&) = default;
};

// Burn of one team on one route of a service.
struct burn_row {
  team_id team;
  service_id service;
  // "*" for the whole service.
  std::string route;
  double target = 0;
  // In the order of kBurnSpans.
  std::array<span_burn, kBurnSpans.size()> spans;
  // Share of the error budget that is left over the longest span; below 0 if
  // it is overspent, 1 without calls.
  double budget_left = 1;
  // Time to first byte of served calls over the longest span.
  duration first_byte_p50{};
  duration first_byte_p95{};
  duration first_byte_p99{};

  friend bool operator==(const burn_row&, const burn_row&) = default;
};

// Burn of every objective: a row for the whole service, then one for each
// route that was called.
struct burn_report {
  unix_seconds now = 0;
  std::vector<burn_row> rows;

  friend bool operator==(const burn_report&, const burn_report&) = default;
};

// Merges the windows of all logs. Where several hold the same window of one
// instance, as a node and the object store do, the one with more calls counts.
burn_report MakeBurnReport(const std::vector<service_level_log>& logs,
                           const std::vector<config::objective>& objectives,
                           unix_seconds now);

// A table with one line for each row.
std::string BurnText(const burn_report& report);

std::string BurnJson(const burn_report& report);

// A plot: for each whole service a group of bars, one for each span, and a line
// at burn 1.
std::string BurnSvg(const burn_report& report);

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_BURN_REPORT_H_
