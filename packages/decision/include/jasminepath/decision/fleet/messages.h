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

// Introduces the sender to a node that may not know its row. Sent when a link
// opens and until the receiver's heartbeats echo the sender.
struct hello_message {
  instance_record sender;

  friend bool operator==(const hello_message&, const hello_message&) = default;
};

// Summary of a replicated set of rows. Equal hashes mean the same rows.
struct store_digest {
  // Every commit up to this version is reflected in the set.
  revision reflects_through;
  // Highest version of any change that the set reflects; changes between
  // `reflects_through` and this may be missing.
  revision highest;
  // The holder can list changes only after this version; asked for older ones
  // it sends a whole snapshot.
  revision changes_after;
  // Over keys and versions of the rows that are there.
  uint64_t hash = 0;

  friend bool operator==(const store_digest&, const store_digest&) = default;
};

// An instance that some node has not heard on its link. `hops` is 0 from that
// node and rises by one with each node that passes it on.
struct silent_report {
  instance_id instance;
  int64_t hops = 0;

  friend bool operator==(const silent_report&, const silent_report&) = default;
};

// Sent on every link once per heartbeat period, and at once when the sender's
// rows have changed.
struct heartbeat_message {
  // Rises with each heartbeat on this link.
  int64_t sequence = 0;
  // Highest sequence received from the receiver; 0 if none.
  int64_t echo = 0;
  store_digest facts;
  store_digest instances;
  // Time since the sender's rows were last confirmed by the platform, itself or
  // through others; none if never.
  std::optional<duration> platform_age;
  std::vector<silent_report> silent;
  // Whether the sender chose this link; one chosen by neither end is dropped.
  bool chosen = false;

  friend bool operator==(const heartbeat_message&,
                         const heartbeat_message&) = default;
};

// The replicated sets of rows.
enum class row_topic { facts, instances };

// Asks for the rows that the sender lacks.
struct row_request {
  row_topic topic = row_topic::facts;
  // The sender has seen every change up to here.
  revision since;
  // Set while the sender takes a whole snapshot: rows up to this version have
  // come already.
  std::optional<revision> snapshot_cursor;

  friend bool operator==(const row_request&, const row_request&) = default;
};

// Part of the answer to a `row_request`, in the order of versions. A change
// page holds every row written after `since` up to `through`, deletions
// included; a snapshot page holds the rows after the cursor, with the
// deletions that are remembered. Rows beyond `through` may be added.
template <typename Value>
struct row_page {
  revision since;
  revision through;
  bool snapshot = false;
  // Whether the answer is whole with this page.
  bool last = true;
  std::vector<versioned_row<Value>> rows;

  friend bool operator==(const row_page&, const row_page&) = default;
};

using fact_page = row_page<std::string>;
using instance_page = row_page<instance_record>;

// The sender stops now and has given back what it held.
struct goodbye_message {
  friend bool operator==(const goodbye_message&,
                         const goodbye_message&) = default;
};

// Asks the holder of a large part of a team's rate to hand over what it has
// beyond `keep_ppm`.
struct share_request {
  team_id team;
  int64_t keep_ppm = 0;

  friend bool operator==(const share_request&, const share_request&) = default;
};

// Tells the receiver its part of a team's rate in a committed row.
struct share_notice {
  team_id team;
  revision version;
  int64_t ppm = 0;

  friend bool operator==(const share_notice&, const share_notice&) = default;
};

// What the fleet duties of two nodes say to each other.
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
