#ifndef JASMINEPATH_DECISION_FLEET_FLEET_ACTION_H_
#define JASMINEPATH_DECISION_FLEET_FLEET_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/fleet/share_record.h"
#include "jasminepath/decision/fleet/versioned_row.h"

namespace jasminepath::decision {

// A peer and its mesh address. The id is empty for a seed address whose
// instance is not yet known.
struct peer_link {
  instance_id instance;
  std::string address;

  friend bool operator==(const peer_link&, const peer_link&) = default;
};

// Sends a message over the link to `peer`. Delivery is not guaranteed.
struct send_fleet_message {
  peer_link peer;
  fleet_message message;

  friend bool operator==(const send_fleet_message&,
                         const send_fleet_message&) = default;
};

// Keeps links to exactly these peers: opens missing links and closes all
// others.
struct set_links {
  std::vector<peer_link> peers;

  friend bool operator==(const set_links&, const set_links&) = default;
};

// Replaces the connection to a peer that has stopped responding.
struct redial_link {
  peer_link peer;

  friend bool operator==(const redial_link&, const redial_link&) = default;
};

// Reads the rows under "fact/" that changed after `since`. The result is passed
// to OnFactRows or OnPollFailed.
struct poll_facts {
  revision since;

  friend bool operator==(const poll_facts&, const poll_facts&) = default;
};

// Reads the rows under "instance/" that changed after `since`. The result is
// passed to OnInstanceRows or OnPollFailed.
struct poll_instances {
  revision since;

  friend bool operator==(const poll_instances&,
                         const poll_instances&) = default;
};

// Reads the platform's VM list. The result is passed to OnVmList or
// OnPollFailed.
struct poll_vms {
  friend bool operator==(const poll_vms&, const poll_vms&) = default;
};

// Writes an instance's row if the row has the version `expected` (0: the row is
// absent). The result is passed to OnInstanceWritten.
struct write_instance {
  instance_record record;
  revision expected;

  friend bool operator==(const write_instance&,
                         const write_instance&) = default;
};

// Deletes an instance's row if the row has the version `expected`. The result
// is passed to OnInstanceWritten.
struct remove_instance {
  instance_id instance;
  revision expected;

  friend bool operator==(const remove_instance&,
                         const remove_instance&) = default;
};

// Writes a team's share row if the row has the version `expected` (0: the row
// is absent). The result is passed to OnShareCommitted. The node must not retry
// the write: the share manager retries it.
struct commit_share {
  team_id team;
  share_record record;
  revision expected;

  friend bool operator==(const commit_share&, const commit_share&) = default;
};

// Reads a team's share row. The result is passed to OnShareRow or
// OnShareReadFailed.
struct read_share {
  team_id team;

  friend bool operator==(const read_share&, const read_share&) = default;
};

// Puts a fact into force on this node. The versions applied for a key only
// increase.
struct apply_fact {
  fact changed;

  friend bool operator==(const apply_fact&, const apply_fact&) = default;
};

// Reports that the instance has ended, so others may take over its shares and
// other holdings.
struct instance_ended {
  instance_id instance;

  friend bool operator==(const instance_ended&,
                         const instance_ended&) = default;
};

// Reports that no messages arrive from the instance. Its process may still be
// running.
struct instance_suspected {
  instance_id instance;

  friend bool operator==(const instance_suspected&,
                         const instance_suspected&) = default;
};

// Reports the registered instances that are neither ended nor suspected,
// ordered by id. The list includes this instance.
struct peers_changed {
  std::vector<instance_id> live;

  friend bool operator==(const peers_changed&, const peers_changed&) = default;
};

// Sets the part of the team's rate and burst that this instance may admit from
// now on. `version` is the version of the share row that grants this part.
struct share_changed {
  team_id team;
  int64_t ppm = 0;
  revision version;

  friend bool operator==(const share_changed&, const share_changed&) = default;
};

// Reports whether the node may accept calls. If it may not, its refusals carry
// `code`.
struct readiness_changed {
  bool ready = false;
  refusal_code code = refusal_code::isolated;

  friend bool operator==(const readiness_changed&,
                         const readiness_changed&) = default;
};

// Reports that other instances have recorded the end of this instance. It must
// stop acting and its process must exit.
struct instance_fenced {
  friend bool operator==(const instance_fenced&,
                         const instance_fenced&) = default;
};

// Reports that the drain started by OnDrain is complete: the instance has given
// up its shares and has no row in the table, or the drain timeout has passed.
struct drain_finished {
  friend bool operator==(const drain_finished&,
                         const drain_finished&) = default;
};

// An action that the fleet coordinator requests from the node.
using fleet_action = std::variant<send_fleet_message,
                                  set_links,
                                  redial_link,
                                  poll_facts,
                                  poll_instances,
                                  poll_vms,
                                  write_instance,
                                  remove_instance,
                                  commit_share,
                                  read_share,
                                  apply_fact,
                                  instance_ended,
                                  instance_suspected,
                                  peers_changed,
                                  share_changed,
                                  readiness_changed,
                                  instance_fenced,
                                  drain_finished>;

// The actions that result from one event, to be performed in order.
using fleet_actions = std::vector<fleet_action>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_ACTION_H_
