#ifndef JASMINEPATH_DECISION_FLEET_REGISTRATION_H_
#define JASMINEPATH_DECISION_FLEET_REGISTRATION_H_

#include <cstdint>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/fleet_action.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/write_outcome.h"

namespace jasminepath::decision {

// Manages the row of this instance. The row is written once, after the instance
// has read the other rows directly from the platform, and removed once, when
// the instance stops. A write with an unknown outcome is repeated after a
// random wait, which is safe because the write is conditional on the version of
// the row.
class registration {
 public:
  registration(instance_record self, fleet_limits limits, random_engine random);

  // Records that this instance has read all instance rows from the platform at
  // `version`.
  void OnInstancesRead(revision version);
  // Updates the row of this instance as currently known, or null if there is
  // none.
  void OnOwnRow(const instance_row* row);
  // Handles the end of the write. Returns whether the rows must be read again
  // to determine the outcome.
  bool OnWritten(write_outcome outcome, time_point now);
  void OnDrain();

  // Appends the write that is due, if there is one.
  void AppendDueWrite(time_point now, fleet_actions& actions);

  const instance_record& self() const { return self_; }
  // Whether the row is known to have been written to the table.
  bool IsRegistered() const { return row_version_ > revision(); }
  // Whether the row was in the table and has been removed.
  bool IsRemoved() const { return is_removed_; }

 private:
  instance_record self_;
  fleet_limits limits_;
  random_engine random_;
  std::optional<revision> read_version_;
  revision row_version_;
  bool is_removed_ = false;
  bool is_draining_ = false;
  std::optional<time_point> sent_at_;
  time_point not_before_{};
  duration backoff_ = duration::zero();
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_REGISTRATION_H_
