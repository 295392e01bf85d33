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

// The instance's own row: written once after the instance has read the others
// from the platform itself, removed once when it stops. Writes whose end is
// unknown are repeated after a random wait; the condition on the row's version
// makes that harmless.
class registration {
 public:
  registration(instance_record self, fleet_limits limits, random_engine random);

  // This instance has read all instance rows from the platform at `version`.
  void OnInstancesRead(revision version);
  // This instance's row as it is known now, null if none.
  void OnOwnRow(const instance_row* row);
  // Returns whether a new read of the rows is needed to settle the outcome.
  bool OnWritten(write_outcome end, time_point now);
  void OnDrain();

  // Appends the write that is due, if any.
  void AppendDueWrite(time_point now, fleet_actions& actions);

  const instance_record& self() const { return self_; }
  // The row is known to be in the table.
  bool IsRegistered() const { return row_version_ > revision(); }
  // The row was in the table and was removed.
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
