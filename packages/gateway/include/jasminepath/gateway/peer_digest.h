#ifndef JASMINEPATH_GATEWAY_PEER_DIGEST_H_
#define JASMINEPATH_GATEWAY_PEER_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// Usual interval of digests; one is sent at once when a call begins to wait for
// a model.
inline constexpr duration kDigestInterval = Milliseconds(300);
// A node that has not reported for this long counts for no running or waiting
// requests any more.
inline constexpr duration kReportHolds = Seconds(3);
// Nodes that have to find an endpoint unreachable, so that one that is cut off
// does not speak for all.
inline constexpr int64_t kReportersNeeded = 2;

// Tokens of a team that one node has let through since it started.
struct team_use {
  team_id team;
  int64_t tokens = 0;

  friend bool operator==(const team_use&, const team_use&) = default;
};

// Requests of one node that run at an endpoint.
struct endpoint_use {
  endpoint_id endpoint;
  // Empty for a plain service.
  model_id model;
  int64_t running = 0;

  friend bool operator==(const endpoint_use&, const endpoint_use&) = default;
};

// What the callers of one node ask of a model, or of an adapter of it.
struct model_use {
  model_id model;
  adapter_id adapter;
  // Requests that wait because nothing ready serves them.
  int64_t waiting = 0;
  // Requests that have come since the node started.
  int64_t arrivals = 0;

  friend bool operator==(const model_use&, const model_use&) = default;
};

// How often a request has ended the connection of the endpoint that ran it.
struct crash_count {
  uint64_t fingerprint = 0;
  int64_t crashes = 0;

  friend bool operator==(const crash_count&, const crash_count&) = default;
};

// What a node tells its peers of itself, several times a second, or what one
// node of a zone tells other zones of all nodes of its own. Each digest stands
// for itself, so that a lost one does no harm.
struct peer_digest {
  // The node, or for a whole zone a name of its own.
  vm_id node;
  zone_id zone;
  // Its processor in thousandths of a core.
  int64_t processor = 0;
  // Nodes that it speaks for.
  int64_t nodes = 1;
  // Speaks for a zone.
  bool whole_zone = false;
  // Drawn at each start of the process.
  uint64_t incarnation = 0;
  // Rises with each digest of an incarnation.
  uint64_t sequence = 0;
  // Until its next digest at the latest, in milliseconds.
  int64_t interval_ms = ToMilliseconds(kDigestInterval);
  // IP:PORT of its facts.
  std::string facts_address;
  // Versions of the last change of the configuration and of the endpoint list
  // that it knows.
  int64_t site_change = 0;
  int64_t endpoints_change = 0;
  // The holder of the placement authority if it is one of its nodes, the
  // fencing token, and the version of the authority's row; else empty and 0.
  vm_id authority_holder;
  int64_t authority_epoch = 0;
  int64_t authority_version = 0;
  std::vector<team_use> teams;
  std::vector<endpoint_use> endpoints;
  std::vector<model_use> models;
  // Endpoints that take no connection from it; for a zone, from two nodes or
  // more of it.
  std::vector<endpoint_id> unreachable;
  std::vector<crash_count> crashes;
  // Says what is asked for and which models run, which only the placement
  // holder and a zone's speaker need; else see WithoutDemand().
  bool has_demand = true;
  // The process is about to end.
  bool leaving = false;

  friend bool operator==(const peer_digest&, const peer_digest&) = default;
};

// The digest as it goes to the nodes that do not place models: running requests
// by endpoint alone, and nothing of what is asked for.
peer_digest WithoutDemand(const peer_digest& digest);

// How an engine's readiness for a model or adapter changes.
enum class load_change { loading, ready, closing };

// The placement authority's word on a model or adapter of an engine, ahead of
// the list of endpoints.
struct load_notice {
  int64_t authority_epoch = 0;
  endpoint_id endpoint;
  model_id model;
  adapter_id adapter;
  load_change change = load_change::ready;
  // Time until a load is expected to be complete.
  int64_t ready_in_ms = 0;

  friend bool operator==(const load_notice&, const load_notice&) = default;
};

// A row of a table that has changed.
struct changed_row {
  std::string key;
  std::string value;
  int64_t version = 0;
  bool removed = false;

  friend bool operator==(const changed_row&, const changed_row&) = default;
};

// Changes of a table that one node has read and others lack.
struct table_changes {
  std::string table;
  // IP:PORT of the facts of the node that has read them.
  std::string facts_address;
  // Version of the last change before these, of the last of these, and as of
  // which the table is complete with them.
  int64_t previous_change = 0;
  int64_t last_change = 0;
  int64_t complete_to = 0;
  // The rows are all that the table has.
  bool whole = false;
  // In the order of their versions; empty if they are too large for a datagram
  // and have to be fetched.
  std::vector<changed_row> rows;

  friend bool operator==(const table_changes&, const table_changes&) = default;
};

using peer_message = std::variant<peer_digest, load_notice, table_changes>;

// A message as it travels.
struct peer_envelope {
  peer_message message;
  // The node that began to spread it in its zone, whose receivers pass it on;
  // empty if it was sent to them alone.
  vm_id spread_by;

  friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

// Bytes of one datagram.
std::string EncodePeerMessage(const peer_message& message,
                              const vm_id& spread_by = {});

// Reads what EncodePeerMessage() wrote; nothing if it is no such message.
std::optional<peer_envelope> DecodePeerMessage(std::string_view bytes);

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PEER_DIGEST_H_
