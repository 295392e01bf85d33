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

// The row that says who may give orders to engines.
struct authority_row {
  vm_id holder;
  uint64_t incarnation = 0;
  epoch fencing;

  friend bool operator==(const authority_row&, const authority_row&) = default;
};

// The row's value in the store, and back.
std::string EncodeAuthority(const authority_row& row);
decoded<authority_row> DecodeAuthority(const std::string& value);

// The next call to the store on behalf of the lease.
struct lease_step {
  enum class action { none, read, write };
  action what = action::none;
  authority_row row;
  // Version that the row has to have for the write; 0: does not exist.
  revision expected;

  friend bool operator==(const lease_step&, const lease_step&) = default;
};

// One node's part in choosing the one that places models: a conditional row
// with an epoch that only rises, renewed by its holder. Others take it once the
// row has not changed for the length of the lease. While the store cannot be
// reached, nobody can take it, and the holder goes on if engines refuse old
// epochs. Does no I/O.
class placement_lease {
 public:
  struct terms {
    duration lease = Seconds(3);
    // Orders with an old fencing token are refused by all engines.
    bool fenced = true;
    // Spreads candidates, so that they do not all write at once.
    duration delay = Milliseconds(0);

    friend bool operator==(const terms&, const terms&) = default;
  };

  placement_lease(vm_id self, uint64_t incarnation, const terms& limits);

  // Whether this node watches the row and takes it when it is free. A node that
  // holds it keeps it in any case.
  void SetCandidate(bool candidate) { candidate_ = candidate; }

  // What to do now; after it, one of the On...() functions tells the outcome.
  lease_step Next(time_point now);

  void OnRead(const std::optional<authority_row>& row,
              revision version,
              time_point now);
  void OnWritten(revision version, time_point now);
  void OnConflict(time_point now);
  // The call failed; a write may have taken effect.
  void OnFailure(time_point now);

  // A peer says that it holds the authority.
  void OnHolderDigest(const vm_id& holder,
                      epoch fencing,
                      revision version,
                      time_point now);
  // An engine refused an order because of a higher epoch.
  void OnFenced();
  // The process ends; gives the lease up if it is held, as soon as the store
  // has answered what is under way.
  void Release();

  // Whether this node may give orders now.
  bool Holds(time_point now) const;
  epoch fencing() const { return row_.fencing; }
  revision version() const { return version_; }
  const vm_id& holder() const { return row_.holder; }

 private:
  bool IsOwn(const authority_row& row) const;
  void StepDown();

  vm_id self_;
  uint64_t incarnation_;
  terms terms_;
  authority_row row_;
  revision version_;
  bool candidate_ = true;
  bool known_ = false;
  bool held_ = false;
  bool in_flight_ = false;
  bool releasing_ = false;
  // The write that gives the lease up has been sent.
  bool release_sent_ = false;
  // The last renewal failed for want of an answer, not because of a conflict.
  bool store_failed_ = false;
  bool must_read_ = false;
  time_point sent_at_{};
  time_point renewed_at_{};
  // Last sign that the holder lives: the row changed or its digest came.
  time_point evidence_at_{};
  time_point digest_at_{};
  time_point next_try_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PLACEMENT_LEASE_H_
