#ifndef JASMINEPATH_GATEWAY_SRC_SUSPECT_ARCHIVE_H_
#define JASMINEPATH_GATEWAY_SRC_SUSPECT_ARCHIVE_H_

#include <cstdint>
#include <string>

#include "crash_suspects.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"
#include "jasminepath/report/event_log.h"
#include "store_client.h"

namespace jasminepath::gateway {

// Conversion to and from the value of a row. `store_time_ms` is the store's
// clock, by which rows state when the crashes happened.
std::string EncodeSuspects(const std::vector<known_suspect>& suspects,
                           int64_t store_time_ms);
decoded<std::vector<known_suspect>> DecodeSuspects(const std::string& value,
                                                   int64_t store_time_ms);

// Keeps blocked suspects in the store, so that they stay blocked after a
// restart of all nodes. One node of each zone writes the zone's row when the
// blocked suspects have changed. The rows are in the table that a node reads at
// its start anyway. Runs on the event loop.
class suspect_archive {
 public:
  // `table`: the table in which nodes register.
  suspect_archive(std::string table,
                  const zone_id& zone,
                  store_client& store,
                  crash_suspects& suspects,
                  report::event_log& log);

  // Takes a row of the table. Returns false if it does not hold suspects.
  bool OnRow(const table_row& row, int64_t store_time_ms, time_point now);
  // Writes the zone's row if it is time. Called often.
  void Tick(bool should_write, time_point now);
  // The store has come back from an older copy, which may lack the row.
  void OnStoreEra() { written_.clear(); }

 private:
  void OnWritten(std::vector<known_suspect> suspects,
                 const store_answer& answer);

  std::string table_;
  std::string key_;
  store_client& store_;
  crash_suspects& suspects_;
  report::event_log& log_;
  store_client::handle call_;
  bool is_calling_ = false;
  time_point next_check_at_{};
  // The store's clock at a time of this node's; 0 if it is not known.
  int64_t store_time_ms_ = 0;
  time_point store_time_at_{};
  // The suspects in the zone's row, as far as this node has written it.
  std::vector<known_suspect> written_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_SUSPECT_ARCHIVE_H_
