#include "node_metrics.h"

#include <chrono>
#include <utility>

#include "jasminepath/report/metrics_text.h"

namespace jasminepath::node {
namespace {

report::unix_seconds UnixNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

}  // namespace

node_metrics::node_metrics(instance_id self) : recorder_(std::move(self)) {}

void node_metrics::Record(const call_outcome& outcome) {
  const std::string name = outcome.refused
                               ? std::string(ToString(*outcome.refused))
                               : std::string("served");
  report::recorded_call call;
  call.key = {outcome.team, outcome.service, outcome.route};
  call.refused = outcome.refused;
  call.first_byte = outcome.first_byte.value_or(outcome.total);
  const std::lock_guard lock(mutex_);
  ++calls_[{outcome.team, outcome.service, name}];
  if (!outcome.refused)
    first_bytes_[outcome.service].Record(call.first_byte);
  recorder_.Record(call, UnixNow());
}

void node_metrics::SetObjectives(
    const std::vector<config::objective>& objectives) {
  const std::lock_guard lock(mutex_);
  recorder_.SetObjectives(objectives);
}

std::string node_metrics::MetricsPage() const {
  report::metrics_text page;
  const std::lock_guard lock(mutex_);
  for (const auto& [key, count] : calls_) {
    page.Counter("jasminepath_calls_total", "Calls that ended.",
                 {{"team", key.team.value()},
                  {"service", key.service.value()},
                  {"outcome", key.outcome}},
                 count);
  }
  for (const auto& [service, histogram] : first_bytes_) {
    page.Histogram("jasminepath_first_byte_seconds",
                   "Time to the first byte of served calls.",
                   {{"service", service.value()}}, histogram);
  }
  return page.text();
}

std::string node_metrics::HistogramsPage() const {
  const std::lock_guard lock(mutex_);
  return report::ToJson(recorder_.log());
}

std::vector<report::stored_windows> node_metrics::TakeChanged() {
  const std::lock_guard lock(mutex_);
  return recorder_.TakeChanged();
}

void node_metrics::MarkUnstored(const std::string& object_name) {
  const std::lock_guard lock(mutex_);
  recorder_.MarkUnstored(object_name);
}

}  // namespace jasminepath::node
