#include "jasminepath/replay/replay_report.h"

#include <cmath>
#include <sstream>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::replay {
namespace {

using config::json_value;

constexpr double kRoundingFactor = 1000;

// Rounds to three decimals, so that the text is short and does not depend on
// the platform.
double Rounded(double value) {
  return std::round(value * kRoundingFactor) / kRoundingFactor;
}

json_value MakeObject() {
  return json_value(json_value::object{});
}

json_value ToJson(const team_result& team) {
  json_value object = MakeObject();
  object.Append("team", json_value(team.team.value()));
  object.Append("requests", json_value(team.requests));
  object.Append("served", json_value(team.served));
  object.Append("served_ratio", json_value(Rounded(team.served_ratio)));
  return object;
}

json_value ToJson(const cold_start_times& times) {
  json_value object = MakeObject();
  object.Append("count", json_value(times.count));
  object.Append("p50", json_value(Rounded(times.p50_ms)));
  object.Append("p99", json_value(Rounded(times.p99_ms)));
  object.Append("max", json_value(Rounded(times.max_ms)));
  return object;
}

json_value ToJson(const violation& entry) {
  json_value object = MakeObject();
  object.Append("rule", json_value(entry.rule));
  object.Append("at_ms", json_value(entry.at_ms));
  object.Append("detail", json_value(entry.detail));
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

std::string MakeLabel(int x, int y, const std::string& text) {
  std::ostringstream out;
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << Escaped(text)
      << "</text>\n";
  return std::move(out).str();
}

}  // namespace

std::string ToJson(const replay_report& report) {
  json_value table = MakeObject();
  table.Append("reads", json_value(report.table_reads));
  table.Append("writes", json_value(report.table_writes));
  json_value worst = MakeObject();
  worst.Append("team", json_value(report.worst_team.team.value()));
  worst.Append("served_ratio",
               json_value(Rounded(report.worst_team.served_ratio)));
  json_value object = MakeObject();
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
  for (const violation& entry : report.violations)
    out << "  " << entry.at_ms << " ms " << entry.rule << ": " << entry.detail
        << '\n';
  return std::move(out).str();
}

std::string ToSvg(const replay_report& report) {
  constexpr int kWidth = 640;
  constexpr int kRowHeight = 24;
  constexpr int kBarLeft = 160;
  constexpr int kFullBarWidth = 400;
  const int rows = static_cast<int>(report.teams.size()) + 4;
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << rows * kRowHeight << "\" font-family=\"sans-serif\" "
      << "font-size=\"13\">\n";
  std::ostringstream cold;
  cold << "cold start p50 " << Rounded(report.cold_start.p50_ms) << " ms, p99 "
       << Rounded(report.cold_start.p99_ms) << " ms; idle accelerator hours "
       << Rounded(report.idle_accelerator_hours);
  out << MakeLabel(8, kRowHeight, report.policy + ", " + report.admission)
      << MakeLabel(8, 2 * kRowHeight, cold.str());
  int y = 3 * kRowHeight;
  for (const team_result& team : report.teams) {
    const int width = static_cast<int>(kFullBarWidth * team.served_ratio);
    out << MakeLabel(8, y, team.team.value()) << "<rect x=\"" << kBarLeft
        << "\" y=\"" << y - kRowHeight / 2 << "\" width=\"" << width
        << "\" height=\"" << kRowHeight / 2 << "\" fill=\"#4878a8\"/>\n";
    std::ostringstream ratio;
    ratio << Rounded(team.served_ratio);
    out << MakeLabel(kBarLeft + kFullBarWidth + 8, y, ratio.str());
    y += kRowHeight;
  }
  out << "</svg>\n";
  return std::move(out).str();
}

}  // namespace jasminepath::replay
