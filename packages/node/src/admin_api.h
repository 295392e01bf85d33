#ifndef JASMINEPATH_NODE_ADMIN_API_H_
#define JASMINEPATH_NODE_ADMIN_API_H_

#include <functional>
#include <string>

#include "jasminepath/base/ids.h"
#include "node_event.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}  // namespace Poco::Net

namespace jasminepath::node {

// The HTTP interface for operators: GET /admin/status, GET /admin/histograms,
// POST /admin/facts and POST /admin/drain. Every request must carry the
// operator token as "Authorization: Bearer <token>".
class admin_api {
 public:
  // `token_digest` is the SHA-256 of the token in lower-case hexadecimal; if it
  // is empty, all requests are rejected. `histograms` returns the histograms
  // page, and `drain` starts a planned stop. `events` must outlive this object.
  admin_api(instance_id self,
            std::string token_digest,
            node_event_ring& events,
            std::function<std::string()> histograms,
            std::function<void()> drain);

  // Answers one request on the calling thread.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  bool IsAuthorized(const Poco::Net::HTTPServerRequest& request) const;
  void SendStatus(Poco::Net::HTTPServerResponse& response);
  void ReceiveFacts(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);

  const instance_id self_;
  const std::string token_digest_;
  node_event_ring& events_;
  const std::function<std::string()> histograms_;
  const std::function<void()> drain_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ADMIN_API_H_
