#include "jasminepath/decision/placement/keep_warm.h"

#include <algorithm>
#include <cmath>

namespace jasminepath::decision {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr duration kMaxRetention = std::chrono::hours(4);
// Start of the logarithmic scale of gap classes. Shorter gaps belong to one
// burst of calls.
constexpr double kSmallestGapSeconds = 1;
constexpr double kGapClassGrowthFactor = 1.3;
// The weights of past gaps are multiplied by this factor with each new gap.
constexpr double kGapWeightDecay = 0.95;
// One gap is assumed until enough idle gaps have been observed. The assumed gap
// is half the break-even time, so that staying loaded over it costs half a cold
// start. A model that has received only one burst therefore stays loaded.
constexpr double kAssumedGapWeight = 1.0;
constexpr double kAssumedGapBreakEvenFraction = 0.5;
// Total weight of observed idle gaps that replaces the assumed gap.
constexpr double kMinObservedGapWeight = 3.0;
// A replica stays loaded for at least this fraction of its load time.
constexpr double kMinRetentionLoadTimeFraction = 0.5;

int GapClass(double seconds, int classes) {
  if (seconds <= kSmallestGapSeconds)
    return 0;
  const double position =
      std::log(seconds / kSmallestGapSeconds) / std::log(kGapClassGrowthFactor);
  return std::clamp(static_cast<int>(position), 0, classes - 1);
}

double GapClassEnd(int gap_class) {
  return kSmallestGapSeconds * std::pow(kGapClassGrowthFactor, gap_class + 1);
}

duration ToRetention(double seconds) {
  const auto exact = std::chrono::duration<double>(seconds);
  return std::min(kMaxRetention, std::chrono::duration_cast<duration>(exact));
}

}  // namespace

duration BreakEvenTime(const keep_warm_price& price) {
  const double idle_cost_per_second = price.idle_accelerator_hour *
                                      static_cast<double>(price.accelerators) /
                                      kSecondsPerHour;
  const double cold_start_cost =
      price.cold_start_second * ToSeconds(price.cold_start);
  if (idle_cost_per_second <= 0)
    return kMaxRetention;
  const double longest = ToSeconds(kMaxRetention);
  return ToRetention(std::min(longest, cold_start_cost / idle_cost_per_second));
}

void fixed_timeout::OnArrivals(const model_id&, int64_t, time_point) {}

duration fixed_timeout::RetentionTime(const model_id&,
                                      const keep_warm_price&,
                                      time_point) {
  return timeout_;
}

void break_even_timeout::OnArrivals(const model_id&, int64_t, time_point) {}

duration break_even_timeout::RetentionTime(const model_id&,
                                           const keep_warm_price& price,
                                           time_point) {
  return BreakEvenTime(price);
}

void adaptive_timeout::OnArrivals(const model_id& model,
                                  int64_t count,
                                  time_point now) {
  if (count <= 0)
    return;
  const auto [entry, first] = histories_.try_emplace(model);
  history& past = entry->second;
  if (!first) {
    const double gap = ToSeconds(now - past.last_arrival);
    // Gaps within a burst are not idle times.
    if (gap < kSmallestGapSeconds) {
      past.last_arrival = now;
      return;
    }
    const int gap_class = GapClass(gap, kGapClasses);
    for (int i = 0; i < kGapClasses; ++i) {
      past.weight[i] *= kGapWeightDecay;
      past.seconds[i] *= kGapWeightDecay;
    }
    past.weight[gap_class] += 1;
    past.seconds[gap_class] += gap;
  }
  past.last_arrival = now;
}

duration adaptive_timeout::RetentionTime(const model_id& model,
                                         const keep_warm_price& price,
                                         time_point) {
  const duration break_even = BreakEvenTime(price);
  const auto entry = histories_.find(model);
  if (entry == histories_.end())
    return break_even;
  const history& past = entry->second;
  const double idle_cost_per_second = price.idle_accelerator_hour *
                                      static_cast<double>(price.accelerators) /
                                      kSecondsPerHour;
  const double cold_start_cost =
      price.cold_start_second * ToSeconds(price.cold_start);
  const double assumed_gap =
      kAssumedGapBreakEvenFraction * ToSeconds(break_even);
  // A gap that is shorter than the timeout costs its own idle time. A longer
  // gap costs the idle time up to the timeout and a cold start.
  const double min_timeout =
      kMinRetentionLoadTimeFraction * ToSeconds(price.cold_start);
  double longer_weight = 0;
  double idle_gap_weight = 0;
  for (int i = 0; i < kGapClasses; ++i) {
    longer_weight += past.weight[i];
    idle_gap_weight += GapClassEnd(i) > min_timeout ? past.weight[i] : 0;
  }
  const double assumed_weight =
      idle_gap_weight >= kMinObservedGapWeight ? 0 : kAssumedGapWeight;
  longer_weight += assumed_weight;
  double shorter_seconds = 0;
  bool is_assumed_gap_counted = false;
  double best_timeout = min_timeout;
  double best_cost = longer_weight * cold_start_cost;
  for (int i = 0; i < kGapClasses; ++i) {
    const double timeout = GapClassEnd(i);
    if (timeout > ToSeconds(kMaxRetention))
      break;
    longer_weight -= past.weight[i];
    shorter_seconds += past.seconds[i];
    if (!is_assumed_gap_counted && assumed_gap <= timeout) {
      is_assumed_gap_counted = true;
      longer_weight -= assumed_weight;
      shorter_seconds += assumed_weight * assumed_gap;
    }
    const double cost =
        idle_cost_per_second * (shorter_seconds + longer_weight * timeout) +
        longer_weight * cold_start_cost;
    if (cost >= best_cost)
      continue;
    best_cost = cost;
    best_timeout = std::max(timeout, min_timeout);
  }
  return ToRetention(best_timeout);
}

}  // namespace jasminepath::decision
