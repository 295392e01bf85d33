#include "jasminepath/replay/replay_report.h"

#include <cmath>
#include <sstream>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::replay {
namespace {

using config::json_value;

constexpr double kRounding = 1000;

// Rounded to three decimals, so that the text is short and the same anywhere.
double Rounded(double value) {
  return std::round(value * kRounding) / kRounding;
}

json_value NewObject() {
  return json_value(json_value::object{});
}

json_value ToJson(const team_result& team) {
  json_value object = NewObject();
  object.Append("team", json_value(team.team.value()));
  object.Append("requests", json_value(team.requests));
  object.Append("served", json_value(team.served));
  object.Append("served_ratio", json_value(Rounded(team.served_ratio)));
  return object;
}

json_value ToJson(const cold_start_times& times) {
  json_value object = NewObject();
  object.Append("count", json_value(times.count));
  object.Append("p50", json_value(Rounded(times.p50_ms)));
  object.Append("p99", json_value(Rounded(times.p99_ms)));
  object.Append("max", json_value(Rounded(times.max_ms)));
  return object;
}

json_value ToJson(const violation& broken) {
  json_value object = NewObject();
  object.Append("rule", json_value(broken.rule));
  object.Append("at_ms", json_value(broken.at_ms));
  object.Append("detail", json_value(broken.detail));
  return object;
}

template <typename Entry>
json_value ToArray(const std::vector<Entry>& entries) {
  json_value array{json_value::array{}};
  for (const Entry& entry : entries)
    array.Append("", ToJson(entry));
  return array;
}

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<' || c == '&')
      escaped += c == '<' ? "&lt;" : "&amp;";
    else
      escaped += c;
  }
  return escaped;
}

std::string Label(int x, int y, const std::string& text) {
  std::ostringstream out;
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << Escaped(text)
      << "</text>\n";
  return std::move(out).str();
}

}  // namespace

std::string ToJson(const replay_report& report) {
  json_value table = NewObject();
  table.Append("reads", json_value(report.table_reads));
  table.Append("writes", json_value(report.table_writes));
  json_value worst = NewObject();
  worst.Append("team", json_value(report.worst_team.team.value()));
  worst.Append("served_ratio",
               json_value(Rounded(report.worst_team.served_ratio)));
  json_value object = NewObject();
  object.Append("policy", json_value(report.policy));
  object.Append("admission", json_value(report.admission));
  object.Append("requests", json_value(report.requests));
  object.Append("cold_start_ms", ToJson(report.cold_start));
  object.Append("idle_accelerator_hours",
                json_value(Rounded(report.idle_accelerator_hours)));
  object.Append("worst_team", std::move(worst));
  object.Append("teams", ToArray(report.teams));
  object.Append("wrongful_refusals", json_value(report.wrongful_refusals));
  object.Append("table", std::move(table));
  object.Append("loads", json_value(report.loads));
  object.Append("node_messages", json_value(report.node_messages));
  object.Append("violations", ToArray(report.violations));
  return config::WriteJson(object);
}

std::string ToText(const replay_report& report) {
  std::ostringstream out;
  const cold_start_times& cold = report.cold_start;
  out << "policy " << report.policy << ", admission " << report.admission
      << ", requests " << report.requests << '\n'
      << "cold starts " << cold.count << ": p50 " << Rounded(cold.p50_ms)
      << " ms, p99 " << Rounded(cold.p99_ms) << " ms, max "
      << Rounded(cold.max_ms) << " ms\n"
      << "idle accelerator hours " << Rounded(report.idle_accelerator_hours)
      << '\n'
      << "wrongful refusals " << report.wrongful_refusals << '\n'
      << "table reads " << report.table_reads << ", writes "
      << report.table_writes << "; loads " << report.loads
      << "; messages between nodes " << report.node_messages << '\n';
  for (const team_result& team : report.teams)
    out << "team " << team.team << ": served " << team.served << " of "
        << team.requests << ", ratio " << Rounded(team.served_ratio) << '\n';
  out << "violations " << report.violations.size() << '\n';
  for (const violation& broken : report.violations)
    out << "  " << broken.at_ms << " ms " << broken.rule << ": "
        << broken.detail << '\n';
  return std::move(out).str();
}

std::string ToSvg(const replay_report& report) {
  constexpr int kWidth = 640;
  constexpr int kRow = 24;
  constexpr int kLeft = 160;
  constexpr int kFullBar = 400;
  const int rows = static_cast<int>(report.teams.size()) + 4;
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << rows * kRow << "\" font-family=\"sans-serif\" "
      << "font-size=\"13\">\n";
  std::ostringstream cold;
  cold << "cold start p50 " << Rounded(report.cold_start.p50_ms) << " ms, p99 "
       << Rounded(report.cold_start.p99_ms) << " ms; idle accelerator hours "
       << Rounded(report.idle_accelerator_hours);
  out << Label(8, kRow, report.policy + ", " + report.admission)
      << Label(8, 2 * kRow, cold.str());
  int y = 3 * kRow;
  for (const team_result& team : report.teams) {
    const int width = static_cast<int>(kFullBar * team.served_ratio);
    out << Label(8, y, team.team.value()) << "<rect x=\"" << kLeft << "\" y=\""
        << y - kRow / 2 << "\" width=\"" << width << "\" height=\"" << kRow / 2
        << "\" fill=\"#4878a8\"/>\n";
    std::ostringstream ratio;
    ratio << Rounded(team.served_ratio);
    out << Label(kLeft + kFullBar + 8, y, ratio.str());
    y += kRow;
  }
  out << "</svg>\n";
  return std::move(out).str();
}

}  // namespace jasminepath::replay
