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

// Keeps a copy of one table of the store, by reading it once and then polling
// for changes. Reads it anew when the store no longer knows the changes. Rows
// may also come from peers; a row never goes back to an older version. Runs on
// the loop.
class table_follower {
 public:
  // Leaves `spacing` between two polls, so that changes in quick succession
  // come in one answer. `on_change` is called after each change of the copy.
  table_follower(http::event_loop& loop,
                 store_client& store,
                 std::string table,
                 duration spacing,
                 random_engine& random,
                 std::function<void()> on_change);

  void Start();

  // Whether this node asks the store for changes, or leaves that to a peer that
  // passes them on.
  void SetPolling(bool polls);
  // Changes that this node has read from the store.
  void OnChanges(std::function<void(const table_changes& changes)> callback) {
    on_changes_ = std::move(callback);
  }
  // Changes that a peer has read, or its whole copy. False if this copy lacks
  // what was before them and has to be fetched.
  bool Take(const table_changes& changes);

  const table_copy& copy() const { return copy_; }
  // See table_copy.
  std::set<std::string> TakeTouched() { return copy_.TakeTouched(); }

  // A peer knows a change. True if this copy lacks it for longer than the store
  // takes to tell it, so that it is better fetched from the peer; the pending
  // poll may be on a connection that has gone silent and is begun anew.
  bool IsBehind(revision last_change, time_point now);

 private:
  void ReadNext();
  void Poll();
  void OnRead(const store_answer& answer);
  void OnPolled(const store_answer& answer);
  void Retry();

  store_client& store_;
  duration spacing_;
  random_engine& random_;
  std::function<void()> on_change_;
  http::timer timer_;
  store_client::handle call_;
  table_copy copy_;
  // Pages of a read that is not complete yet.
  std::map<std::string, table_row> incoming_;
  std::string from_key_;
  std::function<void(const table_changes&)> on_changes_;
  // Whether it is this node's part to poll, and whether a poll is pending.
  bool polls_ = true;
  bool polling_ = false;
  // Since when a peer has been known to be ahead.
  time_point started_at_{};
  std::optional<time_point> behind_since_;
  int failures_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_FOLLOWER_H_
