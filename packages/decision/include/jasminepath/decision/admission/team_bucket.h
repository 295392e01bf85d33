#ifndef JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_
#define JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// A fraction of 1 (the whole rate and burst of a team) in parts per million.
inline constexpr int64_t kWholeFractionPpm = 1'000'000;

// Identifies one debit of a bucket; numbers increase in the order of the
// debits.
using debit_number = quantity<struct debit_tag>;

// Token bucket of one team on one node, with a fraction of the team's rate and
// burst. The bucket starts empty. Invariant over refills, debits and
// restorations: the net amount taken in any window stays below fraction x
// (burst + rate x window).
class team_bucket {
 public:
  // `rate_per_second` and `burst` are those of the whole fleet; the fraction
  // starts at 0.
  team_bucket(tokens rate_per_second, tokens burst, time_point now);

  // Changes the team's rate and burst. Tokens above the new capacity are lost.
  void SetLimits(tokens rate_per_second, tokens burst, time_point now);

  // Changes the fraction. Tokens above the new capacity are lost; a larger
  // fraction does not add tokens by itself.
  void SetFraction(int64_t fraction_ppm, time_point now);

  // Whole tokens that can be taken now; 0 if the bucket is overdrawn.
  tokens Available(time_point now);

  // Maximum number of tokens in the bucket.
  tokens capacity() const;

  // Refill rate in millionths of a token per second.
  int64_t refill_micro_per_second() const { return refill_micro_per_second_; }

  // Takes the whole amount, or takes nothing and returns nullopt.
  std::optional<debit_number> Take(tokens amount, time_point now);

  // Takes the amount even if this makes the level negative.
  void Overdraw(tokens amount, time_point now);

  // Returns part of an earlier debit, as if the debit had been smaller from the
  // beginning: tokens that would have overflowed since then are lost. Returns
  // the credited amount. The sum returned for a debit must not exceed the
  // debit.
  tokens Restore(debit_number debit, tokens amount, time_point now);

  // Adds tokens from another node up to the capacity; returns the added amount.
  tokens Deposit(tokens amount, time_point now);

  // Time until `amount` can be taken if nothing else is taken; nullopt if the
  // bucket never reaches that amount.
  std::optional<duration> TimeUntil(tokens amount, time_point now);

 private:
  // The free room in the bucket just before a debit.
  struct room_mark {
    debit_number debit;
    int64_t room = 0;
  };

  void Refill(time_point now);
  int64_t Room() const { return capacity_micro_ - level_micro_; }
  debit_number AddRoomMark();
  int64_t MinRoomSince(debit_number debit) const;
  void ReduceRoomSince(debit_number debit, int64_t amount);
  void MergeMarks();
  void UpdateCapacity(time_point now);

  int64_t rate_ = 0;
  int64_t burst_ = 0;
  int64_t fraction_ppm_ = 0;
  // All in millionths of a token.
  int64_t capacity_micro_ = 0;
  int64_t level_micro_ = 0;
  int64_t refill_micro_per_second_ = 0;
  // Remainder of the refills that has not been credited yet, in units of 1e-9
  // of a millionth of a token.
  int64_t remainder_ = 0;
  time_point last_refill_;
  debit_number last_debit_;
  // Rooms increase from the oldest to the newest mark; a mark is dropped when a
  // later one has the same or less room.
  std::deque<room_mark> marks_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_TEAM_BUCKET_H_
