#ifndef JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
#define JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Hash of team, method, target, prompt parts and body, by which a repeated
// request is recognised.
uint64_t Fingerprint(const caller_request& request, const team_id& team);

// Hashes of the prompt's parts that other requests may share: all but the last
// one.
std::vector<uint64_t> SharedParts(const caller_request& request);

// A suspect that has become blocked, for a log line.
struct blocked_suspect {
  uint64_t suspect = 0;
  int64_t crashes = 0;
  // The suspect was answered before.
  bool answered = false;

  friend bool operator==(const blocked_suspect&,
                         const blocked_suspect&) = default;
};

// Finds what crashes endpoints and blocks requests with it. A suspect is a
// whole request, known by its fingerprint, or a part of prompts. It is blocked
// after a streak of crashes without an answer, counted over all nodes; an
// answer ends the streak. The caller decides what counts as an answer: the
// first event for a prompt part, since another request may have crashed the
// endpoint, and nothing less than the whole answer for a request. Suspects that
// were answered before are given a longer streak, since requests that run
// beside a crashing one are lost together with it. Does no I/O.
class crash_suspects {
 public:
  explicit crash_suspects(vm_id self) : self_(std::move(self)) {}

  // The endpoint's connection was lost before the answer of a request that was
  // sent at `sent_at`.
  void OnCrash(const std::vector<uint64_t>& suspects,
               const endpoint_id& endpoint,
               time_point sent_at,
               time_point now);
  // An endpoint has answered a request.
  void OnAnswered(const std::vector<uint64_t>& suspects, time_point now);
  // Takes the report of a node of this zone, or of another zone.
  void OnReport(const crash_report& report, time_point now);
  void ForgetPeer(const vm_id& node);

  // Whether requests with one of the suspects must not be sent to any endpoint.
  bool IsBlocked(const std::vector<uint64_t>& suspects, time_point now) const;
  // Number of blocked suspects.
  int64_t BlockedCount(time_point now) const;
  // Returns the suspects that have become blocked since the last call, at most
  // kMaxBlockedReported.
  std::vector<blocked_suspect> TakeNewlyBlocked(time_point now);

  // What this node has seen of suspects. Empty if there is nothing to report.
  // The caller sets the zone.
  crash_report OwnReport(time_point now) const;
  // The combined reports of this node and of its zone's other nodes. The caller
  // sets names.
  crash_report ZoneReport(const zone_id& zone, time_point now) const;

  // What this node knows of suspects with several crashes, whoever has reported
  // them, for nodes that have started since. The caller sets the sender.
  crash_history History(time_point now) const;
  void OnHistory(const crash_history& history, time_point now);

  static constexpr std::size_t kMaxBlockedReported = 8;

 private:
  // A crash of an endpoint, identified alike by all nodes that have seen it.
  struct crash {
    time_point known_at{};
    // Reported by this node.
    bool own = false;
  };
  struct record {
    // Crashes since the last answer, and those before it, by id.
    std::map<uint32_t, crash> streak;
    std::map<uint32_t, crash> cleared;
    time_point last_crash_at{};
    // Time of the last crash that this node has counted itself.
    time_point last_own_crash_at{};
    // Number of the last answer by reporting node or zone.
    std::map<vm_id, uint64_t> answers_by_node;
    bool answered = false;
    bool block_taken = false;
  };
  struct answer {
    time_point at{};
    // Rises with each answer.
    uint64_t number = 0;
  };
  struct node_report {
    crash_report report;
    time_point received_at{};
  };

  // Adds a crash that happened at `crashed_at` unless it is known.
  static void AddCrash(record& suspect,
                       uint32_t id,
                       bool own,
                       time_point crashed_at);
  void Clear(record& suspect);
  // Number of the last answer at this node, if it is recent; 0
  // otherwise.
  uint64_t RecentAnswer(uint64_t key, time_point now) const;
  static bool IsBlocked(const record& suspect, time_point now);
  // Whether other nodes may need what this one knows of the suspect.
  static bool IsReported(const record& suspect, time_point now);
  void DropOld(time_point now);

  vm_id self_;
  std::map<uint64_t, record> records_;
  // Suspects and others that this node has recently got answers for, and the
  // same by age.
  std::map<uint64_t, answer> answers_;
  std::set<std::pair<uint64_t, uint64_t>> answers_by_age_;
  uint64_t last_answer_number_ = 0;
  // Last reports of the zone's other nodes.
  std::map<vm_id, node_report> reports_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CRASH_SUSPECTS_H_
