#ifndef JASMINEPATH_DECISION_FLEET_MESSAGES_H_
#define JASMINEPATH_DECISION_FLEET_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/versioned_row.h"

namespace jasminepath::decision {

// Introduces the sender to a node that may not know the sender's row. It is
// sent when a link opens and until the receiver's heartbeats echo a heartbeat
// of the sender.
struct hello_message {
  instance_record sender;

  friend bool operator==(const hello_message&, const hello_message&) = default;
};

// A summary of a replicated set of rows. Equal hashes mean equal rows.
struct store_digest {
  // Every commit up to this version is reflected in the set.
  revision reflects_through;
  // The highest version of any change that the set reflects. Changes between
  // `reflects_through` and this version may be missing.
  revision highest;
  // The holder can list only changes after this version. It answers requests
  // for older changes with a full snapshot.
  revision changes_after;
  // A hash of the keys and versions of all rows that are not deleted.
  uint64_t hash = 0;

  friend bool operator==(const store_digest&, const store_digest&) = default;
};

// Reports an instance from which some node has received nothing on its link.
// `hops` is 0 at that node and increases by one each time a node forwards the
// report.
struct silent_report {
  instance_id instance;
  int64_t hops = 0;

  friend bool operator==(const silent_report&, const silent_report&) = default;
};

// Sent on every link once per heartbeat period, and earlier if the sender's
// rows have changed.
struct heartbeat_message {
  // Increases with each heartbeat on this link.
  int64_t sequence = 0;
  // The highest sequence that the sender has received from the receiver, or 0
  // if it has received none.
  int64_t echo = 0;
  store_digest facts;
  store_digest instances;
  // The time since the platform last confirmed the sender's rows, directly or
  // through other nodes. Empty if it never has.
  std::optional<duration> platform_age;
  std::vector<silent_report> silent;
  // Whether the sender chose this link. A link that neither end chose is
  // dropped.
  bool chosen = false;

  friend bool operator==(const heartbeat_message&,
                         const heartbeat_message&) = default;
};

// Identifies a replicated set of rows.
enum class row_topic { facts, instances };

// Requests the rows that the sender lacks.
struct row_request {
  row_topic topic = row_topic::facts;
  // The sender has received every change up to this version.
  revision since;
  // Set while the sender is receiving a snapshot: it already has the rows of
  // the snapshot up to this version.
  std::optional<revision> snapshot_cursor;

  friend bool operator==(const row_request&, const row_request&) = default;
};

// One page of the answer to a `row_request`, ordered by version. A page of
// changes holds every row written after `since` up to `through`, including
// deletions. A page of a snapshot holds the rows after the cursor, and the
// deletions that the holder still remembers. Both may also hold rows newer than
// `through`.
template <typename Value>
struct row_page {
  revision since;
  revision through;
  bool snapshot = false;
  // Whether this is the last page of the answer.
  bool last = true;
  std::vector<versioned_row<Value>> rows;

  friend bool operator==(const row_page&, const row_page&) = default;
};

using fact_page = row_page<std::string>;
using instance_page = row_page<instance_record>;

// Announces that the sender is stopping and has given up everything it held.
struct goodbye_message {
  friend bool operator==(const goodbye_message&,
                         const goodbye_message&) = default;
};

// Asks the holder of a large part of a team's rate to transfer what exceeds
// `keep_ppm` to the sender.
struct share_request {
  team_id team;
  int64_t keep_ppm = 0;

  friend bool operator==(const share_request&, const share_request&) = default;
};

// Notifies the receiver of its part of a team's rate in the committed row of
// this version.
struct share_notice {
  team_id team;
  revision version;
  int64_t ppm = 0;

  friend bool operator==(const share_notice&, const share_notice&) = default;
};

// A message between the fleet coordinators of two nodes.
using fleet_message = std::variant<hello_message,
                                   heartbeat_message,
                                   row_request,
                                   fact_page,
                                   instance_page,
                                   goodbye_message,
                                   share_request,
                                   share_notice>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_MESSAGES_H_
