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

// The mesh address of a peer. The id is empty for a seed whose instance is not
// known yet.
struct peer_link {
  instance_id instance;
  std::string address;

  friend bool operator==(const peer_link&, const peer_link&) = default;
};

// Send a message over the link to `peer`; it may be lost.
struct send_fleet_message {
  peer_link peer;
  fleet_message message;

  friend bool operator==(const send_fleet_message&,
                         const send_fleet_message&) = default;
};

// Keep links to exactly these peers.
struct set_links {
  std::vector<peer_link> peers;

  friend bool operator==(const set_links&, const set_links&) = default;
};

// Replace the connection to a peer, which has gone silent.
struct redial_link {
  peer_link peer;

  friend bool operator==(const redial_link&, const redial_link&) = default;
};

// Read the rows under "fact/" changed after `since`; answer with OnFactRows or
// OnPollFailed.
struct poll_facts {
  revision since;

  friend bool operator==(const poll_facts&, const poll_facts&) = default;
};

// Read the rows under "instance/"; answer with OnInstanceRows or OnPollFailed.
struct poll_instances {
  revision since;

  friend bool operator==(const poll_instances&,
                         const poll_instances&) = default;
};

// Read the platform's VM list; answer with OnVmList or OnPollFailed.
struct poll_vms {
  friend bool operator==(const poll_vms&, const poll_vms&) = default;
};

// Write an instance's row if it has the version `expected` (0: absent); answer
// with OnInstanceWritten.
struct write_instance {
  instance_record record;
  revision expected;

  friend bool operator==(const write_instance&,
                         const write_instance&) = default;
};

// Delete an instance's row if it has the version `expected`; answer with
// OnInstanceWritten.
struct remove_instance {
  instance_id instance;
  revision expected;

  friend bool operator==(const remove_instance&,
                         const remove_instance&) = default;
};

// Write a team's share row if it has the version `expected` (0: absent); answer
// with OnShareCommitted. Never repeat it: the keeper does so itself.
struct commit_share {
  team_id team;
  share_record record;
  revision expected;

  friend bool operator==(const commit_share&, const commit_share&) = default;
};

// Read a team's share row; answer with OnShareRow or OnShareReadFailed.
struct read_share {
  team_id team;

  friend bool operator==(const read_share&, const read_share&) = default;
};

// A fact has come into force on this node; versions of a key only rise.
struct apply_fact {
  fact changed;

  friend bool operator==(const apply_fact&, const apply_fact&) = default;
};

// The instance is known to have ended; what it held may be taken over.
struct instance_ended {
  instance_id instance;

  friend bool operator==(const instance_ended&,
                         const instance_ended&) = default;
};

// The instance has gone silent; it may still run.
struct instance_suspected {
  instance_id instance;

  friend bool operator==(const instance_suspected&,
                         const instance_suspected&) = default;
};

// The registered instances that are neither ended nor suspected, this one
// included, in the order of their ids.
struct peers_changed {
  std::vector<instance_id> live;

  friend bool operator==(const peers_changed&, const peers_changed&) = default;
};

// This instance may admit this part of the team's rate and burst from now on.
// The version is that of the row that it stands on.
struct share_changed {
  team_id team;
  int64_t ppm = 0;
  revision version;

  friend bool operator==(const share_changed&, const share_changed&) = default;
};

// Whether the node may take calls; if not, `code` says what refusals give.
struct readiness_changed {
  bool ready = false;
  refusal_code code = refusal_code::isolated;

  friend bool operator==(const readiness_changed&,
                         const readiness_changed&) = default;
};

// Others have recorded that this instance has ended: it must stop acting and
// its process must end.
struct instance_fenced {
  friend bool operator==(const instance_fenced&,
                         const instance_fenced&) = default;
};

// After OnDrain: everything held is given back and the row is removed.
struct drain_finished {
  friend bool operator==(const drain_finished&,
                         const drain_finished&) = default;
};

// What the fleet coordinator asks of the node, to be done in order.
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

// Actions of one event, in order.
using fleet_actions = std::vector<fleet_action>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_FLEET_ACTION_H_
