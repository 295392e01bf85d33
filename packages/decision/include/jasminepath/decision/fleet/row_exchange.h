#ifndef JASMINEPATH_DECISION_FLEET_ROW_EXCHANGE_H_
#define JASMINEPATH_DECISION_FLEET_ROW_EXCHANGE_H_

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/fleet/versioned_store.h"

namespace jasminepath::decision {

// The result of a received page of rows.
template <typename Value>
struct page_result {
  std::vector<versioned_row<Value>> changed;
  // The request for the next page, to be sent to the sender of this one.
  std::optional<row_request> next;
};

// Synchronizes one replicated set of rows by anti-entropy: compares digests,
// requests missing rows from one peer at a time, and assembles snapshots from
// their pages.
template <typename Value>
class row_exchange {
 public:
  row_exchange(row_topic topic, fleet_limits limits)
      : topic_(topic), limits_(limits) {}

  versioned_store<Value>& store() { return store_; }
  const versioned_store<Value>& store() const { return store_; }

  // Whether this copy has every row that a copy with the digest `theirs` has.
  bool Covers(const store_digest& theirs) const {
    const store_digest ours = store_.digest();
    return ours.hash == theirs.hash || ours.reflects_through >= theirs.highest;
  }

  // Handles the digest of a peer. Returns the request to send to this peer, if
  // rows are missing and a request is due.
  std::optional<row_request> OnDigest(const instance_id& peer,
                                      const store_digest& theirs,
                                      time_point now) {
    if (store_.digest().hash == theirs.hash)
      store_.OnEqualCopy(theirs);
    if (Covers(theirs)) {
      snapshot_needed_since_.reset();
      return std::nullopt;
    }
    if (asked_peer_ && now - asked_at_ < limits_.row_request_timeout)
      return std::nullopt;
    if (NeedsSnapshot(theirs) && !IsSnapshotDue(now))
      return std::nullopt;
    transfer_.reset();
    return MakeRequest(peer, std::nullopt, now);
  }

  page_result<Value> OnPage(const instance_id& peer,
                            const row_page<Value>& page,
                            time_point now) {
    if (asked_peer_ == peer)
      asked_peer_.reset();
    if (page.snapshot)
      return OnSnapshotPage(peer, page, now);
    page_result<Value> outcome;
    outcome.changed = store_.ApplyChanges(page.rows, page.since, page.through);
    if (!page.last && page.through > page.since)
      outcome.next = MakeRequest(peer, std::nullopt, now);
    return outcome;
  }

 private:
  // How long a snapshot is postponed. Other peers may still be able to list the
  // changes; a snapshot is requested only if none of them has done so within
  // this time.
  static constexpr duration kSnapshotDelay = Milliseconds(1500);

  // The state of a snapshot that is being received page by page.
  struct snapshot_transfer {
    instance_id peer;
    revision through;
    revision cursor;
    std::set<row_version> present;
  };

  bool NeedsSnapshot(const store_digest& theirs) const {
    const revision ours = store_.complete_through();
    return ours > revision() && ours < theirs.changes_after;
  }

  bool IsSnapshotDue(time_point now) {
    if (!snapshot_needed_since_)
      snapshot_needed_since_ = now;
    return now - *snapshot_needed_since_ >= kSnapshotDelay;
  }

  row_request MakeRequest(const instance_id& peer,
                          std::optional<revision> cursor,
                          time_point now) {
    asked_peer_ = peer;
    asked_at_ = now;
    return {.topic = topic_,
            .since = store_.complete_through(),
            .snapshot_cursor = cursor};
  }

  page_result<Value> OnSnapshotPage(const instance_id& peer,
                                    const row_page<Value>& page,
                                    time_point now) {
    page_result<Value> outcome;
    outcome.changed = store_.ApplyRows(page.rows);
    if (page.since == revision())
      transfer_ = snapshot_transfer{.peer = peer,
                                    .through = page.through,
                                    .cursor = revision(),
                                    .present = {}};
    const bool is_next_page =
        transfer_ && transfer_->peer == peer && transfer_->cursor == page.since;
    if (!is_next_page)
      return outcome;
    for (const auto& row : page.rows) {
      transfer_->present.insert({.version = row.version, .key = row.key});
      transfer_->cursor = std::max(transfer_->cursor, row.version);
    }
    if (!page.last) {
      outcome.next = MakeRequest(peer, transfer_->cursor, now);
      return outcome;
    }
    const auto removed =
        store_.FinishSnapshot(transfer_->present, transfer_->through);
    outcome.changed.insert(outcome.changed.end(), removed.begin(),
                           removed.end());
    transfer_.reset();
    return outcome;
  }

  row_topic topic_;
  fleet_limits limits_;
  versioned_store<Value> store_;
  std::optional<instance_id> asked_peer_;
  time_point asked_at_{};
  std::optional<time_point> snapshot_needed_since_;
  std::optional<snapshot_transfer> transfer_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_ROW_EXCHANGE_H_
