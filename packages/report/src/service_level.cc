#include "jasminepath/report/service_level.h"

#include <charconv>
#include <utility>

namespace jasminepath::report {

namespace {

using config::json_error;
using config::json_value;

// Maximum count in a window; sums over all windows of all nodes fit into 64
// bits.
constexpr int64_t kMaxCount = int64_t{1} << 40;

json_value WriteLevel(const service_level_key& key,
                      const service_level& level) {
  return json_value(
      json_value::object{{"team", json_value(key.team.value())},
                         {"service", json_value(key.service.value())},
                         {"route", json_value(key.route)},
                         {"total", json_value(level.total)},
                         {"good", json_value(level.good)},
                         {"first_byte", ToJson(level.first_byte)}});
}

json_value WriteWindow(const service_level_window& window) {
  json_value levels{json_value::array()};
  for (const auto& [key, level] : window.levels)
    levels.Append("", WriteLevel(key, level));
  return json_value(json_value::object{{"start", json_value(window.start)},
                                       {"levels", std::move(levels)}});
}

result<service_level, json_error> ReadLevel(const json_value& value) {
  const json_value* buckets = value.Find("first_byte");
  if (buckets == nullptr)
    return failure(json_error{"first_byte is missing"});
  auto histogram = HistogramFromJson(*buckets);
  if (!histogram)
    return failure(histogram.error());
  service_level level;
  level.total = value.IntegerOr("total", -1);
  level.good = value.IntegerOr("good", -1);
  level.first_byte = std::move(histogram).value();
  if (level.good < 0 || level.total < level.good || level.total > kMaxCount)
    return failure(json_error{"good or total is not a valid count"});
  return level;
}

result<service_level_window, json_error> ReadWindow(const json_value& value) {
  service_level_window window;
  window.start = value.IntegerOr("start", -1);
  if (window.start < 0 || window.start % kWindowSeconds != 0)
    return failure(json_error{"start is not aligned to a window"});
  const json_value* levels = value.Find("levels");
  if (levels == nullptr || levels->AsArray() == nullptr)
    return failure(json_error{"levels is not an array"});
  for (const json_value& item : *levels->AsArray()) {
    auto level = ReadLevel(item);
    if (!level)
      return failure(level.error());
    const service_level_key key = {team_id(item.StringOr("team", "")),
                                   service_id(item.StringOr("service", "")),
                                   item.StringOr("route", "")};
    window.levels[key].Merge(level.value());
  }
  return window;
}

}  // namespace

void service_level::Merge(const service_level& other) {
  total += other.total;
  good += other.good;
  first_byte.Merge(other.first_byte);
}

bool CountsAgainstServiceLevel(refusal_code code) {
  switch (code) {
    case refusal_code::bad_request:
    case refusal_code::unauthenticated:
    case refusal_code::forbidden:
    case refusal_code::not_found:
    case refusal_code::too_large:
    case refusal_code::idempotency_clash:
    case refusal_code::rate_limited:
    case refusal_code::quarantined:
    case refusal_code::key_withdrawn:
      return false;
    case refusal_code::outcome_unknown:
    case refusal_code::queue_full:
    case refusal_code::no_endpoint:
    case refusal_code::cannot_meet_deadline:
    case refusal_code::deadline_exceeded:
    case refusal_code::platform_unavailable:
    case refusal_code::isolated:
    case refusal_code::shutting_down:
    case refusal_code::endpoint_failed:
    case refusal_code::internal_error:
      return true;
  }
  return true;
}

std::string ToJson(const service_level_log& log) {
  json_value windows{json_value::array()};
  for (const service_level_window& window : log.windows)
    windows.Append("", WriteWindow(window));
  return config::WriteJson(json_value(
      json_value::object{{"instance", json_value(log.instance.value())},
                         {"windows", std::move(windows)}}));
}

result<service_level_log, json_error> ServiceLevelLogFromJson(
    const std::string& json) {
  const auto document = config::ParseJson(json);
  if (!document)
    return failure(document.error());
  service_level_log log;
  log.instance = instance_id(document.value().StringOr("instance", ""));
  const json_value* windows = document.value().Find("windows");
  if (log.instance.empty() || windows == nullptr ||
      windows->AsArray() == nullptr)
    return failure(json_error{"instance or windows is missing"});
  for (const json_value& item : *windows->AsArray()) {
    auto window = ReadWindow(item);
    if (!window)
      return failure(window.error());
    log.windows.push_back(std::move(window).value());
  }
  return log;
}

std::string StoredObjectName(const instance_id& instance, unix_seconds hour) {
  return kStoredObjectPrefix + instance.value() + "/" + std::to_string(hour);
}

unix_seconds HourOfStoredObject(const std::string& name) {
  const std::size_t slash = name.rfind('/');
  if (slash == std::string::npos)
    return -1;
  unix_seconds hour = -1;
  const char* end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + slash + 1, end, hour);
  return parsed.ec == std::errc() && parsed.ptr == end ? hour : -1;
}

}  // namespace jasminepath::report
