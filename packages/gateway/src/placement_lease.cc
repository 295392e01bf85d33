#include "jasminepath/gateway/placement_lease.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

// Number of renewals per lease period.
constexpr int kRenewalsPerLease = 3;
// Interval of store calls of a node that watches the row or could not reach the
// store.
constexpr duration kRetryInterval = Milliseconds(300);
// Time without a digest of the holder after which the row is read: several
// digest intervals.
constexpr duration kHolderDigestTimeout = Milliseconds(1200);
// Number of epochs of an era; more than the lease changes its holder within
// one.
constexpr int64_t kEpochsPerEra = 100'000;
// Margin for clocks that run at slightly different rates.
constexpr duration kClockMargin = Milliseconds(100);

constexpr char kHolderField[] = "holder";
constexpr char kIncarnationField[] = "incarnation";
constexpr char kEpochField[] = "epoch";

}  // namespace

std::string EncodeAuthority(const authority_row& row) {
  config::json_value::object fields;
  fields.push_back({kHolderField, config::json_value(row.holder.value())});
  // Stored as a string, because JSON numbers are exact only up to 53 bits.
  fields.push_back(
      {kIncarnationField, config::json_value(std::to_string(row.incarnation))});
  fields.push_back({kEpochField, config::json_value(row.fencing.count())});
  return config::WriteJson(config::json_value(std::move(fields)));
}

decoded<authority_row> DecodeAuthority(const std::string& value) {
  const auto parsed = config::ParseJson(value);
  if (!parsed)
    return failure(decode_error{parsed.error().message});
  const std::string text = parsed.value().StringOr(kIncarnationField, "");
  uint64_t incarnation = 0;
  const char* end = text.data() + text.size();
  const auto number = std::from_chars(text.data(), end, incarnation);
  const int64_t fencing = parsed.value().IntegerOr(kEpochField, -1);
  if (fencing < 0 || number.ec != std::errc() || number.ptr != end)
    return failure(decode_error{"authority row without epoch or incarnation"});
  authority_row row;
  row.holder = vm_id(parsed.value().StringOr(kHolderField, ""));
  row.incarnation = incarnation;
  row.fencing = epoch(fencing);
  return row;
}

placement_lease::placement_lease(vm_id self,
                                 uint64_t incarnation,
                                 const terms& lease_terms)
    : self_(std::move(self)), incarnation_(incarnation), terms_(lease_terms) {}

bool placement_lease::IsOwn(const authority_row& row) const {
  return row.holder == self_ && row.incarnation == incarnation_;
}

bool placement_lease::CanRestore(const authority_row& seen,
                                 time_point now) const {
  return IsLeaseUnexpired(now) && seen.fencing <= row_.fencing &&
         highest_epoch_ <= row_.fencing;
}

bool placement_lease::IsLastWrite(const authority_row& row,
                                  const store_version& version) const {
  return IsOwn(row) && row.fencing == written_epoch_ &&
         version.era() == written_under_;
}

bool placement_lease::IsLeaseUnexpired(time_point now) const {
  return now - renewed_at_ < terms_.lease - kClockMargin;
}

epoch placement_lease::NextEpoch() const {
  const epoch first_of_era(version_.era().count() * kEpochsPerEra + 1);
  return std::max(std::max(highest_epoch_, row_.fencing) + epoch(1),
                  first_of_era);
}

void placement_lease::OnStoreEra(store_era era, time_point now) {
  if (era_ && era <= *era_)
    return;
  era_ = era;
  take_not_before_ = now + terms_.lease + kClockMargin;
  must_read_ = true;
  next_attempt_at_ = now;
}

void placement_lease::StepDown() {
  held_ = false;
  store_failed_ = false;
}

void placement_lease::Release() {
  releasing_ = true;
  next_attempt_at_ = time_point{};
}

