#ifndef JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_
#define JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/endpoint/exchange.h"

namespace jasminepath::endpoint {

// A sink that keeps the whole answer.
struct collected_answer {
  int status = 0;
  std::vector<header> headers;
  std::string body;
  // Cancels this after the first bytes of the body, if set.
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

// A GET request to a port of this machine.
inline outbound_request GetFrom(uint16_t port, const std::string& path) {
  outbound_request request;
  request.address = {"127.0.0.1", port};
  request.method = "GET";
  request.path = path;
  request.request_id = "r1";
  return request;
}

// Limits that no healthy exchange of a test reaches.
inline exchange_deadlines AmpleDeadlines() {
  return {boot_clock::now() + Seconds(60), Seconds(10), Seconds(60)};
}

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_COLLECTED_ANSWER_H_
