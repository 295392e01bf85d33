#ifndef JASMINEPATH_DECISION_PLACEMENT_AUTHORITY_H_
#define JASMINEPATH_DECISION_PLACEMENT_AUTHORITY_H_

#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::decision {

// Value of an authority row. The row is never deleted, so that its epoch only
// rises; an empty holder means that it was given back.
struct authority_record {
  instance_id holder;
  epoch number;

  friend bool operator==(const authority_record&,
                         const authority_record&) = default;
};

// Names one authority row.
struct authority_key {
  authority_kind kind = authority_kind::vm;
  std::string id;

  friend auto operator<=>(const authority_key&, const authority_key&) = default;
};

// What the table says of one row; no record and version 0 if it is absent.
struct authority_row {
  authority_key key;
  std::optional<authority_record> record;
  revision version;

  friend bool operator==(const authority_row&, const authority_row&) = default;
};

// How a conditional write of an authority row ended.
enum class commit_end {
  committed,  // `row` is what was written, with its version.
  conflict,   // `row` is the current one.
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

// A conditional write: it takes effect only if the row still has the version.
struct authority_write {
  authority_key key;
  authority_record record;
  // 0 means that the row is absent.
  revision expected;

  friend bool operator==(const authority_write&,
                         const authority_write&) = default;
};

// This node's hold on, and knowledge of, one authority row. Asks for one read
// or write at a time, and for another after a lost answer or an outage only
// when the retry delay has passed.
class authority_claim {
 public:
  // What to ask the table next.
  enum class step { none, read, write };

  authority_claim(authority_key key, instance_id self, duration retry_delay);

  const authority_key& key() const { return key_; }
  // True from a confirmed write until given back or superseded.
  bool is_held() const { return is_held_; }
  // The epoch of this node's hold; 0 if not held.
  epoch held_epoch() const { return is_held_ ? last_record_.number : epoch(); }
  // The last known holder; empty if none or not known.
  const instance_id& holder() const { return last_record_.holder; }
  epoch number() const { return last_record_.number; }
  revision version() const { return version_; }
  // Whether the row's state was ever seen.
  bool is_known() const { return has_row_; }

  // The node wants the authority, whoever holds it now; the caller has checked
  // that the present holder has given it back, has ended or may be superseded.
  // No effect while held.
  void Acquire();
  // The node gives its hold up for one of its own with an epoch above `floor`,
  // since the receiving side knows a higher one than the table.
  void Reacquire(epoch floor);
  // The node wants the row read again.
  void RequestRead();
  // The node stops using the authority at once and writes an empty holder.
  void Release();
  // Gives up an attempt to take the authority.
  void CancelAcquire();

  // The next call to the table; marks it as under way. For `write`, `write()`
  // holds what to commit.
  step NextStep(time_point now);
  const authority_write& write() const { return write_; }
  // Whether a call is to be made now or later, or is under way.
  bool is_idle() const { return goal_ == goal::none && !has_call_in_flight_; }
  bool is_releasing() const { return goal_ == goal::release; }
  // When the row was last read or written; the epoch of the distant past if it
  // was only heard of.
  time_point confirmed_at() const { return confirmed_at_; }

  // Answers of the table. Return true if the hold or the holder changed.
  bool OnRow(const authority_row& row, time_point now);
  bool OnReadFailed(time_point now);
  bool OnOutcome(const authority_outcome& outcome, time_point now);
  // What a peer says of the row; ignored unless it is newer than what is known.
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
