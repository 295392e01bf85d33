#ifndef JASMINEPATH_NODE_TESTS_HTTP_CALLER_H_
#define JASMINEPATH_NODE_TESTS_HTTP_CALLER_H_

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <map>
#include <string>

namespace jasminepath::node {

// The answer that a test's caller received.
struct http_answer {
  // 0 if the connection failed or ended early.
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

// One request of a test's caller, sent on its own connection.
struct http_call {
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

// Sends the call to "ip:port" and reads the complete answer.
inline http_answer SendRequest(const std::string& address,
                               const http_call& call) {
  const Poco::URI target("http://" + address);
  Poco::Net::HTTPClientSession session(target.getHost(), target.getPort());
  session.setTimeout(Poco::Timespan(60, 0));
  http_answer answer;
  try {
    Poco::Net::HTTPRequest request(call.method, call.path, "HTTP/1.1");
    for (const auto& [name, value] : call.headers)
      request.add(name, value);
    if (!call.body.empty() || call.method == "POST")
      request.setContentLength64(static_cast<int64_t>(call.body.size()));
    session.sendRequest(request) << call.body;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(stream, answer.body);
    for (const auto& [name, value] : response)
      answer.headers[name] = value;
    answer.status = response.getStatus();
  } catch (const Poco::Exception&) {
    answer.status = 0;
  }
  return answer;
}

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_TESTS_HTTP_CALLER_H_
