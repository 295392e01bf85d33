#ifndef JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_
#define JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// Parts per million that make up the whole of a team's rate and burst.
inline constexpr int64_t kWholeFractionPpm = 1'000'000;

// Identifies one debit of a bucket, in the order in which they were made.
using debit_number = quantity<struct debit_tag>;

// Token bucket of one team on one node, at a fraction of the team's rate and
// burst. It starts empty. Refills, debits and restorations keep the net amount
// taken in any window below fraction x (burst + rate x window).
class team_bucket {
 public:
  // Bucket for a team with `rate_per_second` and `burst` over the whole fleet,
  // at fraction 0.
  team_bucket(tokens rate_per_second, tokens burst, time_point now);

  // Changes the team's rate and burst. What is above the new capacity is lost.
  void SetLimits(tokens rate_per_second, tokens burst, time_point now);

  // Changes the fraction. What is above the new capacity is lost; a larger
  // fraction brings no tokens by itself.
  void SetFraction(int64_t fraction_ppm, time_point now);

  // Whole tokens that can be taken now; 0 when overdrawn.
  tokens Available(time_point now);

  // The most that the bucket can hold.
  tokens capacity() const;

  // Tokens that flow in each second, in millionths.
  int64_t refill_micro_per_second() const { return refill_rate_; }

  // Takes the whole amount, or nothing and returns no number.
  std::optional<debit_number> Take(tokens amount, time_point now);

  // Takes the amount even if the bucket goes below zero by it.
  void Overdraw(tokens amount, time_point now);

  // Gives back part of an earlier debit, as if the debit had been smaller from
  // the beginning: what would have overflowed since then is lost. Returns how
  // much was credited. The sum given back for a debit must not exceed it.
  tokens Restore(debit_number debit, tokens amount, time_point now);

  // Adds tokens from elsewhere up to the capacity; returns how many fitted.
  tokens Deposit(tokens amount, time_point now);

  // How long until `amount` can be taken if nothing else is taken; nothing if
  // that never happens.
  std::optional<duration> TimeUntil(tokens amount, time_point now);

 private:
  // The room that was left in the bucket just before a debit.
  struct room_mark {
    debit_number debit;
    int64_t room = 0;
  };

  void Refill(time_point now);
  int64_t Room() const { return capacity_ - level_; }
  debit_number Mark();
  int64_t LeastRoomSince(debit_number debit) const;
  void ReduceRoomSince(debit_number debit, int64_t amount);
  void MergeMarks();
  void UpdateCapacity(time_point now);

  int64_t rate_ = 0;
  int64_t burst_ = 0;
  int64_t fraction_ppm_ = 0;
  // All in millionths of a token.
  int64_t capacity_ = 0;
  int64_t level_ = 0;
  int64_t refill_rate_ = 0;
  // Part of a millionth that the refills have not yet credited, times 1e9.
  int64_t remainder_ = 0;
  time_point refilled_;
  debit_number last_debit_;
  // Rooms rise from the oldest to the newest mark; a mark that a later one
  // undercuts is dropped.
  std::deque<room_mark> marks_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_
