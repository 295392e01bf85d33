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
  allowed,     // The request is not restricted.
  trial_open,  // The request may run if it is granted the trial.
  refused,     // The request may not run.
};

// Results of one event.
struct quarantine_output {
  // Rows to write. OnWriteOutcome must be called for each of them.
  std::vector<publish_quarantine> writes;
  // Records to send to the peers immediately.
  std::vector<quarantine_record> notices;
  // Calls that were granted the trial, and calls that may not run.
  std::vector<request_id> granted;
  std::vector<request_id> denied;

  friend bool operator==(const quarantine_output&,
                         const quarantine_output&) = default;
};

// The requests that are suspected of crashing endpoints. After an endpoint has
// crashed while running a request, the whole fleet may try the request once
// more. A node takes this trial with a conditional write of the request's row,
// so two nodes never hold it at the same time. A second crash quarantines the
// request for a limited time.
class quarantine_list {
 public:
  // At most `max_records` are kept; the record that expires first is
  // evicted.
  quarantine_list(instance_id self, duration lifetime, std::size_t max_records);

  quarantine_verdict Check(const request_fingerprint& fingerprint,
                           time_point now) const;

  // Remaining lifetime of the record; zero if there is none.
  duration TimeLeft(const request_fingerprint& fingerprint,
                    time_point now) const;

  // Requests the trial for a call. The call is granted or denied later.
  void RequestTrial(const request_fingerprint& fingerprint,
                    const request_id& call,
                    time_point now,
                    quarantine_output& output);

  // An endpoint has crashed while running the call. With `requests_trial`, the
  // call requests the trial and is granted or denied later.
  void OnEndpointCrash(const request_fingerprint& fingerprint,
                       const endpoint_id& endpoint,
                       const request_id& call,
                       bool requests_trial,
                       time_point now,
                       quarantine_output& output);

  // The call that was granted the trial has ended without a crash. If
  // `succeeded` is false, the call was not answered and the trial becomes
  // available again.
  void OnTrialEnd(const request_fingerprint& fingerprint,
                  const request_id& call,
                  bool succeeded,
                  time_point now,
                  quarantine_output& output);

  // Removes a call that waits for the trial.
  void CancelTrialRequest(const request_fingerprint& fingerprint,
                          const request_id& call);

  void OnWriteOutcome(const request_fingerprint& fingerprint,
                      const quarantine_write_outcome& outcome,
                      time_point now,
                      quarantine_output& output);

  // Applies a committed record that has reached this node.
  void OnFact(const quarantine_record& record,
              revision version,
              time_point now,
              quarantine_output& output);

  // Applies a peer's record that may not have been committed yet.
  void OnNotice(const quarantine_record& record,
                time_point now,
                quarantine_output& output);

  void OnTick(time_point now, quarantine_output& output);

  std::optional<time_point> NextDeadline() const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    quarantine_record record;
    // Version of the row; 0 while the row is not known to exist.
    revision version;
    time_point expires_at;
    // The record of the outstanding write.
    std::optional<quarantine_record> in_flight;
    bool needs_write = false;
    time_point write_at;
    int64_t failures = 0;
    // Calls of this node that wait for the trial.
    std::vector<request_id> candidates;
    // Endpoint that crashed while it ran a call of this node. Empty if there
    // is none or once the crash is recorded in the row.
    endpoint_id local_crash_endpoint;
  };

  entry* Find(const request_fingerprint& fingerprint);
  const entry* Find(const request_fingerprint& fingerprint) const;
  entry& Insert(const quarantine_record& record, time_point now);
  void EvictIfFull();
  void StartQuarantine(entry& found, time_point now, quarantine_output& output);
  void ApplyCommittedRecord(entry& found,
                            const quarantine_record& record,
                            revision version,
                            time_point now,
                            quarantine_output& output);
  void DenyCandidates(entry& found, quarantine_output& output);
  void StartWriteIfDue(entry& found, time_point now, quarantine_output& output);
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
  std::size_t max_records_;
  std::unordered_map<request_fingerprint, entry> entries_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_QUARANTINE_LIST_H_
