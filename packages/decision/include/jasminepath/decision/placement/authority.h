#ifndef JASMINEPATH_DECISION_PLACEMENT_AUTHORITY_H_
#define JASMINEPATH_DECISION_PLACEMENT_AUTHORITY_H_

#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::decision {

// Value of an authority row. The row is never deleted, so its epoch never
// decreases. An empty holder means that the last holder has released the
// authority.
struct authority_record {
  instance_id holder;
  epoch number;

  friend bool operator==(const authority_record&,
                         const authority_record&) = default;
};

// Identifies one authority row.
struct authority_key {
  authority_kind kind = authority_kind::vm;
  std::string id;

  friend auto operator<=>(const authority_key&, const authority_key&) = default;
};

// State of one row in the table. If the row is absent, there is no record and
// the version is 0.
struct authority_row {
  authority_key key;
  std::optional<authority_record> record;
  revision version;

  friend bool operator==(const authority_row&, const authority_row&) = default;
};

// Result of a conditional write of an authority row.
enum class commit_end {
  committed,  // `row` is the written row with its new version.
  conflict,   // `row` is the current row in the table.
  unknown,    // The answer was lost; the write may have taken effect.
  not_sent,   // The table could not be reached; nothing was written.
};

// Outcome of one commit_authority action.
struct authority_outcome {
  commit_end end = commit_end::unknown;
  // For `unknown` and `not_sent` only the key is set.
  authority_row row;

  friend bool operator==(const authority_outcome&,
                         const authority_outcome&) = default;
};

// A conditional write. It takes effect only if the row still has the expected
// version.
struct authority_write {
  authority_key key;
  authority_record record;
  // Expected version of the row; 0 if the row must not exist.
  revision expected;

  friend bool operator==(const authority_write&,
                         const authority_write&) = default;
};

// Tracks one authority row and acquires or releases it for this node. At most
// one table call is in flight at a time. After a lost answer or an outage, the
// next call waits until the retry delay has passed.
class authority_claim {
 public:
  // Next call to the table.
  enum class step { none, read, write };

  authority_claim(authority_key key, instance_id self, duration retry_delay);

  const authority_key& key() const { return key_; }
  // True from a confirmed write until the authority is released or superseded.
  bool is_held() const { return is_held_; }
  // Epoch under which this node holds the authority; 0 if it does not hold it.
  epoch held_epoch() const { return is_held_ ? last_record_.number : epoch(); }
  // The last known holder; empty if there is none or it is unknown.
  const instance_id& holder() const { return last_record_.holder; }
  epoch number() const { return last_record_.number; }
  revision version() const { return version_; }
  // Whether the state of the row has been received at least once.
  bool is_known() const { return has_row_; }

  // Requests the authority for this node, whoever holds it now. The caller has
  // checked that the current holder has released it, has ended or may be
  // superseded. Has no effect while this node holds the authority or releases
  // it.
  void Acquire();
  // Replaces this node's hold with a new one with an epoch above `floor`. Used
  // when the engine knows a higher epoch than the table does.
  void Reacquire(epoch floor);
  // Requests a read of the row. Has no effect while another operation is
  // pending.
  void RequestRead();
  // Stops using the authority at once and requests a write of an empty holder.
  void Release();
  // Cancels a pending attempt to acquire the authority.
  void CancelAcquire();

  // Returns the next call to the table and marks it as in flight. For `write`,
  // `write()` returns the write to commit.
  step NextStep(time_point now);
  const authority_write& write() const { return write_; }
  // Whether no operation is pending and no call is in flight.
  bool is_idle() const { return goal_ == goal::none && !has_call_in_flight_; }
  bool is_releasing() const { return goal_ == goal::release; }
  // Start time of the last call that read or wrote the row; `time_point::min()`
  // if the row is known only from peers.
  time_point confirmed_at() const { return confirmed_at_; }

  // Handle the answers of the table. They return true if the hold or the holder
  // has changed.
  bool OnRow(const authority_row& row, time_point now);
  bool OnReadFailed(time_point now);
  bool OnOutcome(const authority_outcome& outcome, time_point now);
  // Applies a notice from a peer. A notice that is not newer than the known
  // version is ignored.
  bool OnNotice(const holder_notice& notice);

 private:
  enum class goal { none, read, acquire, release };

  bool ApplyRow(const authority_record& record, revision version);
  authority_write NextWrite() const;
  void OnAnswer(time_point now);
  void ScheduleRetry(time_point now);

  authority_key key_;
  instance_id self_;
  duration retry_delay_;
  authority_record last_record_;
  revision version_;
  bool has_row_ = false;
  bool is_held_ = false;
  bool has_call_in_flight_ = false;
  goal goal_ = goal::none;
  authority_write write_;
  epoch epoch_floor_;
  time_point next_call_at_;
  time_point call_sent_at_;
  time_point confirmed_at_ = time_point::min();
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_PLACEMENT_AUTHORITY_H_
