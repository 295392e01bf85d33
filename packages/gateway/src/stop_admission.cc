#include "stop_admission.h"

#include <algorithm>
#include <unordered_set>

namespace jasminepath::gateway {

void stop_admission::RecordAnswer(const std::string& route, duration time) {
  const auto [known, is_new] = answer_times_.try_emplace(route, time);
  if (!is_new)
    known->second = known->second.With(time);
}

void stop_admission::RecordMissingAnswer(const std::string& route,
                                         duration time) {
  const auto known = answer_times_.find(route);
  if (known != answer_times_.end() && time > known->second.upper_bound())
    known->second = known->second.With(time);
}

void stop_admission::SetRoutes(const std::vector<route>& routes) {
  std::unordered_set<std::string> names;
  for (const route& each : routes)
    names.insert(each.name);
  std::erase_if(answer_times_, [&names](const auto& entry) {
    return !names.contains(entry.first);
  });
}

std::optional<decision::answer_time_estimate> stop_admission::EstimateFor(
    const route& route) const {
  const auto known = answer_times_.find(route.name);
  if (known != answer_times_.end())
    return known->second;
  if (route.kind == request_kind::idempotent)
    return decision::answer_time_estimate(route.objective);
  return std::nullopt;
}

bool stop_admission::CanComplete(const route& route,
                                 time_point arrived_at,
                                 time_point deadline,
                                 time_point now) const {
  if (deadline <= schedule_.ends_at)
    return true;
  if (arrived_at > schedule_.last_connection_at)
    return false;
  const auto estimate = EstimateFor(route);
  return estimate && now + estimate->upper_bound() <= schedule_.ends_at;
}

}  // namespace jasminepath::gateway