lease_step placement_lease::Next(time_point now) {
  if (in_flight_ || now < next_attempt_at_)
    return {};
  lease_step step;
  if (held_) {
    next_attempt_at_ = now + terms_.lease / kRenewalsPerLease;
    step.type =
        must_read_ ? lease_step::action::read : lease_step::action::write;
    step.row = row_;
    if (releasing_ && step.type == lease_step::action::write) {
      step.row.holder = vm_id();
      release_sent_ = true;
    }
    step.expected = version_;
  } else if (releasing_ || !candidate_) {
    return {};
  } else if (!row_known_ || must_read_) {
    step.type = lease_step::action::read;
    next_attempt_at_ = now + kRetryInterval;
  } else if (now - holder_digest_at_ < kHolderDigestTimeout) {
    return {};
  } else {
    next_attempt_at_ = now + kRetryInterval;
    const bool is_free = row_.holder.empty();
    const duration wait =
        is_free ? terms_.candidate_delay
                : terms_.lease + kClockMargin + terms_.candidate_delay;
    if (now - holder_seen_at_ < wait || now < take_not_before_) {
      step.type = lease_step::action::read;
    } else {
      step.type = lease_step::action::write;
      step.row = {self_, incarnation_, NextEpoch()};
      step.expected = version_;
      row_ = step.row;
      // The content of the row is unknown until the write is answered.
      row_known_ = false;
    }
  }
  in_flight_ = true;
  sent_at_ = now;
  if (step.type == lease_step::action::write) {
    written_epoch_ = step.row.fencing;
    written_under_ = step.expected.era();
  }
  return step;
}

void placement_lease::OnRead(const std::optional<authority_row>& row,
                             const store_version& version,
                             time_point now) {
  in_flight_ = false;
  // A peer has seen a later era of the store.
  if (era_ && version.era() < *era_)
    return;
  if (era_)
    OnStoreEra(version.era(), now);
  era_ = version.era();
  must_read_ = false;
  const authority_row seen = row.value_or(authority_row{});
  const store_version seen_version =
      row ? version : store_version(version.era(), 0);
  highest_epoch_ = std::max(highest_epoch_, seen.fencing);
  if (held_ && version_.era() < seen_version.era()) {
    if (CanRestore(seen, now)) {
      version_ = seen_version;
      row_known_ = true;
      next_attempt_at_ = now;
      return;
    }
    StepDown();
  }
  if (!row_known_ || seen_version != version_) {
    // The first read does not show how long the row has been unchanged.
    holder_seen_at_ =
        row_known_ && seen_version == version_ ? holder_seen_at_ : now;
    if (!row)
      holder_seen_at_ = time_point{};
  }
  if (held_ && !IsOwn(seen))
    StepDown();
  if (IsLastWrite(seen, seen_version) && seen.fencing >= highest_epoch_ &&
      !held_ && !releasing_) {
    held_ = true;
    renewed_at_ = sent_at_;
  }
  row_ = seen;
  version_ = seen_version;
  row_known_ = true;
}

void placement_lease::OnWritten(const store_version& version, time_point now) {
  in_flight_ = false;
  store_failed_ = false;
  if (release_sent_) {
    version_ = version;
    StepDown();
    return;
  }
  // The required version was given out again, perhaps for another holder's row.
  if (version.era() != written_under_) {
    OnStoreEra(version.era(), now);
    must_read_ = true;
    return;
  }
  version_ = version;
  highest_epoch_ = std::max(highest_epoch_, written_epoch_);
  row_known_ = true;
  held_ = true;
  renewed_at_ = sent_at_;
}

void placement_lease::OnConflict(time_point now) {
  in_flight_ = false;
  must_read_ = true;
  row_known_ = false;
  store_failed_ = false;
  // The conflict may be caused by an earlier write of this node whose answer
  // was lost.
  next_attempt_at_ = now;
}

void placement_lease::OnFailure(time_point now) {
  in_flight_ = false;
  store_failed_ = true;
  next_attempt_at_ = now + kRetryInterval;
  if (!held_)
    must_read_ = true;
}

void placement_lease::OnHolderDigest(const vm_id& holder,
                                     epoch fencing,
                                     const store_version& version,
                                     time_point now) {
  if (holder == self_ || fencing < std::max(highest_epoch_, row_.fencing))
    return;
  highest_epoch_ = fencing;
  if (held_ && fencing > row_.fencing)
    StepDown();
  if (held_)
    return;
  holder_digest_at_ = holder_seen_at_ = now;
  if (in_flight_)
    return;
  row_.holder = holder;
  row_.fencing = fencing;
  // The holder has not written its row in the present era yet.
  if (version.number() == 0 || (era_ && version.era() != *era_))
    return;
  version_ = version;
  row_known_ = true;
  must_read_ = false;
}

void placement_lease::OnFenced() {
  // At least one holder had a higher epoch.
  highest_epoch_ = std::max(highest_epoch_, row_.fencing + epoch(1));
  StepDown();
  must_read_ = true;
  row_known_ = false;
}

bool placement_lease::IsHolder(time_point now) const {
  if (!held_ || releasing_)
    return false;
  if (IsLeaseUnexpired(now))
    return true;
  // In a new era of the store, another node may have taken the lease.
  return terms_.engines_check_fencing && store_failed_ &&
         version_.era() == era_;
}

}  // namespace jasminepath::gateway
