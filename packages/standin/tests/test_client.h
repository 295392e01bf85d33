#ifndef JASMINEPATH_STANDIN_TEST_CLIENT_H_
#define JASMINEPATH_STANDIN_TEST_CLIENT_H_

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminepath::standin {

// A complete answer; status 0 if the connection ended without one.
struct test_answer {
  int status = 0;
  std::string body;

  Poco::JSON::Object::Ptr Json() const {
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
  }
};

// A header of a test request.
struct test_header {
  std::string name;
  std::string value;
};

// Sends one request on a new connection.
inline test_answer Call(uint16_t port,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body = "",
                        const std::vector<test_header>& headers = {}) {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
  for (const test_header& field : headers)
    request.set(field.name, field.value);
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  test_answer answer;
  try {
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                     answer.body);
    answer.status = response.getStatus();
  } catch (const Poco::Exception&) {
    answer.status = 0;
  }
  return answer;
}

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_TEST_CLIENT_H_
