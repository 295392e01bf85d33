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

// A time span, ending now, over which the burn rate is computed.
struct burn_span {
  const char* name;
  unix_seconds length;
};

// The two short spans show a fast burn, the two long ones a slow burn. The
// error budget applies to the longest span.
inline constexpr std::array<burn_span, 4> kBurnSpans = {{
    {"5m", 300},
    {"1h", 3600},
    {"6h", 21600},
    {"3d", 259200},
}};

// Calls and burn rate within one span.
struct span_burn {
  int64_t total = 0;
  int64_t good = 0;
  // Fraction of bad calls divided by the fraction that the objective allows. A
  // value of 1 consumes exactly the error budget. 0 if there are no calls.
  double burn = 0;

  friend bool operator==(const span_burn&, const span_burn&) = default;
};

// Burn rates of one team on one route of a service.
struct burn_row {
  team_id team;
  service_id service;
  // "*" for the whole service.
  std::string route;
  double target = 0;
  // In the order of kBurnSpans.
  std::array<span_burn, kBurnSpans.size()> spans;
  // Remaining fraction of the error budget over the longest span; negative if
  // the budget is exceeded, 1 if there are no calls.
  double budget_left = 1;
  // Time to first byte of served calls over the longest span.
  duration first_byte_p50{};
  duration first_byte_p95{};
  duration first_byte_p99{};

  friend bool operator==(const burn_row&, const burn_row&) = default;
};

// Burn rates of every objective: a row for the whole service, then one for each
// route that was called.
struct burn_report {
  unix_seconds now = 0;
  std::vector<burn_row> rows;

  friend bool operator==(const burn_report&, const burn_report&) = default;
};

// Merges the windows of all logs. If several logs hold the same window of an
// instance, for example one from the node and one from the object store, the
// window with the most calls is used.
burn_report MakeBurnReport(const std::vector<service_level_log>& logs,
                           const std::vector<config::objective>& objectives,
                           unix_seconds now);

// Formats the report as a table with one line for each row.
std::string BurnText(const burn_report& report);

// Formats the report as indented JSON. Latencies above the histogram's range
// are null.
std::string BurnJson(const burn_report& report);

// Draws an SVG plot with a group of bars for each whole service, one bar for
// each span, and a line at burn rate 1.
std::string BurnSvg(const burn_report& report);

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_BURN_REPORT_H_
