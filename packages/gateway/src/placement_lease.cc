#include "jasminepath/gateway/placement_lease.h"

#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

// The holder renews this often within one lease.
constexpr int kRenewalsPerLease = 3;
// Interval of the calls of a node that watches the row or could not reach it.
constexpr duration kRetryInterval = Milliseconds(300);
// Silence of the holder's digests after which the row is read: several times
// the interval of digests.
constexpr duration kHolderSilence = Milliseconds(1200);
// Added to the lease for clocks that run at slightly different rates.
constexpr duration kClockMargin = Milliseconds(100);

constexpr char kHolderField[] = "holder";
constexpr char kIncarnationField[] = "incarnation";
constexpr char kEpochField[] = "epoch";

}  // namespace

std::string EncodeAuthority(const authority_row& row) {
  config::json_value::object fields;
  fields.push_back({kHolderField, config::json_value(row.holder.value())});
  // As text: JSON numbers are exact to 53 bits only.
  fields.push_back(
      {kIncarnationField, config::json_value(std::to_string(row.incarnation))});
  fields.push_back({kEpochField, config::json_value(row.fencing.count())});
  return config::WriteJson(config::json_value(std::move(fields)));
}

decoded<authority_row> DecodeAuthority(const std::string& value) {
  const auto parsed = config::ParseJson(value);
  if (!parsed)
    return failure(decode_error{parsed.error().message});
  const std::string incarnation =
      parsed.value().StringOr(kIncarnationField, "");
  const int64_t fencing = parsed.value().IntegerOr(kEpochField, -1);
  if (fencing < 0 || incarnation.empty() ||
      incarnation.find_first_not_of("0123456789") != std::string::npos)
    return failure(decode_error{"authority row without epoch or incarnation"});
  authority_row row;
  row.holder = vm_id(parsed.value().StringOr(kHolderField, ""));
  row.incarnation = std::stoull(incarnation);
  row.fencing = epoch(fencing);
  return row;
}

placement_lease::placement_lease(vm_id self,
                                 uint64_t incarnation,
                                 const terms& limits)
    : self_(std::move(self)), incarnation_(incarnation), terms_(limits) {}

bool placement_lease::IsOwn(const authority_row& row) const {
  return row.holder == self_ && row.incarnation == incarnation_;
}

void placement_lease::StepDown() {
  held_ = false;
  store_failed_ = false;
}

void placement_lease::Release() {
  releasing_ = true;
  next_try_ = time_point{};
}

lease_step placement_lease::Next(time_point now) {
  if (in_flight_ || now < next_try_)
    return {};
  lease_step step;
  if (held_) {
    next_try_ = now + terms_.lease / kRenewalsPerLease;
    step.what =
        must_read_ ? lease_step::action::read : lease_step::action::write;
    step.row = row_;
    if (releasing_ && step.what == lease_step::action::write) {
      step.row.holder = vm_id();
      release_sent_ = true;
    }
    step.expected = version_;
  } else if (releasing_ || !candidate_) {
    return {};
  } else if (!known_ || must_read_) {
    step.what = lease_step::action::read;
    next_try_ = now + kRetryInterval;
  } else if (now - digest_at_ < kHolderSilence) {
    return {};
  } else {
    next_try_ = now + kRetryInterval;
    const bool free = row_.holder.empty();
    const duration wait =
        free ? terms_.delay : terms_.lease + kClockMargin + terms_.delay;
    if (now - evidence_at_ < wait) {
      step.what = lease_step::action::read;
    } else {
      step.what = lease_step::action::write;
      step.row = {self_, incarnation_, row_.fencing + epoch(1)};
      step.expected = version_;
      row_ = step.row;
      // Until the write is answered, the row is not known.
      known_ = false;
    }
  }
  in_flight_ = true;
  sent_at_ = now;
  return step;
}

void placement_lease::OnRead(const std::optional<authority_row>& row,
                             revision version,
                             time_point now) {
  in_flight_ = false;
  must_read_ = false;
  const authority_row seen = row.value_or(authority_row{});
  const revision seen_version = row ? version : revision(0);
  if (!known_ || seen_version != version_) {
    // A first look tells nothing about how long the row has been unchanged.
    evidence_at_ = known_ && seen_version == version_ ? evidence_at_ : now;
    if (!row)
      evidence_at_ = time_point{};
  }
  if (held_ && !IsOwn(seen))
    StepDown();
  if (IsOwn(seen) && !held_ && !releasing_) {
    held_ = true;
    renewed_at_ = sent_at_;
  }
  row_ = seen;
  version_ = seen_version;
  known_ = true;
}

void placement_lease::OnWritten(revision version, time_point) {
  in_flight_ = false;
  version_ = version;
  known_ = true;
  store_failed_ = false;
  if (release_sent_) {
    StepDown();
    return;
  }
  held_ = true;
  renewed_at_ = sent_at_;
}

void placement_lease::OnConflict(time_point now) {
  in_flight_ = false;
  must_read_ = true;
  known_ = false;
  store_failed_ = false;
  // The row may have changed by an own write whose answer was lost.
  next_try_ = now;
}

void placement_lease::OnFailure(time_point now) {
  in_flight_ = false;
  store_failed_ = true;
  next_try_ = now + kRetryInterval;
  if (!held_)
    must_read_ = true;
}

void placement_lease::OnHolderDigest(const vm_id& holder,
                                     epoch fencing,
                                     revision version,
                                     time_point now) {
  if (holder == self_ || fencing < row_.fencing)
    return;
  if (held_ && fencing > row_.fencing)
    StepDown();
  if (held_)
    return;
  digest_at_ = evidence_at_ = now;
  if (in_flight_)
    return;
  row_.holder = holder;
  row_.fencing = fencing;
  version_ = version;
  known_ = true;
  must_read_ = false;
}

void placement_lease::OnFenced() {
  StepDown();
  must_read_ = true;
  known_ = false;
}

bool placement_lease::Holds(time_point now) const {
  if (!held_ || releasing_)
    return false;
  if (now - renewed_at_ < terms_.lease - kClockMargin)
    return true;
  return terms_.fenced && store_failed_;
}

}  // namespace jasminepath::gateway
