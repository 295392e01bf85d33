#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <vector>

#include "jasminepath/report/burn_report.h"
#include "svg_writer.h"

namespace jasminepath::report {

namespace {

constexpr int kLabelWidthPx = 260;
constexpr int kPlotWidthPx = 520;
constexpr int kRightMarginPx = 90;
constexpr int kTopMarginPx = 50;
constexpr int kBarHeightPx = 9;
constexpr int kGroupGapPx = 14;
constexpr int kLegendStepPx = 70;
// Bars are cut off at this burn rate.
constexpr double kMaxShownBurn = 20;

constexpr std::array<const char*, kBurnSpans.size()> kColours = {
    "#c23b22", "#e08a1e", "#4a7fb5", "#5f6b6d"};

// Returns the bar's width in pixels. Burn rates from 0 to 1 use the left half
// on a linear scale, rates from 1 to kMaxShownBurn the right half on a
// logarithmic scale, so that values within and far above the budget are both
// readable.
int BarWidth(double burn) {
  const double half = kPlotWidthPx / 2.0;
  const double clamped = std::clamp(burn, 0.0, kMaxShownBurn);
  const double width =
      clamped <= 1 ? clamped * half
                   : half + half * std::log(clamped) / std::log(kMaxShownBurn);
  return static_cast<int>(std::lround(width));
}

std::string FormatHundredths(double value) {
  const auto hundredths = static_cast<int64_t>(std::lround(value * 100));
  const std::string cents = std::to_string(hundredths % 100);
  return std::to_string(hundredths / 100) + "." +
         (cents.size() < 2 ? "0" : "") + cents;
}

void DrawLegend(svg_writer& svg) {
  int x = kLabelWidthPx;
  for (std::size_t i = 0; i < kBurnSpans.size(); ++i) {
    svg.Rectangle({x, kTopMarginPx - 26, kBarHeightPx, kBarHeightPx},
                  kColours[i]);
    svg.Text(x + kBarHeightPx + 4, kTopMarginPx - 18, kBurnSpans[i].name);
    x += kLegendStepPx;
  }
}

void DrawGroup(svg_writer& svg, const burn_row& row, int top) {
  const int middle =
      top + kBarHeightPx * static_cast<int>(kBurnSpans.size()) / 2;
  svg.Text(4, middle, row.team.value() + " / " + row.service.value());
  svg.Text(4, middle + 13,
           "budget left " +
               FormatHundredths(std::max(0.0, row.budget_left) * 100) + "%");
  for (std::size_t i = 0; i < row.spans.size(); ++i) {
    const int y = top + static_cast<int>(i) * kBarHeightPx;
    const int width = BarWidth(row.spans[i].burn);
    svg.Rectangle({kLabelWidthPx, y, std::max(width, 1), kBarHeightPx - 1},
                  kColours[i]);
    svg.Text(kLabelWidthPx + width + 4, y + kBarHeightPx - 1,
             FormatHundredths(row.spans[i].burn));
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
      kBarHeightPx * static_cast<int>(kBurnSpans.size()) + kGroupGapPx;
  const int height =
      kTopMarginPx + group * static_cast<int>(services.size()) + 20;
  svg_writer svg(kLabelWidthPx + kPlotWidthPx + kRightMarginPx, height);
  svg.Text(4, 18, "Service-level burn (1 spends exactly the error budget)");
  DrawLegend(svg);
  for (std::size_t i = 0; i < services.size(); ++i)
    DrawGroup(svg, services[i], kTopMarginPx + group * static_cast<int>(i));
  const int limit = kLabelWidthPx + BarWidth(1);
  svg.Line(limit, kTopMarginPx - 8, limit, height - 16);
  svg.Text(limit - 20, height - 4, "burn 1");
  return svg.Finish();
}

}  // namespace jasminepath::report
