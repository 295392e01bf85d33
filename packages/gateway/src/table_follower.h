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

// Maintains a copy of one table of the store: reads it once and then polls for
// changes. Reads the table again when the store no longer has the changes. Rows
// may also come from peers; a row never goes back to an older version. Runs on
// the event loop.
class table_follower {
 public:
  // `spacing` is the pause between two polls, so that changes in quick
  // succession arrive in one answer. `on_change` is called after each change of
  // the copy.
  table_follower(http::event_loop& loop,
                 store_client& store,
                 std::string table,
                 duration spacing,
                 random_engine& random,
                 std::function<void()> on_change);

  void Start();

  // Sets whether this node polls the store for changes or relies on a peer that
  // forwards them.
  void SetPolling(bool should_poll);
  bool is_polling() const { return should_poll_; }
  // Sets the receiver of changes that this node has read from the store.
  void OnChanges(std::function<void(const table_changes& changes)> callback) {
    on_changes_ = std::move(callback);
  }
  // Applies changes or a snapshot received from a peer. Returns false if
  // earlier changes are missing and must be fetched.
  bool ApplyChanges(const table_changes& changes);

  const table_copy& copy() const { return copy_; }
  // See table_copy::TakeChangedKeys().
  std::set<std::string> TakeChangedKeys() { return copy_.TakeChangedKeys(); }

  // Compares this copy with that of a peer. Returns true if it has lacked a
  // change that the peer knows for longer than the store usually needs to
  // deliver it, so that the caller should fetch it from the peer. Also restarts
  // a pending poll, whose connection may have gone silent.
  bool IsBehind(const table_status& peer, time_point now);

 private:
  void ReadNext();
  void Poll();
  void OnRead(const store_answer& answer);
  void OnPolled(const store_answer& answer);
  void Publish(const table_changes& changes);
  void Retry();

  store_client& store_;
  duration spacing_;
  random_engine& random_;
  std::function<void()> on_change_;
  http::timer timer_;
  store_client::handle call_;
  table_copy copy_;
  // Rows of the pages read so far.
  std::map<std::string, table_row> incoming_;
  std::string from_key_;
  std::function<void(const table_changes&)> on_changes_;
  // Whether this node polls the store, and whether a poll is pending.
  bool should_poll_ = true;
  bool polling_ = false;
  // Start of the last read of the whole table, and the time since which a peer
  // has had newer changes.
  time_point started_at_{};
  std::optional<time_point> behind_since_;
  int failures_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_FOLLOWER_H_
