#ifndef JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_
#define JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/endpoint/exchange.h"

namespace jasminepath::endpoint {

// A sink that records the complete answer.
struct collected_answer {
  int status = 0;
  std::vector<header> headers;
  std::string body;
  // If set, the sink cancels this after the first bytes of the body.
  cancellation* cancel_on_body = nullptr;

  void OnHead(int received, const std::vector<header>& fields) {
    status = received;
    headers = fields;
  }
  bool OnBody(std::string_view data) {
    body.append(data);
    if (cancel_on_body)
      cancel_on_body->Cancel();
    return true;
  }
};

// A GET request to a port on the loopback address.
inline outbound_request GetFrom(uint16_t port, const std::string& path) {
  outbound_request request;
  request.address = {"127.0.0.1", port};
  request.method = "GET";
  request.path = path;
  request.request_id = "r1";
  return request;
}

// Limits that no successful exchange of a test reaches.
inline exchange_deadlines LongDeadlines() {
  return {boot_clock::now() + Seconds(60), Seconds(10), Seconds(60)};
}

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_
