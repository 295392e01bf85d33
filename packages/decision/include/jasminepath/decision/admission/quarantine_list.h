#ifndef JASMINEPATH_DECISION_ADMISSION_QUARANTINE_LIST_H_
#define JASMINEPATH_DECISION_ADMISSION_QUARANTINE_LIST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/call_actions.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/admission/quarantine_record.h"

namespace jasminepath::decision {

// Whether a request may run.
enum class quarantine_verdict {
  allowed,     // Nothing is known against it.
  trial_open,  // It may run if it wins the one try that is left.
  refused,     // It may not run.
};

// What one event led to.
struct quarantine_output {
  // Rows to write; each is answered by OnWriteOutcome.
  std::vector<publish_quarantine> writes;
  // Records that every peer is told of at once.
  std::vector<quarantine_record> notices;
  // Calls that may run as the one more try, and calls that may not run.
  std::vector<request_id> granted;
  std::vector<request_id> denied;

  friend bool operator==(const quarantine_output&,
                         const quarantine_output&) = default;
};

// The requests that are suspected of crashing endpoints. After an endpoint has
// died while running a request, one more try is left over the whole fleet; it
// is taken by a conditional write of the request's row, so two nodes never both
// have it. Another death puts the request in quarantine for a time.
class quarantine_list {
 public:
  // `limit` bounds the records kept; the oldest are dropped first.
  quarantine_list(instance_id self, duration lifetime, std::size_t limit);

  quarantine_verdict Check(const request_fingerprint& fingerprint,
                           time_point now) const;

  // How long the record still lasts; zero when there is none.
  duration TimeLeft(const request_fingerprint& fingerprint,
                    time_point now) const;

  // A call asks for the one try; it is granted or denied later.
  void RequestTrial(const request_fingerprint& fingerprint,
                    const request_id& call,
                    time_point now,
                    quarantine_output& output);

  // An endpoint has died while running the call. With `wants_trial` the call
  // asks for the one more try and is granted or denied later.
  void OnDeath(const request_fingerprint& fingerprint,
               const endpoint_id& endpoint,
               const request_id& call,
               bool wants_trial,
               time_point now,
               quarantine_output& output);

  // The call that was granted the try has ended without a death. `proven` says
  // that it was answered; else the try is given back.
  void OnTrialEnd(const request_fingerprint& fingerprint,
                  const request_id& call,
                  bool proven,
                  time_point now,
                  quarantine_output& output);

  // Forgets that a call waits for the try.
  void Withdraw(const request_fingerprint& fingerprint, const request_id& call);

  void OnWriteOutcome(const request_fingerprint& fingerprint,
                      const quarantine_write_outcome& outcome,
                      time_point now,
                      quarantine_output& output);

  // Takes in a committed record that has reached this node.
  void OnFact(const quarantine_record& record,
              revision version,
              time_point now,
              quarantine_output& output);

  // Takes in what a peer says ahead of the commit.
  void OnNotice(const quarantine_record& record,
                time_point now,
                quarantine_output& output);

  void OnTick(time_point now, quarantine_output& output);

  std::optional<time_point> NextDeadline() const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    quarantine_record record;
    // Version of the row; 0 while it is not known to exist.
    revision version;
    time_point forget_at;
    // The record under way to the table.
    std::optional<quarantine_record> in_flight;
    bool needs_write = false;
    time_point write_at;
    int64_t failures = 0;
    // Calls of this node that wait for the try.
    std::vector<request_id> candidates;
    // An endpoint has died on this node, which the row does not tell yet.
    endpoint_id own_death;
  };

  entry* Find(const request_fingerprint& fingerprint);
  const entry* Find(const request_fingerprint& fingerprint) const;
  entry& Insert(const quarantine_record& record, time_point now);
  void MakeRoom();
  void Quarantine(entry& found, time_point now, quarantine_output& output);
  void Adopt(entry& found,
             const quarantine_record& record,
             revision version,
             time_point now,
             quarantine_output& output);
  void DenyAll(entry& found, quarantine_output& output);
  void Write(entry& found, time_point now, quarantine_output& output);
  void OnCommitted(entry& found,
                   revision version,
                   time_point now,
                   quarantine_output& output);
  void OnConflict(entry& found,
                  const quarantine_write_outcome& outcome,
                  time_point now,
                  quarantine_output& output);

  instance_id self_;
  duration lifetime_;
  std::size_t limit_;
  std::unordered_map<request_fingerprint, entry> entries_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_QUARANTINE_LIST_H_
