#ifndef JASMINEPATH_GATEWAY_SRC_TABLE_FOLLOWER_H_
#define JASMINEPATH_GATEWAY_SRC_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/gateway/peer_digest.h"
#include "store_client.h"
#include "table_copy.h"

namespace jasminepath::gateway {

// When a table_follower calls the store.
struct follower_timing {
  // Pause between two polls, so that changes in quick succession arrive in one
  // answer.
  duration spacing;
  // Time that the store holds a poll without changes.
  duration poll_wait;
  // Time without a proof that the copy is up to date after which a node that
  // does not poll reads the changes itself.
  duration confirmation_timeout;
};

// Maintains a copy of one table of the store: reads it once and then polls for
// changes, or relies on peers that do. Reads the table again when the store no
// longer has the changes or has come back from an older copy. Rows may also
// come from peers; a row never goes back to an older version. Runs on the event
// loop.
class table_follower {
 public:
  // `on_change` is called after each change of the copy.
  table_follower(http::event_loop& loop,
                 store_client& store,
                 std::string table,
                 const follower_timing& timing,
                 random_engine& random,
                 std::function<void()> on_change);

  void Start();

  // Sets whether this node polls the store for changes or relies on a peer that
  // forwards them.
  void SetPolling(bool should_poll);
  bool is_polling() const { return should_poll_; }
  // The era of the store has risen: reads the table again if this node polls.
  // Other nodes receive the rows from one that does.
  void OnStoreEra();
  // Sets the receiver of changes that this node has read from the store.
  void OnChanges(std::function<void(const table_changes& changes)> callback) {
    on_changes_ = std::move(callback);
  }
  // Reads the changes from the store if neither a peer nor the store has proved
  // for too long that the copy is up to date, although this node does not poll.
  // Nodes with a higher `rank` wait longer, so that the first ones can inform
  // the others. Returns whether a call was started.
  bool ReadIfUnconfirmed(int64_t rank, time_point now);
  // Applies changes or a snapshot received from a peer. Returns false if
  // earlier changes are missing and must be fetched.
  bool ApplyChanges(const table_changes& changes, time_point now);

  const table_copy& copy() const { return copy_; }
  // Status for a digest of the given era.
  table_status Status(store_era era, time_point now) const;
  // Time since the copy was known to be up to date.
  duration Age(time_point now) const { return now - confirmed_at_; }
  // See table_copy::TakeChangedKeys().
  std::set<std::string> TakeChangedKeys() { return copy_.TakeChangedKeys(); }

  // Compares this copy with that of a peer, which is of the given era and may
  // prove that this one is up to date. Returns true if the caller should fetch
  // the changes from the peer: if this copy has lacked a change that the peer
  // knows for longer than the store usually needs to deliver it, or if the
  // store does not answer and the peer's copy is newer. Also restarts a pending
  // poll, whose connection may have gone silent.
  bool IsBehind(const table_status& peer, store_era era, time_point now);

 private:
  void ReadNext();
  void Poll();
  void OnRead(const store_answer& answer);
  void OnPolled(const store_answer& answer);
  void Publish(const table_changes& changes);
  void RecordRead(time_point at);
  void Retry();
  bool IsUnconfirmed(time_point now) const {
    return Age(now) >= timing_.confirmation_timeout;
  }

  store_client& store_;
  follower_timing timing_;
  random_engine& random_;
  std::function<void()> on_change_;
  http::timer timer_;
  store_client::handle call_;
  table_copy copy_;
  // Rows of the pages read so far, and the version of the first page.
  std::map<std::string, table_row> incoming_;
  std::optional<store_version> read_version_;
  std::string from_key_;
  std::function<void(const table_changes&)> on_changes_;
  // Whether this node polls the store, and whether a poll is pending.
  bool should_poll_ = true;
  bool polling_ = false;
  // Whether a node that does not poll is reading from the store, and the
  // earliest time of its next attempt.
  bool reading_ = false;
  time_point next_read_at_{};
  // The last time at which the copy was up to date by an answer of the store,
  // and by that or a peer's message.
  time_point read_at_{};
  time_point confirmed_at_{};
  // Start of the last read of the whole table, and the time since which a peer
  // has had newer changes.
  time_point started_at_{};
  std::optional<time_point> behind_since_;
  int failures_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_FOLLOWER_H_
