#ifndef JASMINEPATH_GATEWAY_SRC_FACT_RELAY_H_
#define JASMINEPATH_GATEWAY_SRC_FACT_RELAY_H_

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

// Passes copies of the store's tables between nodes, for those that the store
// does not serve. Runs on the loop.
class fact_relay {
 public:
  fact_relay(http::event_loop& loop, report::event_log& log);

  // Path at which a node serves its copy of the table. A request's query says
  // which change of it the peer knows.
  static std::string PathOfTable(const table_follower& table);
  // The body of the answer to such a request.
  const std::string& Answer(const table_follower& table,
                            std::string_view target);

  // Fetches what the table lacks from a peer, unless a fetch is under way.
  void Fetch(const std::string& facts_address,
             const vm_id& peer,
             table_follower& table);

 private:
  void OnFetched(const http::response* answer,
                 const vm_id& peer,
                 table_follower& table);

  // The last answer about a table. After a large change many nodes ask for the
  // same, and it takes time to compress.
  struct known_answer {
    revision after;
    revision last_change;
    std::string body;
  };

  http::event_loop& loop_;
  report::event_log& log_;
  std::map<std::string, known_answer> answers_;
  std::unique_ptr<http::client> client_;
  std::unique_ptr<http::whole_call> call_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_FACT_RELAY_H_
