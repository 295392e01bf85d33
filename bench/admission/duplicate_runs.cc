#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "jasminepath/base/random.h"
#include "jasminepath/decision/admission/idempotency_claim.h"
#include "measurements.h"

namespace jasminepath::bench {
namespace {

using decision::claim_step;
using decision::stored_claim;
using decision::write_status;

constexpr int kBookings = 10'000;
constexpr int kMaxSends = 4;
// Percentage of answers that are lost after the endpoint ran the call.
constexpr uint64_t kLostAnswerPercent = 10;
// Percentage of table writes that take effect but whose answer is lost, and of
// table calls that fail without effect.
constexpr uint64_t kLostWritePercent = 5;
constexpr uint64_t kUnreachablePercent = 2;

struct totals {
  int64_t sends = 0;
  int64_t ran_twice = 0;
  int64_t extra_runs = 0;
  int64_t answered = 0;
  int64_t writes = 0;
  int64_t reads = 0;
  int64_t objects = 0;
};

// The claim row of one booking, in a table with injected failures.
class booking_row {
 public:
  booking_row(random_engine& random, totals& counted)
      : random_(random), counted_(counted) {}

  // Executes the claim's table operations until it decides or is closed.
  claim_step Drive(decision::idempotency_claim& claim, claim_step step) {
    while (true) {
      if (const auto* write = std::get_if<decision::claim_write>(&step))
        step = claim.OnWrite(Write(*write));
      else if (std::holds_alternative<decision::claim_lookup>(step))
        step = Read(claim);
      else if (std::holds_alternative<decision::claim_pause>(step))
        step = claim.OnWake();
      else if (std::holds_alternative<decision::claim_store_answer>(step))
        step = Store(claim);
      else
        return step;
    }
  }

 private:
  decision::claim_write_outcome Write(const decision::claim_write& write) {
    ++counted_.writes;
    if (random_() % 100 < kUnreachablePercent)
      return {write_status::unreachable, {}, std::nullopt};
    const revision there = row_ ? row_->version : revision(0);
    if (there != write.expected)
      return {write_status::conflict, {}, row_};
    row_.reset();
    if (write.record)
      row_ = stored_claim{revision(++version_), *write.record};
    if (random_() % 100 < kLostWritePercent)
      return {write_status::lost, {}, std::nullopt};
    return {write_status::committed, revision(version_), std::nullopt};
  }

  claim_step Read(decision::idempotency_claim& claim) {
    ++counted_.reads;
    if (random_() % 100 < kUnreachablePercent)
      return claim.OnRead({false, std::nullopt}, false);
    return claim.OnRead({true, row_}, false);
  }

  claim_step Store(decision::idempotency_claim& claim) {
    ++counted_.objects;
    return claim.OnAnswerRecorded(decision::record_status::stored);
  }

  random_engine& random_;
  totals& counted_;
  std::optional<stored_claim> row_;
  int64_t version_ = 0;
};

// Sends a booking once. Returns whether the caller got an answer.
bool SendBooking(int number,
                 bool has_claim,
                 booking_row& row,
                 random_engine& random,
                 int64_t& runs,
                 totals& counted) {
  ++counted.sends;
  const std::string nonce = std::to_string(number);
  decision::idempotency_claim claim(nonce, "body", instance_id("n"), nonce);
  if (has_claim) {
    const claim_step step = row.Drive(claim, claim.Begin());
    if (std::holds_alternative<decision::claim_repeat>(step))
      return true;
    if (!std::holds_alternative<decision::claim_granted>(step))
      return false;
  }
  ++runs;
  // Half of the lost answers are lost between endpoint and node, the others
  // between node and caller.
  const uint64_t chance = random() % 100;
  const bool is_lost_at_node = chance < kLostAnswerPercent / 2;
  const bool is_lost_at_caller = chance < kLostAnswerPercent;
  if (has_claim)
    row.Drive(claim, is_lost_at_node ? claim.MarkUnknown() : claim.Record());
  return !is_lost_at_caller;
}

void Measure(bool has_claim, uint64_t seed) {
  totals counted;
  for (int booking = 0; booking < kBookings; ++booking) {
    // Seeded per booking, so that the same faults occur with and without the
    // claim.
    random_engine random(seed * kBookings + static_cast<uint64_t>(booking));
    random_engine table_random(random());
    booking_row row(table_random, counted);
    int64_t runs = 0;
    for (int send = 0; send < kMaxSends; ++send) {
      if (SendBooking(send, has_claim, row, random, runs, counted)) {
        ++counted.answered;
        break;
      }
    }
    counted.ran_twice += runs > 1 ? 1 : 0;
    counted.extra_runs += runs > 1 ? runs - 1 : 0;
  }
  const double bookings = static_cast<double>(kBookings);
  std::printf(
      "measure=duplicate_runs claim=%s bookings=%d sends=%lld ran_twice=%lld "
      "extra_runs=%lld answered=%lld writes_per_booking=%.2f "
      "reads_per_booking=%.2f objects_per_booking=%.2f\n",
      has_claim ? "yes" : "no", kBookings,
      static_cast<long long>(counted.sends),
      static_cast<long long>(counted.ran_twice),
      static_cast<long long>(counted.extra_runs),
      static_cast<long long>(counted.answered),
      static_cast<double>(counted.writes) / bookings,
      static_cast<double>(counted.reads) / bookings,
      static_cast<double>(counted.objects) / bookings);
}

}  // namespace

void MeasureDuplicateRuns(uint64_t seed) {
  Measure(false, seed);
  Measure(true, seed);
}

}  // namespace jasminepath::bench
