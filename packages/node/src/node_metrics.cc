#include "node_metrics.h"

#include <sstream>
#include <utility>

namespace jasminepath::node {

node_metrics::node_metrics(instance_id self) : self_(std::move(self)) {}

void node_metrics::Record(const call_outcome& outcome, time_point) {
  const std::string name = outcome.refused
                               ? std::string(ToString(*outcome.refused))
                               : std::string("served");
  const std::lock_guard lock(mutex_);
  ++calls_[{outcome.team, outcome.service, name}];
}

std::string node_metrics::MetricsPage() const {
  std::ostringstream out;
  out << "# TYPE jasminepath_calls_total counter\n";
  const std::lock_guard lock(mutex_);
  for (const auto& [key, count] : calls_) {
    out << "jasminepath_calls_total{team=\"" << key.team << "\",service=\""
        << key.service << "\",outcome=\"" << key.outcome << "\"} " << count
        << "\n";
  }
  return out.str();
}

std::string node_metrics::HistogramsPage() const {
  return "{}";
}

}  // namespace jasminepath::node
