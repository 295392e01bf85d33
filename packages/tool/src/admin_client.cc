#include "jasminepath/tool/admin_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

#include "jasminepath/endpoint/whole_answer.h"

namespace jasminepath::tool {

namespace {

// Error messages quote at most this much of a node's response.
constexpr std::size_t kMaxShownBodyBytes = 200;
constexpr duration kMaxCallTime = Seconds(60);
// Limit on a node's response.
constexpr std::size_t kMaxResponseBytes = std::size_t{16} << 20;

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
  endpoint::outbound_request request;
  try {
    const Poco::Net::SocketAddress target(address);
    request.address = {target.host().toString(), target.port()};
  } catch (const Poco::Exception& error) {
    return failure(admin_error{error.displayText()});
  }
  request.method = method;
  request.path = path;
  request.headers = {{"Authorization", "Bearer " + operator_token_},
                     {"Content-Type", "application/json"}};
  request.body = body;
  request.echo = endpoint::echo_rule::ignored;
  const auto answer = endpoint::FetchWhole(
      request, {boot_clock::now() + kMaxCallTime, timeout_, timeout_},
      kMaxResponseBytes);
  if (!answer) {
    return failure(
        admin_error{std::string(endpoint::ToString(answer.error().kind)) +
                    ": " + answer.error().detail});
  }
  const auto& [status, text] = answer.value();
  if (status != Poco::Net::HTTPResponse::HTTP_OK) {
    return failure(admin_error{"HTTP status " + std::to_string(status) + ": " +
                               text.substr(0, kMaxShownBodyBytes)});
  }
  auto document = config::ParseJson(text);
  if (!document)
    return failure(admin_error{"the response is not JSON"});
  return std::move(document).value();
}

}  // namespace jasminepath::tool
