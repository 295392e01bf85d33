#include "jasminepath/decision/fleet/silence_reports.h"

namespace jasminepath::decision {

silence_reports::silence_reports(duration lifetime) : lifetime_(lifetime) {}

void silence_reports::OnReports(const std::vector<silent_report>& reports,
                                time_point now) {
  for (const silent_report& report : reports) {
    if (report.hops >= kMaxHops)
      continue;
    const auto [entry, added] = reports_.emplace(
        report.instance, received_report{.hops = report.hops, .at = now});
    if (!added && report.hops <= entry->second.hops)
      entry->second = {.hops = report.hops, .at = now};
  }
}

void silence_reports::DropExpired(time_point now) {
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.at > lifetime_;
  });
}

bool silence_reports::Contains(const instance_id& instance) const {
  return reports_.contains(instance);
}

std::vector<silent_report> silence_reports::ToForward() const {
  std::vector<silent_report> forwarded;
  for (const auto& [instance, received] : reports_) {
    if (forwarded.size() == kMaxReports)
      break;
    forwarded.push_back({.instance = instance, .hops = received.hops + 1});
  }
  return forwarded;
}

}  // namespace jasminepath::decision
