#include "jasminepath/tool/admin_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <istream>
#include <ostream>
#include <utility>

namespace jasminepath::tool {

namespace {

// Error messages quote at most this much of a node's response.
constexpr std::size_t kMaxShownBodyBytes = 200;

Poco::Timespan ToTimespan(duration value) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

config::json_value WriteFacts(const std::vector<pushed_fact>& facts) {
  config::json_value list{config::json_value::array()};
  for (const pushed_fact& fact : facts) {
    list.Append("",
                config::json_value(config::json_value::object{
                    {"key", config::json_value(fact.key)},
                    {"value", config::json_value(fact.value)},
                    {"version", config::json_value(fact.version.count())}}));
  }
  return config::json_value(config::json_value::object{{"facts", list}});
}

fact_acknowledgement ReadAcknowledgement(const config::json_value& response) {
  fact_acknowledgement acknowledgement;
  acknowledgement.instance = instance_id(response.StringOr("instance", ""));
  const config::json_value* versions = response.Find("versions");
  if (versions == nullptr || versions->AsArray() == nullptr)
    return acknowledgement;
  for (const config::json_value& item : *versions->AsArray()) {
    acknowledgement.versions.push_back(
        {item.StringOr("key", ""), revision(item.IntegerOr("version", 0))});
  }
  return acknowledgement;
}

}  // namespace

admin_client::admin_client(std::string operator_token, duration timeout)
    : operator_token_(std::move(operator_token)), timeout_(timeout) {}

result<fact_acknowledgement, admin_error> admin_client::PostFacts(
    const std::string& address,
    const std::vector<pushed_fact>& facts) const {
  const std::string body = config::WriteJson(WriteFacts(facts));
  auto response = Call(address, "POST", "/admin/facts", body);
  if (!response)
    return failure(std::move(response).error());
  return ReadAcknowledgement(response.value());
}

result<config::json_value, admin_error> admin_client::Get(
    const std::string& address,
    const std::string& path) const {
  return Call(address, "GET", path, "");
}

result<config::json_value, admin_error> admin_client::Post(
    const std::string& address,
    const std::string& path) const {
  return Call(address, "POST", path, "{}");
}

result<config::json_value, admin_error> admin_client::Call(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& body) const {
  try {
    const Poco::Net::SocketAddress target(address);
    Poco::Net::HTTPClientSession session(target.host().toString(),
                                         target.port());
    session.setTimeout(ToTimespan(timeout_), ToTimespan(timeout_),
                       ToTimespan(timeout_));
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + operator_token_);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return failure(admin_error{"HTTP status " +
                                 std::to_string(response.getStatus()) + ": " +
                                 text.substr(0, kMaxShownBodyBytes)});
    }
    auto document = config::ParseJson(text);
    if (!document)
      return failure(admin_error{"the response is not JSON"});
    return std::move(document).value();
  } catch (const Poco::Exception& error) {
    return failure(admin_error{error.displayText()});
  }
}

}  // namespace jasminepath::tool
