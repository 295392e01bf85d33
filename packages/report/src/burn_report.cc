#include "jasminepath/report/burn_report.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::report {

namespace {

constexpr char kWholeService[] = "*";

// Identifies one window of one instance.
struct window_key {
  instance_id instance;
  unix_seconds start = 0;

  friend auto operator<=>(const window_key&, const window_key&) = default;
};

int64_t CallsIn(const service_level_window& window) {
  int64_t calls = 0;
  for (const auto& [key, level] : window.levels)
    calls += level.total;
  return calls;
}

// Returns each window once; of duplicates, the one with the most calls.
std::map<window_key, const service_level_window*> DeduplicateWindows(
    const std::vector<service_level_log>& logs) {
  std::map<window_key, const service_level_window*> windows;
  for (const service_level_log& log : logs) {
    for (const service_level_window& window : log.windows) {
      const service_level_window*& known =
          windows[{log.instance, window.start}];
      if (known == nullptr || CallsIn(*known) < CallsIn(window))
        known = &window;
    }
  }
  return windows;
}

// Accumulates the calls of one row.
class row_builder {
 public:
  row_builder(const config::objective& objective,
              std::string route,
              unix_seconds now)
      : now_(now) {
    row_.team = objective.team;
    row_.service = objective.service;
    row_.route = std::move(route);
    row_.target = objective.target;
  }

  void Add(const service_level& level, unix_seconds start) {
    for (std::size_t i = 0; i < kBurnSpans.size(); ++i) {
      if (start + kWindowSeconds <= now_ - kBurnSpans[i].length || start > now_)
        continue;
      row_.spans[i].total += level.total;
      row_.spans[i].good += level.good;
    }
    if (start + kWindowSeconds > now_ - kBurnSpans.back().length)
      first_byte_.Merge(level.first_byte);
  }

  burn_row Finish() {
    for (span_burn& span : row_.spans)
      span.burn = Burn(span);
    row_.budget_left = 1 - row_.spans.back().burn;
    row_.first_byte_p50 = first_byte_.Quantile(0.50);
    row_.first_byte_p95 = first_byte_.Quantile(0.95);
    row_.first_byte_p99 = first_byte_.Quantile(0.99);
    return std::move(row_);
  }

 private:
  double Burn(const span_burn& span) const {
    if (span.total == 0)
      return 0;
    const double bad = static_cast<double>(span.total - span.good);
    return bad / static_cast<double>(span.total) / (1 - row_.target);
  }

  unix_seconds now_;
  burn_row row_;
  latency_histogram first_byte_;
};

std::string FormatFixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

std::string FormatLatency(duration latency) {
  if (latency == duration::max())
    return ">1000s";
  return std::to_string(ToMilliseconds(latency)) + "ms";
}

config::json_value LatencyJson(duration latency) {
  if (latency == duration::max())
    return config::json_value();
  return config::json_value(ToMilliseconds(latency));
}

config::json_value WriteRow(const burn_row& row) {
  using config::json_value;
  json_value spans{json_value::array()};
  for (std::size_t i = 0; i < kBurnSpans.size(); ++i) {
    spans.Append("", json_value(json_value::object{
                         {"span", json_value(kBurnSpans[i].name)},
                         {"total", json_value(row.spans[i].total)},
                         {"good", json_value(row.spans[i].good)},
                         {"burn", json_value(row.spans[i].burn)}}));
  }
  return json_value(
      json_value::object{{"team", json_value(row.team.value())},
                         {"service", json_value(row.service.value())},
                         {"route", json_value(row.route)},
                         {"target", json_value(row.target)},
                         {"budget_left", json_value(row.budget_left)},
                         {"first_byte_p50_ms", LatencyJson(row.first_byte_p50)},
                         {"first_byte_p95_ms", LatencyJson(row.first_byte_p95)},
                         {"first_byte_p99_ms", LatencyJson(row.first_byte_p99)},
                         {"spans", std::move(spans)}});
}

}  // namespace

burn_report MakeBurnReport(const std::vector<service_level_log>& logs,
                           const std::vector<config::objective>& objectives,
                           unix_seconds now) {
  const auto windows = DeduplicateWindows(logs);
  burn_report report;
  report.now = now;
  for (const config::objective& objective : objectives) {
    row_builder whole(objective, kWholeService, now);
    std::map<std::string, row_builder> routes;
    for (const auto& [id, window] : windows) {
      for (const auto& [key, level] : window->levels) {
        if (key.team != objective.team || key.service != objective.service)
          continue;
        whole.Add(level, id.start);
        routes.try_emplace(key.route, objective, key.route, now)
            .first->second.Add(level, id.start);
      }
    }
    report.rows.push_back(whole.Finish());
    for (auto& [route, builder] : routes)
      report.rows.push_back(builder.Finish());
  }
  return report;
}

std::string BurnText(const burn_report& report) {
  std::ostringstream out;
  out << std::left << std::setw(16) << "team" << std::setw(14) << "service"
      << std::setw(24) << "route" << std::right << std::setw(8) << "target";
  for (const burn_span& span : kBurnSpans)
    out << std::setw(9) << (std::string("burn ") + span.name);
  out << std::setw(10) << "calls 3d" << std::setw(9) << "budget"
      << std::setw(10) << "p50" << std::setw(10) << "p95" << std::setw(10)
      << "p99" << '\n';
  for (const burn_row& row : report.rows) {
    out << std::left << std::setw(16) << row.team.value() << std::setw(14)
        << row.service.value() << std::setw(24) << row.route << std::right
        << std::setw(8) << FormatFixed(row.target, 4);
    for (const span_burn& span : row.spans)
      out << std::setw(9) << FormatFixed(span.burn, 2);
    out << std::setw(10) << row.spans.back().total << std::setw(8)
        << FormatFixed(row.budget_left * 100, 1) << '%' << std::setw(10)
        << FormatLatency(row.first_byte_p50) << std::setw(10)
        << FormatLatency(row.first_byte_p95) << std::setw(10)
        << FormatLatency(row.first_byte_p99) << '\n';
  }
  return out.str();
}

std::string BurnJson(const burn_report& report) {
  config::json_value rows{config::json_value::array()};
  for (const burn_row& row : report.rows)
    rows.Append("", WriteRow(row));
  return config::WriteJson(
      config::json_value(config::json_value::object{
          {"now", config::json_value(report.now)}, {"rows", std::move(rows)}}),
      2);
}

}  // namespace jasminepath::report
