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

// How one call of a team ended.
struct recorded_call {
  service_level_key key;
  // Why it was refused, if it was.
  std::optional<refusal_code> refused;
  // From the call's arrival to the first byte of the answer; of no meaning if
  // it was refused.
  duration first_byte{};

  friend bool operator==(const recorded_call&, const recorded_call&) = default;
};

// An object to put into the platform's object store.
struct stored_windows {
  std::string name;
  std::string body;

  friend bool operator==(const stored_windows&,
                         const stored_windows&) = default;
};

// Counts the calls of one node in windows. Keeps those of this hour and of the
// one before; older ones are in the object store. Thread-compatible: the caller
// serialises access.
class service_level_recorder {
 public:
  explicit service_level_recorder(instance_id instance);

  // Takes the objectives of a new configuration. They judge calls recorded
  // from now on.
  void SetObjectives(const std::vector<config::objective>& objectives);

  // Counts a call. A call without an objective is judged by a default of 10 s.
  void Record(const recorded_call& call, unix_seconds now);

  // The windows kept, for GET /admin/histograms.
  const service_level_log& log() const { return log_; }

  // One object for each hour that changed since the last call; to be put into
  // the store, replacing the earlier object of that name. Put back with
  // MarkUnstored() what could not be stored.
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
  duration AllowedFirstByte(const service_level_key& key) const;

  service_level_log log_;
  std::map<objective_key, duration> allowed_;
  std::set<unix_seconds> changed_hours_;
};

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_SERVICE_LEVEL_RECORDER_H_
