#ifndef JASMINEPATH_GATEWAY_SRC_ORIGIN_HISTORY_H_
#define JASMINEPATH_GATEWAY_SRC_ORIGIN_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"
#include "jasminepath/report/event_log.h"
#include "software_versions.h"
#include "store_client.h"
#include "stream_origins.h"

namespace jasminepath::gateway {

std::string EncodeOrigins(const std::vector<stream_origin>& origins);
decoded<std::vector<stream_origin>> DecodeOrigins(const std::string& value);

// Keeps the origins of streams in the store while services have several
// software versions, so that streams survive a restart of all nodes. Each node
// writes the origins of the streams that began at it to one row, several at a
// time, without making the streams wait; a node that starts reads all rows.
// Runs on the event loop.
class origin_history {
 public:
  // Table of the store with a row for each node.
  static constexpr char kTable[] = "jasminepath-origins";

  origin_history(vm_id self,
                 store_client& store,
                 const software_versions& versions,
                 stream_origins& origins,
                 report::event_log& log);

  // Records a stream that begins at this node.
  void Add(const stream_origin& origin, time_point now);

  // Reads and writes the table if it is time. `knows_versions`: the versions
  // from before this node's start are known. `nodes`: number of nodes that
  // write. Called often.
  void Tick(bool knows_versions, int64_t nodes, time_point now);

  // The store has come back from an older copy: writes the row again.
  void OnStoreEra() { is_unwritten_ = !own_.empty(); }

  // Whether the origins from before the start are known, or are not needed.
  bool is_known() const { return is_known_; }

 private:
  void Read();
  void OnRead(const store_answer& answer);
  void Learn(const table_row& row, time_point now);
  void Write(time_point now);
  void OnWritten(const store_answer& answer);
  bool HasServiceWithSeveral(time_point now) const;
  // Adds a stream of this node and drops those that are too old or too many.
  void AddOwn(const stream_origin& origin, time_point now);

  vm_id self_;
  store_client& store_;
  const software_versions& versions_;
  stream_origins& origins_;
  report::event_log& log_;
  store_client::handle call_;
  bool is_calling_ = false;
  bool is_known_ = false;
  std::string from_key_;
  int64_t read_origins_ = 0;
  // Streams that began at this node, in the order of their time, including
  // those that its row has from before its start.
  std::deque<std::pair<time_point, stream_origin>> own_;
  std::size_t own_bytes_ = 0;
  // `own_` has changed since the last write.
  bool is_unwritten_ = false;
  duration write_interval_{};
  time_point next_call_at_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ORIGIN_HISTORY_H_
