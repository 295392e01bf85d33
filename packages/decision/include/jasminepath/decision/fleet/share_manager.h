#ifndef JASMINEPATH_DECISION_FLEET_SHARE_MANAGER_H_
#define JASMINEPATH_DECISION_FLEET_SHARE_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/fleet_action.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/membership.h"
#include "jasminepath/decision/fleet/share_record.h"
#include "jasminepath/decision/fleet/write_outcome.h"

namespace jasminepath::decision {

// Manages the part of one instance in the rate of one team. The parts of all
// instances are stored in one row of the table, which is changed by conditional
// writes. At most one write is outstanding. While an instance lives, only the
// instance itself lowers its part, and it applies the reduction locally before
// it sends the write. It raises its part only once the row with the higher part
// is known to be committed. A write whose answer was lost stays pending, and
// its reduction stays in force, until a later version of the row is known.
//
// Only changes of the membership lead to writes. A missing row is created with
// parts for all live instances. The parts of ended instances are redistributed
// by an instance that is short of its share, or by the instance that ranks
// first. An instance whose part is far below the equal part sends requests to
// the largest holders, each of which transfers a part of its own with a write.
class share_manager {
 public:
  share_manager(team_id team,
                instance_id self,
                fleet_limits limits,
                random_engine random,
                time_point now);

  // Handles the result of read_share. `version` is 0 if the row is absent.
  void OnRow(const share_record& record, revision version, time_point now);
  void OnReadFailed(time_point now);
  // Handles the end of the write that expected the version `expected`.
  // `version` is set only if the write was committed.
  void OnCommitted(revision expected,
                   write_outcome outcome,
                   revision version,
                   time_point now);
  // Handles a peer's notice of this instance's part in a committed row.
  void OnNotice(const share_notice& notice);
  // Records the request of a registered instance for what this instance has
  // beyond `keep_ppm`.
  void OnRequest(const instance_id& from, int64_t keep_ppm);
  // Records a change of the membership and schedules a check of the row.
  void OnMembershipChanged(time_point now);
  // Sets whether the team is configured. No new writes are started for a team
  // that is not.
  void SetActive(bool active) { is_active_ = active; }
  // Sets the part of this instance to 0, locally, immediately and permanently.
  void Stop();

  // Appends the actions that are due. Call this after every event and on ticks.
  void AppendActions(const membership& members,
                     time_point now,
                     fleet_actions& actions);

  // The part that this instance may use now, in parts per million.
  int64_t effective_ppm() const;
  // Whether no write is outstanding.
  bool IsSettled() const { return !pending_; }

 private:
  // A write whose outcome is not yet known.
  struct pending_commit {
    share_record record;
    revision expected;
    int64_t own_ppm = 0;
    // The latest copy of the write was sent and has not been answered.
    bool is_in_flight = false;
    // Some copy of the write may have taken effect or may still do so.
    bool may_have_effect = false;
    time_point sent_at{};

    friend bool operator==(const pending_commit&,
                           const pending_commit&) = default;
  };

  void ExpireCalls(time_point now);
  void RecordRow(const share_record& record, revision version);
  void AppendActionsWhenSettled(const membership& members,
                                time_point now,
                                fleet_actions& actions);
  void ResubmitOrRead(time_point now, fleet_actions& actions);
  void StartRead(time_point now, fleet_actions& actions);
  void Submit(share_record record, time_point now, fleet_actions& actions);
  void EmitShare(fleet_actions& actions);
  void SendNotices(const membership& members, fleet_actions& actions);
  // The next three functions submit a write if one is needed. Each returns
  // whether the checks for this event are complete.
  bool CreateRecord(const membership& members,
                    time_point now,
                    fleet_actions& actions);
  bool RedistributeUnassigned(const membership& members,
                              time_point now,
                              fleet_actions& actions);
  bool GrantRequests(const membership& members,
                     time_point now,
                     fleet_actions& actions);
  void RequestMore(const membership& members,
                   time_point now,
                   fleet_actions& actions);
  std::vector<share_part> LargestHolders(const membership& members) const;
  bool IsAuditDue(const membership& members, time_point now);
  duration Jitter();

  team_id team_;
  instance_id self_;
  fleet_limits limits_;
  random_engine random_;

  // The highest version of the row for which this instance's part is known.
  revision known_version_;
  int64_t own_ppm_ = 0;
  // The latest complete row that was read or written.
  std::optional<share_record> record_;
  revision record_version_;

  std::optional<pending_commit> pending_;
  std::optional<time_point> reading_since_;
  bool needs_read_ = true;
  bool is_stopped_ = false;
  bool is_active_ = true;
  time_point not_before_{};
  time_point next_audit_{};
  duration read_backoff_ = duration::zero();
  duration request_backoff_ = duration::zero();
  time_point membership_changed_at_{};
  std::map<instance_id, int64_t> requests_;
  // Raised parts in a row that this instance committed, of which their owners
  // have not yet been notified.
  std::vector<share_part> parts_to_notify_;
  std::optional<share_changed> last_emitted_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SHARE_MANAGER_H_
