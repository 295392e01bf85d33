#include "jasminepath/decision/admission/team_bucket.h"

#include <algorithm>

namespace jasminepath::decision {
namespace {

__extension__ typedef __int128 wide_int;

constexpr int64_t kMicroTokensPerToken = 1'000'000;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::size_t kMaxRoomMarks = 512;

int64_t ToMicro(tokens amount) {
  return amount.count() * kMicroTokensPerToken;
}

}  // namespace

team_bucket::team_bucket(tokens rate_per_second, tokens burst, time_point now)
    : rate_(rate_per_second.count()),
      burst_(burst.count()),
      last_refill_(now) {}

void team_bucket::SetLimits(tokens rate_per_second,
                            tokens burst,
                            time_point now) {
  Refill(now);
  rate_ = rate_per_second.count();
  burst_ = burst.count();
  UpdateCapacity(now);
}

void team_bucket::SetFraction(int64_t fraction_ppm, time_point now) {
  Refill(now);
  fraction_ppm_ = std::clamp<int64_t>(fraction_ppm, 0, kWholeFractionPpm);
  UpdateCapacity(now);
}

tokens team_bucket::Available(time_point now) {
  Refill(now);
  return tokens(std::max<int64_t>(level_micro_, 0) / kMicroTokensPerToken);
}

tokens team_bucket::capacity() const {
  return tokens(capacity_micro_ / kMicroTokensPerToken);
}

std::optional<debit_number> team_bucket::Take(tokens amount, time_point now) {
  Refill(now);
  const int64_t requested = ToMicro(amount);
  if (requested > 0 && level_micro_ < requested)
    return std::nullopt;
  const debit_number debit = AddRoomMark();
  level_micro_ -= requested;
  return debit;
}

void team_bucket::Overdraw(tokens amount, time_point now) {
  Refill(now);
  AddRoomMark();
  level_micro_ -= ToMicro(amount);
}

tokens team_bucket::Restore(debit_number debit, tokens amount, time_point now) {
  Refill(now);
  const int64_t room = std::max<int64_t>(MinRoomSince(debit), 0);
  const int64_t whole_room = room / kMicroTokensPerToken;
  const tokens credited(std::min(amount.count(), whole_room));
  ReduceRoomSince(debit, ToMicro(credited));
  level_micro_ += ToMicro(credited);
  return credited;
}

tokens team_bucket::Deposit(tokens amount, time_point now) {
  Refill(now);
  const int64_t whole_room =
      std::max<int64_t>(Room(), 0) / kMicroTokensPerToken;
  const tokens fitting(std::min(amount.count(), whole_room));
  level_micro_ += ToMicro(fitting);
  return fitting;
}

std::optional<duration> team_bucket::TimeUntil(tokens amount, time_point now) {
  Refill(now);
  const int64_t requested = ToMicro(amount);
  if (requested <= level_micro_)
    return duration::zero();
  if (requested > capacity_micro_ || refill_micro_per_second_ == 0)
    return std::nullopt;
  const wide_int missing =
      wide_int(requested - level_micro_) * kNanosecondsPerSecond;
  return duration(static_cast<int64_t>(missing / refill_micro_per_second_) + 1);
}

void team_bucket::Refill(time_point now) {
  if (now <= last_refill_)
    return;
  const int64_t elapsed = (now - last_refill_).count();
  last_refill_ = now;
  const wide_int flow =
      wide_int(refill_micro_per_second_) * elapsed + remainder_;
  const wide_int gained = flow / kNanosecondsPerSecond;
  if (gained >= wide_int(Room())) {
    level_micro_ = std::max(level_micro_, capacity_micro_);
    remainder_ = 0;
    return;
  }
  level_micro_ += static_cast<int64_t>(gained);
  remainder_ = static_cast<int64_t>(flow % kNanosecondsPerSecond);
}

debit_number team_bucket::AddRoomMark() {
  const int64_t room = Room();
  while (!marks_.empty() && marks_.back().room >= room)
    marks_.pop_back();
  last_debit_ += debit_number(1);
  marks_.push_back({last_debit_, room});
  if (marks_.size() > kMaxRoomMarks)
    MergeMarks();
  return last_debit_;
}

int64_t team_bucket::MinRoomSince(debit_number debit) const {
  const auto later =
      std::upper_bound(marks_.begin(), marks_.end(), debit,
                       [](debit_number number, const room_mark& mark) {
                         return number < mark.debit;
                       });
  if (later == marks_.end())
    return Room();
  return std::min(later->room, Room());
}

void team_bucket::ReduceRoomSince(debit_number debit, int64_t amount) {
  std::deque<room_mark> kept;
  for (room_mark mark : marks_) {
    if (mark.debit > debit)
      mark.room -= amount;
    while (!kept.empty() && kept.back().room >= mark.room)
      kept.pop_back();
    kept.push_back(mark);
  }
  marks_ = std::move(kept);
}

// Halves the number of marks. Each pair becomes one mark with the lower room
// and the later debit, so that a restoration can only become smaller.
void team_bucket::MergeMarks() {
  std::deque<room_mark> merged;
  for (std::size_t i = 0; i < marks_.size(); i += 2) {
    const std::size_t last = std::min(i + 1, marks_.size() - 1);
    merged.push_back({marks_[last].debit, marks_[i].room});
  }
  marks_ = std::move(merged);
}

void team_bucket::UpdateCapacity(time_point now) {
  last_refill_ = std::max(last_refill_, now);
  AddRoomMark();
  capacity_micro_ = burst_ * fraction_ppm_;
  refill_micro_per_second_ = rate_ * fraction_ppm_;
  remainder_ = 0;
  level_micro_ = std::min(level_micro_, capacity_micro_);
  AddRoomMark();
}

}  // namespace jasminepath::decision
