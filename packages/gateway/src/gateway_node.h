#ifndef JASMINEPATH_GATEWAY_SRC_GATEWAY_NODE_H_
#define JASMINEPATH_GATEWAY_SRC_GATEWAY_NODE_H_

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "call_context.h"
#include "endpoint_departures.h"
#include "endpoint_list.h"
#include "jasminepath/base/random.h"
#include "jasminepath/gateway/gateway_app.h"
#include "jasminepath/http/server.h"
#include "order_dispatcher.h"
#include "origin_history.h"
#include "peer_group.h"
#include "store_client.h"
#include "suspect_archive.h"
#include "table_follower.h"
#include "table_relay.h"
#include "version_history.h"
#include "zone_summary.h"

namespace jasminepath::gateway {

// Connects the components of a node: passes requests to call sessions, table
// changes to the components that use them, and peer messages to their
// receivers.
class gateway_node {
 public:
  gateway_node(const gateway_settings& settings,
               const boost::asio::ip::tcp::endpoint& store,
               const protocol_codec& codec,
               settings_reader reader);
  ~gateway_node();

  result<void, std::string> Open();
  void Run();
  void BeginStop();
  unsigned short caller_port() const { return caller_server_.port(); }

 private:
  void AcceptCall(http::request message, std::shared_ptr<http::exchange> reply);
  void AnswerProbe(const http::request& message,
                   const std::shared_ptr<http::exchange>& reply);
  void AnswerInternal(const http::request& message,
                      const std::shared_ptr<http::exchange>& reply);
  gateway_gauges Gauges() const;

  void OnSiteRows();
  void OnEndpointRows();
  void ApplyEndpoints(endpoint_changes changes);
  // The store has come back from an older copy.
  void OnStoreEra();
  // Calls the store if a peer has seen a later era of it than this node.
  void CheckPeerEra(store_era era);
  void LogEndpointChanges(const endpoint_changes& changes);
  void Register();
  void OnRegistered(const store_answer& answer);
  void ReadPeers();
  void OnPeersRead(const store_answer& answer);

  void OnPeerMessage(const peer_message& message);
  void OnDigest(const peer_digest& digest);
  void OnPeerGone(const vm_id& node);
  void OnNotice(const load_notice& notice);
  void OnOriginQuery(const origin_query& query);
  node_awareness Awareness(time_point now) const;
  peer_digest MakeDigest(time_point now);
  void SendDigest();
  void SendCrashReports(time_point now);
  void SendCrashHistory(time_point now);
  void SendUrgentDemand();
  void BroadcastTableChanges(const table_changes& changes);
  // Time until the next digest.
  duration DigestInterval(time_point now) const;
  void ScheduleDigest();

  void Tick();
  void UpdateDuties(time_point now);
  void ConfirmTables(int64_t rank, time_point now);
  void ApplyNotice(const load_notice& notice, time_point now);
  void WatchSignals();
  void Reload();
  // Plans the stop by the present grace period and applies the plan to all
  // calls.
  void ScheduleStop();
  void ContinueStop();
  bool IsReady() const;

  gateway_settings settings_;
  const protocol_codec& codec_;
  settings_reader reader_;
  http::event_loop loop_;
  uint64_t incarnation_;
  random_engine random_;
  report::event_log log_;
  gateway_metrics metrics_;
  endpoint_pool endpoints_;
  fleet_rate_limiter limiter_;
  retry_budgets retries_;
  wait_queue queue_;
  call_registry calls_;
  crash_suspects suspects_;
  stream_origins origins_;
  store_client store_;
  version_history version_history_;
  origin_history origin_history_;
  stream_version_finder stream_versions_;
  call_context context_;
  table_follower site_rows_;
  table_follower endpoint_rows_;
  endpoint_list endpoint_list_;
  endpoint_departures departures_;
  suspect_archive suspect_archive_;
  order_dispatcher order_dispatcher_;
  peer_group peers_;
  zone_summary summary_;
  table_relay relay_;
  http::server caller_server_;
  http::server probe_server_;
  http::server internal_server_;
  boost::asio::signal_set signals_;
  http::timer tick_timer_;
  http::timer digest_timer_;
  http::timer stop_timer_;
  http::timer register_timer_;
  store_client::handle register_call_;
  uint64_t digest_sequence_ = 0;
  time_point next_crash_history_at_{};
  // Era of the endpoint list in use.
  store_era endpoint_list_era_;
  // The latest era that a peer has seen.
  store_era peer_era_;
  // The registered nodes have been read from the store.
  bool peers_known_ = false;
  time_point started_at_{};
  // Last logged rank in the zone, limited to the first rank without duties.
  int64_t duty_rank_ = -1;
  bool was_ready_ = false;
  bool stopping_ = false;
  time_point stop_began_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_GATEWAY_NODE_H_
