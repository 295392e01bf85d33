#ifndef JASMINEPATH_GATEWAY_SRC_STREAM_VERSION_FINDER_H_
#define JASMINEPATH_GATEWAY_SRC_STREAM_VERSION_FINDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "jasminepath/gateway/peer_digest.h"
#include "software_versions.h"
#include "stream_origins.h"

namespace jasminepath::gateway {

// How well this node is informed, as of one moment.
struct node_awareness {
  // The versions and origins from before this node's start are known.
  bool knows_history = false;
  // Time since this node's endpoint list was known to be up to date.
  duration list_age{};
  // This node hears at least half of the nodes that it knows.
  bool hears_most = false;

  friend bool operator==(const node_awareness&,
                         const node_awareness&) = default;
};

// The version at which a resumed stream may go on.
struct stream_version {
  // nullopt if that is not known; the stream must not go on then.
  std::optional<software_version> version;
  // Why the stream must not go on, for the log.
  std::string_view reason;
  // Age of the endpoint list at that time, for the log.
  duration list_age{};

  friend bool operator==(const stream_version&,
                         const stream_version&) = default;
};

// Finds out on which software version a resumed stream began: from this node's
// origins, from the versions that its service has had, or from other nodes.
// Does no I/O and has no timers.
class stream_version_finder {
 public:
  using awareness_source = std::function<node_awareness(time_point now)>;
  // Sends the question to other nodes, in round 0 to the nearest ones, in round
  // 1 to further ones. Returns the number of nodes.
  using sender =
      std::function<std::size_t(const origin_query& query, int round)>;
  using callback = std::function<void(const stream_version& found)>;

  stream_version_finder(const software_versions& versions,
                        stream_origins& origins,
                        awareness_source awareness,
                        sender send,
                        time_point started_at);

  // Calls `done` with the version, at once if this node knows it, otherwise
  // from OnReply() or Check().
  void Find(const service_id& service,
            const request_id& attempt,
            time_point now,
            callback done);

  // The only version on which a stream may begin at this node, if any: while
  // the others may not receive its origin, it has to be the one that they take
  // a stream without an origin for.
  std::optional<software_version> RequiredVersion(const service_id& service,
                                                  time_point now) const;

  // What this node replies to another one.
  origin_reply Answer(const origin_query& query, time_point now) const;
  void OnReply(const origin_reply& reply, time_point now);

  // Notices that this node was out of step, and ends questions without an
  // answer. Called often.
  void Check(time_point now);

  // Questions to other nodes since the start, and those in progress.
  int64_t asked() const { return asked_; }
  std::size_t pending_count() const { return pending_.size(); }

 private:
  struct question {
    service_id service;
    time_point asked_at{};
    int round = 0;
    // Nodes that were asked, and those that have replied.
    std::size_t receivers = 0;
    std::size_t replies = 0;
    // A node has replied that the service has several versions.
    bool heard_of_several = false;
    std::vector<callback> callbacks{};
  };

  // Whether the endpoint list is up to date and this process has not just been
  // resumed.
  bool IsListCurrent(const node_awareness& awareness, time_point now) const;
  // Whether the versions from before this node's start are known or no longer
  // matter.
  bool KnowsHistory(const node_awareness& awareness, time_point now) const;
  // Whether the service can have no other version than those in this node's
  // list and history.
  bool KnowsVersions(const node_awareness& awareness, time_point now) const;
  // Whether this node has received the origins of all streams of the service
  // that may be resumed.
  bool KnowsOrigins(const service_id& service, time_point now) const;
  // The version that follows without an origin, after the question has ended.
  std::optional<software_version> Infer(const question& asked,
                                        time_point now) const;
  // Whether the service has had one version only, as far as this node and those
  // that have replied know.
  bool IsSingle(const question& asked, time_point now) const;
  void Ask(const request_id& attempt, question& asked, time_point now);
  void Advance(const request_id& attempt, time_point now);
  // Notices that the list is outdated, that this process was stopped or that
  // messages of other nodes may be missed.
  void RecordGaps(time_point now);
  void Resolve(const request_id& attempt, const stream_version& found);

  const software_versions& versions_;
  stream_origins& origins_;
  awareness_source awareness_;
  sender send_;
  time_point started_at_;
  time_point checked_at_;
  bool had_current_list_ = false;
  // When this node last had an outdated list or was stopped.
  std::optional<time_point> list_gap_at_;
  // When origins of the service may last have been missed.
  std::map<service_id, time_point> missed_origins_at_;
  std::map<request_id, question> pending_;
  int64_t asked_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_STREAM_VERSION_FINDER_H_
