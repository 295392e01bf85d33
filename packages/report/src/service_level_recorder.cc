#include "jasminepath/report/service_level_recorder.h"

#include <algorithm>
#include <utility>

namespace jasminepath::report {

namespace {

constexpr duration kDefaultFirstByteLimit = Seconds(10);

unix_seconds AlignDown(unix_seconds time, unix_seconds width) {
  return time - time % width;
}

}  // namespace

service_level_recorder::service_level_recorder(instance_id instance) {
  log_.instance = std::move(instance);
}

void service_level_recorder::SetObjectives(
    const std::vector<config::objective>& objectives) {
  first_byte_limits_.clear();
  for (const config::objective& item : objectives)
    first_byte_limits_[{item.team, item.service}] = item.first_byte;
}

void service_level_recorder::Record(const recorded_call& call,
                                    unix_seconds now) {
  if (call.refused && !CountsAgainstServiceLevel(*call.refused))
    return;
  service_level_window& window = WindowAt(now);
  service_level& level = window.levels[call.key];
  changed_hours_.insert(AlignDown(window.start, kStoredObjectSeconds));
  ++level.total;
  if (call.refused)
    return;
  level.first_byte.Record(call.first_byte);
  if (call.first_byte <= FirstByteLimit(call.key))
    ++level.good;
}

std::vector<stored_windows> service_level_recorder::TakeChanged() {
  std::vector<stored_windows> objects;
  for (unix_seconds hour : changed_hours_) {
    service_level_log part;
    part.instance = log_.instance;
    for (const service_level_window& window : log_.windows) {
      if (AlignDown(window.start, kStoredObjectSeconds) == hour)
        part.windows.push_back(window);
    }
    objects.push_back({StoredObjectName(log_.instance, hour), ToJson(part)});
  }
  changed_hours_.clear();
  return objects;
}

void service_level_recorder::MarkUnstored(const std::string& object_name) {
  const unix_seconds hour = HourOfStoredObject(object_name);
  const bool has_windows = std::any_of(
      log_.windows.begin(), log_.windows.end(),
      [&](const service_level_window& window) {
        return AlignDown(window.start, kStoredObjectSeconds) == hour;
      });
  if (has_windows)
    changed_hours_.insert(hour);
}

service_level_window& service_level_recorder::WindowAt(unix_seconds now) {
  const unix_seconds start = AlignDown(now, kWindowSeconds);
  // If the wall clock is set back, calls are counted in the latest window.
  if (!log_.windows.empty() && log_.windows.back().start >= start)
    return log_.windows.back();
  DropOldWindows(now);
  log_.windows.push_back({start, {}});
  return log_.windows.back();
}

void service_level_recorder::DropOldWindows(unix_seconds now) {
  const unix_seconds oldest =
      AlignDown(now, kStoredObjectSeconds) - kStoredObjectSeconds;
  std::erase_if(log_.windows, [&](const service_level_window& window) {
    return window.start < oldest;
  });
  std::erase_if(changed_hours_,
                [&](unix_seconds hour) { return hour < oldest; });
}

duration service_level_recorder::FirstByteLimit(
    const service_level_key& key) const {
  const auto found = first_byte_limits_.find({key.team, key.service});
  return found == first_byte_limits_.end() ? kDefaultFirstByteLimit
                                           : found->second;
}

}  // namespace jasminepath::report
