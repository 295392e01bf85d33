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

// What a page of rows led to.
template <typename Value>
struct page_result {
  std::vector<versioned_row<Value>> changed;
  // To be sent to the sender of the page.
  std::optional<row_request> next;
};

// Anti-entropy of one replicated set: compares digests, asks one peer at a time
// for what is missing, and puts snapshots together from their pages.
template <typename Value>
class row_exchange {
 public:
  row_exchange(row_topic topic, fleet_limits limits)
      : topic_(topic), limits_(limits) {}

  versioned_store<Value>& store() { return store_; }
  const versioned_store<Value>& store() const { return store_; }

  // Whether this copy lacks nothing that a copy with the digest `theirs` holds.
  bool Covers(const store_digest& theirs) const {
    const store_digest ours = store_.digest();
    return ours.hash == theirs.hash || ours.reflects_through >= theirs.highest;
  }

  // A peer's digest has come; returns what to ask it for, if anything.
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
  // Other peers may be able to list the changes; a snapshot from this one is
  // taken only if none has for this long.
  static constexpr duration kSnapshotDelay = Milliseconds(1500);

  // Pages of a snapshot received so far.
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
    const bool continues =
        transfer_ && transfer_->peer == peer && transfer_->cursor == page.since;
    if (!continues)
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
