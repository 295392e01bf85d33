#include "store_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <utility>

#include "json_text.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kTimeoutSeconds = 1;

struct store_answer {
  int status = 0;
  std::string body;
};

store_answer SendRequest(Poco::Net::HTTPClientSession& session,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body) {
  session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  store_answer answer;
  Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                   answer.body);
  answer.status = response.getStatus();
  return answer;
}

}  // namespace

store_client::store_client(std::string host,
                           uint16_t port,
                           std::string load_prefix)
    : host_(std::move(host)),
      port_(port),
      load_prefix_(std::move(load_prefix)) {}

bool store_client::IsComplete(const pending_load& load) const {
  const std::string id = load_prefix_ + load.id;
  std::string encoded;
  Poco::URI::encode(id, "/?#&%", encoded);
  try {
    Poco::Net::HTTPClientSession session(host_, port_);
    const auto status_answer =
        SendRequest(session, "GET", "/store/loads/" + encoded, "");
    if (status_answer.status == kOkStatus)
      return ParseObject(status_answer.body)->getValue<bool>("complete");
    json_object begin;
    begin.set("load", id);
    begin.set("kind", load.adapter.empty() ? "model" : "adapter");
    begin.set("full_speed_ms", ToMilliseconds(load.full_speed));
    Poco::Net::HTTPClientSession second(host_, port_);
    SendRequest(second, "POST", "/store/loads", ToText(begin));
  } catch (const Poco::Exception&) {
    // The caller polls again.
  }
  return false;
}

}  // namespace jasminepath::standin
