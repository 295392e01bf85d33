#ifndef JASMINEPATH_REPORT_SERVICE_LEVEL_RECORDER_H_
#define JASMINEPATH_REPORT_SERVICE_LEVEL_RECORDER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/report/service_level.h"

namespace jasminepath::report {

// The result of one call of a team.
struct recorded_call {
  service_level_key key;
  // Why the call was refused; not set if it was served.
  std::optional<refusal_code> refused;
  // Time from the call's arrival to the first byte of the response; undefined
  // for refused calls.
  duration first_byte{};

  friend bool operator==(const recorded_call&, const recorded_call&) = default;
};

// An object to write to the platform's object store.
struct stored_windows {
  std::string name;
  std::string body;

  friend bool operator==(const stored_windows&,
                         const stored_windows&) = default;
};

// Counts the calls of one node in windows. Keeps the windows of the current and
// the previous hour; older ones are in the object store. Not thread-safe.
class service_level_recorder {
 public:
  explicit service_level_recorder(instance_id instance);

  // Sets the objectives of a new configuration. They apply to calls that are
  // recorded afterwards.
  void SetObjectives(const std::vector<config::objective>& objectives);

  // Counts a call. If the call has no objective, it is good if its first byte
  // arrives within 10 s.
  void Record(const recorded_call& call, unix_seconds now);

  // The retained windows, for GET /admin/histograms.
  const service_level_log& log() const { return log_; }

  // Returns an object for each hour that changed since the last call. The
  // caller writes each to the store, replacing the object of the same name,
  // and calls MarkUnstored() for each write that fails.
  std::vector<stored_windows> TakeChanged();
  void MarkUnstored(const std::string& object_name);

 private:
  struct objective_key {
    team_id team;
    service_id service;
    friend auto operator<=>(const objective_key&,
                            const objective_key&) = default;
  };

  service_level_window& WindowAt(unix_seconds now);
  void DropOldWindows(unix_seconds now);
  duration FirstByteLimit(const service_level_key& key) const;

  service_level_log log_;
  std::map<objective_key, duration> first_byte_limits_;
  std::set<unix_seconds> changed_hours_;
};

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_SERVICE_LEVEL_RECORDER_H_
