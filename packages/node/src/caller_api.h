#ifndef JASMINEPATH_NODE_CALLER_API_H_
#define JASMINEPATH_NODE_CALLER_API_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "call_worker.h"
#include "inbound_call.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/report/event_log.h"
#include "node_event.h"
#include "open_request_list.h"

namespace jasminepath::node {

class node_view;

// The HTTP interface for callers: the model API, the routes of plain services,
// and the pages for the load balancer and for monitoring.
class caller_api {
 public:
  // The references must outlive this object. `metrics` returns the metrics
  // page.
  caller_api(instance_id self,
             const inbound_limits& inbound,
             const worker_limits& worker,
             node_event_ring& events,
             const node_view& view,
             report::event_log& log,
             std::function<std::string()> metrics);

  // Answers one request on the calling thread.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

  // Logs every open request as cut, before its connection is shut down.
  void LogOpenRequestsAsCut() const;

  // Refuses one request because the connection or request limit is exceeded.
  void Refuse(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  bool HandlePage(Poco::Net::HTTPServerRequest& request,
                  caller_connection& caller);
  bool ListModels(caller_connection& caller) const;
  request_id NextId();
  void LogCut(const open_request& request, std::string_view cause) const;

  const instance_id self_;
  const inbound_limits inbound_;
  const worker_limits worker_;
  node_event_ring& events_;
  const node_view& view_;
  report::event_log& log_;
  open_request_list open_requests_;
  const std::function<std::string()> metrics_;
  std::atomic<uint64_t> last_id_{0};
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALLER_API_H_
