#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <vector>

#include "jasminepath/report/burn_report.h"
#include "svg_writer.h"

namespace jasminepath::report {

namespace {

constexpr int kLabelWidth = 260;
constexpr int kPlotWidth = 520;
constexpr int kRightMargin = 90;
constexpr int kTop = 50;
constexpr int kBarHeight = 9;
constexpr int kGroupGap = 14;
constexpr int kLegendStep = 70;
// Bars are cut at this burn.
constexpr double kHighestBurn = 20;

constexpr std::array<const char*, kBurnSpans.size()> kColours = {
    "#c23b22", "#e08a1e", "#4a7fb5", "#5f6b6d"};

// Burn 0 to 1 takes as much room as 1 to kHighestBurn, the latter
// logarithmic, so that both "within budget" and "far beyond" can be read.
int BarWidth(double burn) {
  const double half = kPlotWidth / 2.0;
  const double shown = std::clamp(burn, 0.0, kHighestBurn);
  const double width =
      shown <= 1 ? shown * half
                 : half + half * std::log(shown) / std::log(kHighestBurn);
  return static_cast<int>(std::lround(width));
}

std::string Rounded(double value) {
  const auto hundredths = static_cast<int64_t>(std::lround(value * 100));
  const std::string cents = std::to_string(hundredths % 100);
  return std::to_string(hundredths / 100) + "." +
         (cents.size() < 2 ? "0" : "") + cents;
}

void DrawLegend(svg_writer& svg) {
  int x = kLabelWidth;
  for (std::size_t i = 0; i < kBurnSpans.size(); ++i) {
    svg.Rectangle({x, kTop - 26, kBarHeight, kBarHeight}, kColours[i]);
    svg.Text(x + kBarHeight + 4, kTop - 18, kBurnSpans[i].name);
    x += kLegendStep;
  }
}

void DrawGroup(svg_writer& svg, const burn_row& row, int top) {
  const int middle = top + kBarHeight * static_cast<int>(kBurnSpans.size()) / 2;
  svg.Text(4, middle, row.team.value() + " / " + row.service.value());
  svg.Text(
      4, middle + 13,
      "budget left " + Rounded(std::max(0.0, row.budget_left) * 100) + "%");
  for (std::size_t i = 0; i < row.spans.size(); ++i) {
    const int y = top + static_cast<int>(i) * kBarHeight;
    const int width = BarWidth(row.spans[i].burn);
    svg.Rectangle({kLabelWidth, y, std::max(width, 1), kBarHeight - 1},
                  kColours[i]);
    svg.Text(kLabelWidth + width + 4, y + kBarHeight - 1,
             Rounded(row.spans[i].burn));
  }
}

}  // namespace

std::string BurnSvg(const burn_report& report) {
  std::vector<burn_row> services;
  for (const burn_row& row : report.rows) {
    if (row.route == "*")
      services.push_back(row);
  }
  const int group =
      kBarHeight * static_cast<int>(kBurnSpans.size()) + kGroupGap;
  const int height = kTop + group * static_cast<int>(services.size()) + 20;
  svg_writer svg(kLabelWidth + kPlotWidth + kRightMargin, height);
  svg.Text(4, 18, "Service-level burn (1 spends exactly the error budget)");
  DrawLegend(svg);
  for (std::size_t i = 0; i < services.size(); ++i)
    DrawGroup(svg, services[i], kTop + group * static_cast<int>(i));
  const int limit = kLabelWidth + BarWidth(1);
  svg.Line(limit, kTop - 8, limit, height - 16);
  svg.Text(limit - 20, height - 4, "burn 1");
  return svg.Finish();
}

}  // namespace jasminepath::report
