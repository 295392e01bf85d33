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

// The polls of the platform: poll_facts, poll_instances and poll_vms.
enum class poll_kind { facts, instances, vms };

// One line of the fleet view.
struct instance_view {
  instance_record record;
  instance_state state = instance_state::alive;

  friend bool operator==(const instance_view&, const instance_view&) = default;
};

// Joins membership, replicated facts, readiness and shares of one instance.
// Events take the time and return the actions to be done in order. The node
// calls OnTick at NextDeadline(); nothing happens between events.
class fleet_coordinator {
 public:
  // `seeds` are mesh addresses asked while no row of an instance is known.
  fleet_coordinator(instance_record self,
                    std::vector<std::string> seeds,
                    fleet_limits limits,
                    random_engine random,
                    time_point now);
  fleet_coordinator(fleet_coordinator&&) noexcept;
  fleet_coordinator& operator=(fleet_coordinator&&) noexcept;
  ~fleet_coordinator();

  // `from` is the sender's id in the envelope.
  fleet_actions OnFleetMessage(const instance_id& from,
                               const fleet_message& message,
                               time_point now);
  fleet_actions OnVmList(const std::vector<fleet_vm>& vms, time_point now);
  // Answers poll_instances{since}; `version` is the table's at the read.
  fleet_actions OnInstanceRows(const std::vector<instance_row>& rows,
                               revision since,
                               revision version,
                               time_point now);
  // Answers poll_facts{since}.
  fleet_actions OnFactRows(const std::vector<fact>& rows,
                           revision since,
                           revision version,
                           time_point now);
  // Facts that are committed, from an operator's tool.
  fleet_actions OnPushedFacts(const std::vector<fact>& rows, time_point now);
  // A poll got no answer.
  fleet_actions OnPollFailed(poll_kind kind, time_point now);
  // Ends the write_instance or remove_instance that expected the version
  // `expected`; `version` only when committed.
  fleet_actions OnInstanceWritten(const instance_id& instance,
                                  revision expected,
                                  write_outcome end,
                                  revision version,
                                  time_point now);
  // Answers read_share; version 0 when the row is absent.
  fleet_actions OnShareRow(const team_id& team,
                           const share_record& record,
                           revision version,
                           time_point now);
  fleet_actions OnShareReadFailed(const team_id& team, time_point now);
  // Ends the commit_share that expected the version `expected`; `version` only
  // when committed.
  fleet_actions OnShareCommitted(const team_id& team,
                                 revision expected,
                                 write_outcome end,
                                 revision version,
                                 time_point now);
  // The teams of the configuration that is in force.
  fleet_actions OnConfiguration(
      const std::shared_ptr<const config::configuration>& configuration,
      time_point now);
  // The node stops: unready at once, gives back its shares. Call when the calls
  // in flight have ended; `drain_finished` or a bounded wait then ends it.
  fleet_actions OnDrain(time_point now);
  fleet_actions OnTick(time_point now);

  // Earliest time at which OnTick has something to do.
  time_point NextDeadline() const;

  bool ready() const;
  const instance_record& self() const;
  // Version of the fact under `key` that is in force here, 0 if none.
  revision FactVersion(const std::string& key) const;
  // Every fact that is in force here, in the order of keys.
  std::vector<fact> Facts() const;
  // Every commit up to this version is in force here.
  revision FactsCompleteThrough() const;
  // The registered instances that have not ended, in the order of their ids.
  std::vector<instance_view> Instances() const;
  // Whether an instance that a table row of version `named_at` names as the
  // holder of something has ended. True also for instances that ended before
  // this one started, for which there is no `instance_ended`.
  bool HasEnded(const instance_id& instance, revision named_at) const;
  // This instance's part of the team's rate now.
  int64_t SharePpm(const team_id& team) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_COORDINATOR_H_
