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
#include "jasminepath/gateway/store_version.h"

namespace jasminepath::gateway {

// Default interval between digests. A node sends one immediately when a call
// starts to wait for a model load.
inline constexpr duration kDigestInterval = Milliseconds(300);
// A digest older than this no longer counts for running or waiting requests.
inline constexpr duration kDigestValidity = Seconds(3);
// Number of nodes that must report an endpoint as unreachable before it is
// treated as such, so that one partitioned node cannot decide for all.
inline constexpr int64_t kMinUnreachableReporters = 2;

// Tokens of a team that one node has admitted since it started.
struct team_usage {
  team_id team;
  int64_t tokens = 0;

  friend bool operator==(const team_usage&, const team_usage&) = default;
};

// Number of requests of one node that run at an endpoint.
struct endpoint_usage {
  endpoint_id endpoint;
  // Empty for a service without models.
  model_id model;
  int64_t running = 0;

  friend bool operator==(const endpoint_usage&,
                         const endpoint_usage&) = default;
};

// Demand of one node's callers for a model, or for an adapter of it.
struct model_usage {
  model_id model;
  adapter_id adapter;
  // Requests that wait because no endpoint has the model or adapter ready.
  int64_t waiting = 0;
  // Requests received since the node started.
  int64_t arrivals = 0;

  friend bool operator==(const model_usage&, const model_usage&) = default;
};

// How often nodes of an earlier release have seen a request crash an endpoint.
// Nodes of this one send a crash_report instead.
struct crash_count {
  uint64_t fingerprint = 0;
  int64_t crashes = 0;

  friend bool operator==(const crash_count&, const crash_count&) = default;
};

// How recent a node's copy of a table of the store is.
struct table_status {
  // Version of the last change that the node knows.
  int64_t last_change = 0;
  // Version as of which its copy is complete; 0 without a copy.
  int64_t complete_to = 0;
  // Version from which on it knows every change.
  int64_t history_from = 0;
  // Time since the node itself has read the changes from the store, in
  // milliseconds. What it knows from peers doesn't count: that would look more
  // recent each time it is passed on.
  int64_t age_ms = 0;

  friend bool operator==(const table_status&, const table_status&) = default;
};

// State that a node sends to its peers several times a second, or the
// aggregated state of a zone, sent to other zones by the zone's representative.
// Each digest is self-contained, so that a lost one does no harm.
struct peer_digest {
  // Id of the node, or peer_group::NameOfZone() for a zone's digest.
  vm_id node;
  zone_id zone;
  // CPU of the node, in thousandths of a core.
  int64_t cpu_millicores = 0;
  // Number of nodes that the digest covers.
  int64_t nodes = 1;
  // The digest aggregates the nodes of a zone.
  bool is_zone_digest = false;
  // Random number, drawn at each start of the process.
  uint64_t incarnation = 0;
  // Increases with each digest of an incarnation.
  uint64_t sequence = 0;
  // Maximum time until the next digest, in milliseconds.
  int64_t interval_ms = ToMilliseconds(kDigestInterval);
  // Address (IP:PORT) that serves the sender's table copies.
  std::string table_server_address;
  // The highest era of the store that the sender knows, in which the versions
  // below are. Nodes of earlier releases don't state it; it is 0 then.
  int64_t store_era = 0;
  // The sender's copies of the configuration and of the endpoint list. A copy
  // of an earlier era counts as none.
  table_status site_table;
  table_status endpoint_table;
  // The placement authority, if its holder is among the covered nodes: the
  // holder, its fencing token, and the version of the authority's row, 0 if
  // that is of an earlier era. Empty and 0 otherwise.
  vm_id authority_holder;
  int64_t authority_epoch = 0;
  int64_t authority_version = 0;
  std::vector<team_usage> teams;
  std::vector<endpoint_usage> endpoints;
  std::vector<model_usage> models;
  // Endpoints that the node cannot connect to; in a zone's digest, endpoints
  // that at least two of its nodes cannot connect to.
  std::vector<endpoint_id> unreachable;
  std::vector<crash_count> crashes;
  // The digest contains the demand for models and the running requests by
  // model, which only the placement holder and the zone's representative need.
  // See WithoutDemand().
  bool has_demand = true;
  // The process is about to end.
  bool leaving = false;

  friend bool operator==(const peer_digest&, const peer_digest&) = default;
};

// Copy of the digest for nodes that do not place models: without demand, and
// with running requests summed by endpoint.
peer_digest WithoutDemand(const peer_digest& digest);

// Change of an engine's readiness for a model or adapter.
enum class load_change { loading, ready, closing };

// Announcement by the placement authority about a model or adapter of an
// engine, sent before the endpoint list shows it.
struct load_notice {
  int64_t authority_epoch = 0;
  endpoint_id endpoint;
  model_id model;
  adapter_id adapter;
  load_change change = load_change::ready;
  // Expected time until a load completes.
  int64_t ready_in_ms = 0;

