#include "jasminepath/decision/placement/keep_warm.h"

#include <algorithm>
#include <cmath>

namespace jasminepath::decision {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr duration kLongestKeep = std::chrono::hours(4);
// Gaps are classed on a logarithmic scale from here.
constexpr double kSmallestGapSeconds = 1;
constexpr double kClassGrowth = 1.3;
// Weight that an observation keeps with each further one.
constexpr double kMemory = 0.95;
// One gap is assumed until enough idle gaps have been seen. It is half the
// break-even time, so that keeping a model over it costs half a cold start: a
// model that has been seen in one burst only is kept.
constexpr double kAssumedGapWeight = 1.0;
constexpr double kAssumedGapOfBreakEven = 0.5;
// Weight of idle gaps that replaces the assumption.
constexpr double kKnownGapWeight = 3.0;
// A replica stays at least for this part of its own load time.
constexpr double kLeastKeepOfLoadTime = 0.5;

int GapClass(double seconds, int classes) {
  if (seconds <= kSmallestGapSeconds)
    return 0;
  const double position =
      std::log(seconds / kSmallestGapSeconds) / std::log(kClassGrowth);
  return std::clamp(static_cast<int>(position), 0, classes - 1);
}

double ClassEnd(int gap_class) {
  return kSmallestGapSeconds * std::pow(kClassGrowth, gap_class + 1);
}

duration FromSeconds(double seconds) {
  const auto exact = std::chrono::duration<double>(seconds);
  return std::min(kLongestKeep, std::chrono::duration_cast<duration>(exact));
}

}  // namespace

duration BreakEvenTime(const keep_warm_price& price) {
  const double idle_second = price.idle_accelerator_hour *
                             static_cast<double>(price.accelerators) /
                             kSecondsPerHour;
  const double cold = price.cold_start_second * ToSeconds(price.cold_start);
  if (idle_second <= 0)
    return kLongestKeep;
  const double longest = ToSeconds(kLongestKeep);
  return FromSeconds(std::min(longest, cold / idle_second));
}

void fixed_timeout::OnArrivals(const model_id&, int64_t, time_point) {}

duration fixed_timeout::KeepFor(const model_id&,
                                const keep_warm_price&,
                                time_point) {
  return timeout_;
}

void break_even_timeout::OnArrivals(const model_id&, int64_t, time_point) {}

duration break_even_timeout::KeepFor(const model_id&,
                                     const keep_warm_price& price,
                                     time_point) {
  return BreakEvenTime(price);
}

void adaptive_timeout::OnArrivals(const model_id& model,
                                  int64_t count,
                                  time_point now) {
  if (count <= 0)
    return;
  const auto [found, first] = histories_.try_emplace(model);
  history& past = found->second;
  if (!first) {
    const double gap = ToSeconds(now - past.last_arrival);
    // Calls of one burst say nothing about idle times.
    if (gap < kSmallestGapSeconds) {
      past.last_arrival = now;
      return;
    }
    const int gap_class = GapClass(gap, kGapClasses);
    for (int i = 0; i < kGapClasses; ++i) {
      past.weight[i] *= kMemory;
      past.seconds[i] *= kMemory;
    }
    past.weight[gap_class] += 1;
    past.seconds[gap_class] += gap;
  }
  past.last_arrival = now;
}

duration adaptive_timeout::KeepFor(const model_id& model,
                                   const keep_warm_price& price,
                                   time_point) {
  const duration break_even = BreakEvenTime(price);
  const auto found = histories_.find(model);
  if (found == histories_.end())
    return break_even;
  const history& past = found->second;
  const double idle_second = price.idle_accelerator_hour *
                             static_cast<double>(price.accelerators) /
                             kSecondsPerHour;
  const double cold = price.cold_start_second * ToSeconds(price.cold_start);
  const double prior_gap = kAssumedGapOfBreakEven * ToSeconds(break_even);
  // Gaps shorter than a timeout cost their own idle time; longer ones cost the
  // timeout's idle time and a cold start.
  const double least = kLeastKeepOfLoadTime * ToSeconds(price.cold_start);
  double longer = 0;
  double idle_gaps = 0;
  for (int i = 0; i < kGapClasses; ++i) {
    longer += past.weight[i];
    idle_gaps += ClassEnd(i) > least ? past.weight[i] : 0;
  }
  const double assumed = idle_gaps >= kKnownGapWeight ? 0 : kAssumedGapWeight;
  longer += assumed;
  double shorter_seconds = 0;
  bool prior_counted = false;
  double best_timeout = least;
  double best_cost = longer * cold;
  for (int i = 0; i < kGapClasses; ++i) {
    const double timeout = ClassEnd(i);
    if (timeout > ToSeconds(kLongestKeep))
      break;
    longer -= past.weight[i];
    shorter_seconds += past.seconds[i];
    if (!prior_counted && prior_gap <= timeout) {
      prior_counted = true;
      longer -= assumed;
      shorter_seconds += assumed * prior_gap;
    }
    const double cost =
        idle_second * (shorter_seconds + longer * timeout) + longer * cold;
    if (cost >= best_cost)
      continue;
    best_cost = cost;
    best_timeout = std::max(timeout, least);
  }
  return FromSeconds(best_timeout);
}

}  // namespace jasminepath::decision
