#ifndef JASMINEPATH_DECISION_FLEET_FLEET_COORDINATOR_H_
#define JASMINEPATH_DECISION_FLEET_FLEET_COORDINATOR_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/fleet/fleet_action.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/fleet_vm.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/membership.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/fleet/share_record.h"
#include "jasminepath/decision/fleet/versioned_row.h"
#include "jasminepath/decision/fleet/write_outcome.h"

namespace jasminepath::decision {

// The kinds of platform polls: poll_facts, poll_instances and poll_vms.
enum class poll_kind { facts, instances, vms };

// One instance as shown in the fleet view.
struct instance_view {
  instance_record record;
  instance_state state = instance_state::alive;

  friend bool operator==(const instance_view&, const instance_view&) = default;
};

// Coordinates the membership, replicated facts, readiness and team shares of
// one instance. Each event takes the current time and returns the actions that
// the node must perform in order. The node calls OnTick at NextDeadline(); the
// coordinator does nothing between events.
class fleet_coordinator {
 public:
  // `seeds` are mesh addresses that receive a hello while this instance has no
  // links.
  fleet_coordinator(instance_record self,
                    std::vector<std::string> seeds,
                    fleet_limits limits,
                    random_engine random,
                    time_point now);
  fleet_coordinator(fleet_coordinator&&) noexcept;
  fleet_coordinator& operator=(fleet_coordinator&&) noexcept;
  ~fleet_coordinator();

  // `from` is the sender's id from the message envelope.
  fleet_actions OnFleetMessage(const instance_id& from,
                               const fleet_message& message,
                               time_point now);
  fleet_actions OnVmList(const std::vector<fleet_vm>& vms, time_point now);
  // Handles the result of poll_instances{since}. `version` is the version of
  // the table when it was read.
  fleet_actions OnInstanceRows(const std::vector<instance_row>& rows,
                               revision since,
                               revision version,
                               time_point now);
  // Handles the result of poll_facts{since}.
  fleet_actions OnFactRows(const std::vector<fact>& rows,
                           revision since,
                           revision version,
                           time_point now);
  // Handles committed facts that an operator's tool pushed to this node.
  fleet_actions OnPushedFacts(const std::vector<fact>& rows, time_point now);
  // Handles a poll that got no answer.
  fleet_actions OnPollFailed(poll_kind kind, time_point now);
  // Handles the end of the write_instance or remove_instance that expected the
  // version `expected`. `version` is set only if the write was committed.
  fleet_actions OnInstanceWritten(const instance_id& instance,
                                  revision expected,
                                  write_outcome outcome,
                                  revision version,
                                  time_point now);
  // Handles the result of read_share. `version` is 0 if the row is absent.
  fleet_actions OnShareRow(const team_id& team,
                           const share_record& record,
                           revision version,
                           time_point now);
  fleet_actions OnShareReadFailed(const team_id& team, time_point now);
  // Handles the end of the commit_share that expected the version `expected`.
  // `version` is set only if the write was committed.
  fleet_actions OnShareCommitted(const team_id& team,
                                 revision expected,
                                 write_outcome outcome,
                                 revision version,
                                 time_point now);
  // Updates the set of teams from the configuration that is in force.
  fleet_actions OnConfiguration(
      const std::shared_ptr<const config::configuration>& configuration,
      time_point now);
  // Starts to drain the node: the node becomes unready immediately and gives up
  // its shares. Call this after the calls in flight have ended. The drain ends
  // with `drain_finished`, at the latest after a bounded time.
  fleet_actions OnDrain(time_point now);
  fleet_actions OnTick(time_point now);

  // The time at which OnTick must be called next.
  time_point NextDeadline() const;

  bool ready() const;
  const instance_record& self() const;
  // The version of the fact under `key` that is in force on this node, or 0 if
  // there is none.
  revision FactVersion(const std::string& key) const;
  // All facts that are in force on this node, ordered by key.
  std::vector<fact> Facts() const;
  // Every commit up to this version is in force on this node.
  revision FactsCompleteThrough() const;
  // The registered instances that have not ended, ordered by id.
  std::vector<instance_view> Instances() const;
  // Whether `instance` has ended, given that a table row of version `named_at`
  // names it as the holder of some resource. This also returns true for
  // instances that ended before this instance started, for which no
  // `instance_ended` is reported.
  bool HasEnded(const instance_id& instance, revision named_at) const;
  // The current part of this instance in the team's rate, in parts per million.
  int64_t SharePpm(const team_id& team) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_COORDINATOR_H_
