#ifndef JASMINEPATH_DECISION_FLEET_SILENCE_REPORTS_H_
#define JASMINEPATH_DECISION_FLEET_SILENCE_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/messages.h"

namespace jasminepath::decision {

// Collects reports of other nodes about silent instances to which this node has
// no link. A report that is not repeated expires, and each report is forwarded
// over a bounded number of hops. A report therefore disappears once no node
// originates it any more.
class silence_reports {
 public:
  static constexpr int64_t kMaxHops = 4;
  static constexpr std::size_t kMaxReports = 16;

  explicit silence_reports(duration lifetime);

  void OnReports(const std::vector<silent_report>& reports, time_point now);
  void DropExpired(time_point now);

  bool Contains(const instance_id& instance) const;
  // The reports to forward in this node's heartbeats, at most `kMaxReports`.
  std::vector<silent_report> ToForward() const;

 private:
  // The report received over the fewest hops.
  struct received_report {
    int64_t hops = 0;
    time_point at{};

    friend bool operator==(const received_report&,
                           const received_report&) = default;
  };

  duration lifetime_;
  std::map<instance_id, received_report> reports_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SILENCE_REPORTS_H_
