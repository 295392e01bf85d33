#ifndef JASMINEPATH_GATEWAY_SRC_PROMPT_PART_SUSPECTS_H_
#define JASMINEPATH_GATEWAY_SRC_PROMPT_PART_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Hashes of the prompt's parts that other requests may share: all but the last
// one.
std::vector<uint64_t> SharedParts(const caller_request& request);

// A prompt part that has become blocked, for a log line.
struct blocked_part {
  uint64_t part = 0;
  int64_t crashes = 0;
  // The part was answered before.
  bool answered = false;

  friend bool operator==(const blocked_part&, const blocked_part&) = default;
};

// Finds the prompt parts that crash endpoints and blocks requests with them.
// A part is blocked after a streak of crashes without an answer, counted over
// all nodes; an answer to any request with the part ends the streak. Parts that
// were answered before are given a longer streak, since requests that share
// them with a crashing part are lost together with it. Does no I/O.
class prompt_part_suspects {
 public:
  explicit prompt_part_suspects(vm_id self) : self_(std::move(self)) {}

  // The endpoint's connection was lost before the first event or the complete
  // answer of a request that was sent at `sent_at`.
  void OnCrash(const std::vector<uint64_t>& parts,
               const endpoint_id& endpoint,
               time_point sent_at,
               time_point now);
  // An endpoint has sent the first event or the complete answer of a request.
  void OnAnswered(const std::vector<uint64_t>& parts, time_point now);
  // Takes the report of a node of this zone, or of another zone.
  void OnReport(const crash_report& report, time_point now);
  void ForgetPeer(const vm_id& node);

  // Whether requests with one of the parts must not be sent to any endpoint.
  bool IsBlocked(const std::vector<uint64_t>& parts, time_point now) const;
  // Number of blocked parts.
  int64_t BlockedCount(time_point now) const;
  // Returns the parts that have become blocked since the last call, at most
  // kMaxBlockedReported.
  std::vector<blocked_part> TakeNewlyBlocked(time_point now);

  // What this node has seen of suspected parts. Empty if there is nothing to
  // report. The caller sets the zone.
  crash_report OwnReport(time_point now) const;
  // The combined reports of this node and of its zone's other nodes. The caller
  // sets names.
  crash_report ZoneReport(const zone_id& zone, time_point now) const;

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

  void AddCrash(record& suspect, uint32_t id, bool own, time_point now);
  void Clear(record& suspect);
  // Number of the last answer with the part at this node, if it is recent; 0
  // otherwise.
  uint64_t RecentAnswer(uint64_t part, time_point now) const;
  static bool IsBlocked(const record& suspect, time_point now);
  void DropOld(time_point now);

  vm_id self_;
  std::map<uint64_t, record> records_;
  // Parts that this node has recently got answers for, and the same by age.
  std::map<uint64_t, answer> answers_;
  std::set<std::pair<uint64_t, uint64_t>> answers_by_age_;
  uint64_t last_answer_number_ = 0;
  // Last reports of the zone's other nodes.
  std::map<vm_id, node_report> reports_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_PROMPT_PART_SUSPECTS_H_
