#ifndef JASMINEPATH_GATEWAY_SRC_TABLE_RELAY_H_
#define JASMINEPATH_GATEWAY_SRC_TABLE_RELAY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "jasminepath/base/ids.h"
#include "jasminepath/http/client.h"
#include "jasminepath/http/server.h"
#include "jasminepath/report/event_log.h"
#include "table_follower.h"

namespace jasminepath::gateway {

// Exchanges copies of the store's tables between nodes, for nodes that cannot
// read them from the store. Runs on the event loop.
class table_relay {
 public:
  table_relay(http::event_loop& loop, report::event_log& log);

  // Path at which a node serves its copy of the table. The query string names
  // the version as of which the peer's copy is complete.
  static std::string PathOfTable(const table_follower& table);
  // Returns the body of the answer to such a request.
  const std::string& Answer(const table_follower& table,
                            std::string_view target);

  // Fetches the missing changes from a peer, unless another fetch is in
  // progress.
  void Fetch(const std::string& table_server_address,
             const vm_id& peer,
             table_follower& table);

 private:
  void OnFetched(const http::response* answer,
                 const vm_id& peer,
                 table_follower& table);

  // Last answer for a table. After a large change many nodes request the same
  // rows, and compressing them takes time.
  struct cached_answer {
    store_version since;
    store_version history_from;
    store_version last_change;
    std::string body;
  };

  http::event_loop& loop_;
  report::event_log& log_;
  std::map<std::string, cached_answer> answers_;
  std::unique_ptr<http::client> client_;
  std::unique_ptr<http::buffered_call> call_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_TABLE_RELAY_H_