  friend bool operator==(const load_notice&, const load_notice&) = default;
};

// A changed row of a table.
struct changed_row {
  std::string key;
  std::string value;
  int64_t version = 0;
  bool removed = false;

  friend bool operator==(const changed_row&, const changed_row&) = default;
};

// Changes of a table that one node has read and sends to its peers.
struct table_changes {
  std::string table;
  // Era of all versions. Nodes of earlier releases don't state it; it is 0
  // then.
  int64_t store_era = 0;
  // Address (IP:PORT) that serves the table copies of the node that has read
  // the changes.
  std::string table_server_address;
  // A copy that is complete as of a version from `valid_from` to `valid_to` is
  // complete as of `complete_to` once it has applied the rows. If `valid_to` is
  // less than `complete_to`, the rows are a net difference, which omits rows
  // that were both added and removed in between.
  int64_t valid_from = 0;
  int64_t valid_to = 0;
  int64_t complete_to = 0;
  // Version of the last of the changes.
  int64_t last_change = 0;
  // `rows` holds all rows of the table; any copy can apply them.
  bool is_snapshot = false;
  // The rows are too many or too large to broadcast and must be fetched.
  bool rows_omitted = false;
  // The store has just stated that nothing changed after `complete_to`, so that
  // a copy which is complete as of then is up to date.
  bool is_current = false;
  // Ordered by version.
  std::vector<changed_row> rows;

  store_version At(int64_t number) const {
    return {gateway::store_era(store_era), number};
  }

  friend bool operator==(const table_changes&, const table_changes&) = default;
};

// What one node, or the nodes of a zone, have seen of a prompt part or a whole
// request that is suspected of crashing endpoints.
struct crash_evidence {
  // Hash of the part's id, or fingerprint of the request.
  uint64_t suspect = 0;
  // Rises with each answer to the suspect; 0 without a recent one.
  uint64_t answers = 0;
  // Ids of the crashes since the last answer.
  std::vector<uint32_t> crashes;

  friend bool operator==(const crash_evidence&,
                         const crash_evidence&) = default;
};

// Sent with each digest while something is suspected. Self-contained, like
// a digest. Nodes of earlier releases skip it.
struct crash_report {
  // Id of the node, or peer_group::NameOfZone() for a zone's report.
  vm_id node;
  zone_id zone;
  bool is_zone_report = false;
  std::vector<crash_evidence> suspects;

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

// What a node knows of a suspect from all reports, its own included.
struct known_suspect {
  // See crash_evidence.
  uint64_t suspect = 0;
  // Time since the last crash, in milliseconds, so that what is passed on does
  // not look more recent each time.
  int64_t age_ms = 0;
  // The suspect was answered before the streak of crashes began.
  bool answered = false;
  std::vector<uint32_t> crashes;

  friend bool operator==(const known_suspect&, const known_suspect&) = default;
};

// Repeated by two nodes of each zone, for nodes that have started since the
// crashes were reported. Nodes of earlier releases skip it.
struct crash_history {
  // The sender and its zone.
  vm_id node;
  zone_id zone;
  std::vector<known_suspect> suspects;

  friend bool operator==(const crash_history&, const crash_history&) = default;
};

// Sent when the first event of a stream arrives whose service has several
// software versions.
struct stream_origin {
  // The caller's request.
  request_id attempt;
  software_version version;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

// Asks on which version a stream began that a caller resumes. Nodes of earlier
// releases skip it.
struct origin_query {
  // The caller's request that brought the first event of the stream.
  request_id attempt;
  service_id service;

  friend bool operator==(const origin_query&, const origin_query&) = default;
};

// What a node knows about the origin of a stream.
enum class origin_knowledge {
  recorded,        // It has received the origin.
  unrecorded,      // It has received all origins; this stream has none.
  unknown,         // It may have missed the origin.
  unknown_of_one,  // Likewise, but it knows of only one version.
};

// The reply to an origin_query.
struct origin_reply {
  request_id attempt;
  origin_knowledge knowledge = origin_knowledge::unknown;
  // Set if `recorded`; if `unrecorded`, the version on which the service's
  // streams without an origin began, or empty if there is none or are several.
  software_version version;

  friend bool operator==(const origin_reply&, const origin_reply&) = default;
};

using peer_message = std::variant<peer_digest,
                                  load_notice,
                                  table_changes,
                                  crash_report,
                                  stream_origin,
                                  origin_query,
                                  origin_reply,
                                  crash_history>;

// A message with its delivery information.
struct peer_envelope {
  peer_message message;
  // Node that originated the broadcast in its zone; receivers forward the
  // message. Empty if the message was sent to single nodes.
  vm_id broadcast_origin;

  friend bool operator==(const peer_envelope&, const peer_envelope&) = default;
};

// Encodes a message into the bytes of one datagram.
std::string EncodePeerMessage(const peer_message& message,
                              const vm_id& broadcast_origin = {});

// Decodes the output of EncodePeerMessage(). Returns nullopt if the bytes are
// not a valid message.
std::optional<peer_envelope> DecodePeerMessage(std::string_view bytes);

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PEER_DIGEST_H_
