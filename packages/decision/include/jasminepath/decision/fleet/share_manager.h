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

// One instance's part of one team's rate. The parts are one row of the table,
// changed by conditional writes, of which at most one is outstanding. Only the
// instance itself lowers its part while it lives, and it lowers it locally
// before the write is sent; it raises it only when the row that says so is
// known to be committed. A write whose answer was lost stays pending, and its
// reduction in force, until the row is seen at a later version.
//
// Writes follow from changes of membership only: the missing row is created for
// all live instances at once, parts of ended instances are handed out by the
// instance that needs them or that ranks first, and an instance far below the
// equal part asks the largest holders, each of which hands over directly.
class share_manager {
 public:
  share_manager(team_id team,
                instance_id self,
                fleet_limits limits,
                random_engine random,
                time_point now);

  // Answers read_share; version 0 when the row is absent.
  void OnRow(const share_record& record, revision version, time_point now);
  void OnReadFailed(time_point now);
  // Ends the write that expected the version `expected`; `version` only when
  // committed.
  void OnCommitted(revision expected,
                   write_outcome end,
                   revision version,
                   time_point now);
  // A peer says what part of this instance a committed row holds.
  void OnNotice(const share_notice& notice);
  // A registered instance asks for what this one has beyond `keep_ppm`.
  void OnRequest(const instance_id& from, int64_t keep_ppm);
  // The membership has changed: the row is looked at again.
  void OnMembershipChanged(time_point now);
  // Whether the team is configured; without it nothing new is written.
  void SetActive(bool active) { is_active_ = active; }
  // Gives up the part for good, locally and at once.
  void Stop();

  // Appends what is to be done now. Call after every event and on ticks.
  void AppendActions(const membership& members,
                     time_point now,
                     fleet_actions& actions);

  // The part that this instance may use now.
  int64_t effective_ppm() const;
  // No write is outstanding.
  bool IsSettled() const { return !pending_; }

 private:
  // A write whose end is not known yet.
  struct pending_commit {
    share_record record;
    revision expected;
    int64_t own_ppm = 0;
    // Sent and not yet answered.
    bool is_in_flight = false;
    // Some copy of it may have taken effect or may still do so.
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

  // Highest version of the row that this instance's part is known at.
  revision known_version_;
  int64_t own_ppm_ = 0;
  // The latest whole row that was seen.
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
  // Parts as committed by this instance that their owners must be told of.
  std::vector<share_part> parts_to_notify_;
  std::optional<share_changed> last_emitted_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_SHARE_MANAGER_H_
