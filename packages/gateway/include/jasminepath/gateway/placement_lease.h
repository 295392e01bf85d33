#ifndef JASMINEPATH_GATEWAY_PLACEMENT_LEASE_H_
#define JASMINEPATH_GATEWAY_PLACEMENT_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Row of the store that names the node which may give orders to engines.
struct authority_row {
  vm_id holder;
  uint64_t incarnation = 0;
  epoch fencing;

  friend bool operator==(const authority_row&, const authority_row&) = default;
};

// Conversion to and from the row's value in the store.
std::string EncodeAuthority(const authority_row& row);
decoded<authority_row> DecodeAuthority(const std::string& value);

// The next store call that the lease needs.
struct lease_step {
  enum class action { none, read, write };
  action type = action::none;
  authority_row row;
  // Version that the row must have for the write to succeed; number 0: it must
  // not exist.
  store_version expected;

  friend bool operator==(const lease_step&, const lease_step&) = default;
};

// One node's side of the election of the node that places models. The election
// uses a conditionally written row with an epoch that only increases; the
// holder renews the row. Another node takes the lease after the row has not
// changed for the length of the lease. While the store is unreachable, no node
// can take the lease, and the holder keeps it if engines reject outdated
// epochs.
//
// If the store comes back from an older copy, the row may name an earlier
// holder. The holder of before then writes it again while its lease has not
// expired; all other nodes wait for the length of a lease first. Each era of
// the store has epochs of its own, so that none is given out again. Does no
// I/O.
class placement_lease {
 public:
  struct terms {
    duration lease = Seconds(3);
    // All engines reject orders with an outdated fencing token.
    bool engines_check_fencing = true;
    // Delay of this candidate. It differs between nodes, so that they do not
    // all write at once.
    duration candidate_delay = Milliseconds(0);

    friend bool operator==(const terms&, const terms&) = default;
  };

  placement_lease(vm_id self, uint64_t incarnation, const terms& lease_terms);

  // Sets whether this node watches the row and takes the lease when it expires
  // or is released. The current holder keeps the lease in any case.
  void SetCandidate(bool candidate) { candidate_ = candidate; }

  // Returns the store call to make now. The caller reports its outcome through
  // one of OnRead(), OnWritten(), OnConflict() and OnFailure().
  lease_step Next(time_point now);

  void OnRead(const std::optional<authority_row>& row,
              const store_version& version,
              time_point now);
  void OnWritten(const store_version& version, time_point now);
  void OnConflict(time_point now);
  // The call failed. A write may still have taken effect.
  void OnFailure(time_point now);

  // A peer's digest names the holder of the lease.
  void OnHolderDigest(const vm_id& holder,
                      epoch fencing,
                      const store_version& version,
                      time_point now);
  // An engine rejected an order because it has seen a higher epoch.
  void OnFenced();
  // The store has come back from an older copy and is in this era. Ignored if
  // that is known.
  void OnStoreEra(store_era era, time_point now);
  // Releases the lease because the process is about to exit. A held lease is
  // released as soon as the store has answered the call in progress.
  void Release();

  // Whether this node holds the lease and may give orders now.
  bool IsHolder(time_point now) const;
  epoch fencing() const { return row_.fencing; }
  store_version version() const { return version_; }
  const vm_id& holder() const { return row_.holder; }

 private:
  bool IsOwn(const authority_row& row) const;
  // Whether this node may restore its row after the store has come back and
  // shows `seen`: nobody else can have taken the lease before.
  bool CanRestore(const authority_row& seen, time_point now) const;
  // Whether the row is the result of this node's last write, made under a
  // condition that the store has checked in the era of `version`.
  bool IsLastWrite(const authority_row& row,
                   const store_version& version) const;
  bool IsLeaseUnexpired(time_point now) const;
  epoch NextEpoch() const;
  void StepDown();

  vm_id self_;
  uint64_t incarnation_;
  terms terms_;
  authority_row row_;
  store_version version_;
  bool candidate_ = true;
  bool row_known_ = false;
  bool held_ = false;
  bool in_flight_ = false;
  bool releasing_ = false;
  // The write that releases the lease has been sent.
  bool release_sent_ = false;
  // A call failed without an answer, and no write has succeeded or met a
  // conflict since then.
  bool store_failed_ = false;
  bool must_read_ = false;
  // The latest era that is known, if any.
  std::optional<store_era> era_;
  // The highest epoch of a holder that this node has heard of.
  epoch highest_epoch_;
  // Epoch of the last write, and era of the version that it required.
  epoch written_epoch_;
  store_era written_under_;
  // After a change of the era, the end of the lease that another node may still
  // hold.
  time_point take_not_before_{};
  time_point sent_at_{};
  time_point renewed_at_{};
  // Last evidence that the holder is alive: the row changed or its digest was
  // received.
  time_point holder_seen_at_{};
  time_point holder_digest_at_{};
  time_point next_attempt_at_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PLACEMENT_LEASE_H_
