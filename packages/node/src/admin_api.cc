#include "admin_api.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <future>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "jasminepath/base/digest.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::node {
namespace {

constexpr auto kDecisionTimeout = std::chrono::seconds(3);
constexpr int64_t kMaxBodyBytes = 16 * 1024 * 1024;
constexpr char kBearer[] = "Bearer ";

using config::json_value;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void Send(HTTPServerResponse& response,
          HTTPResponse::HTTPStatus status,
          const std::string& body) {
  response.setStatusAndReason(status);
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

void SendError(HTTPServerResponse& response,
               HTTPResponse::HTTPStatus status,
               const std::string& message) {
  Send(response, status,
       config::WriteJson(
           json_value(json_value::object{{"error", json_value(message)}})));
}

// Parses one entry of the "facts" array. Returns nullopt if a required field is
// missing.
std::optional<decision::fact> ReadFact(const json_value& entry) {
  const json_value* key = entry.Find("key");
  const json_value* version = entry.Find("version");
  if (key == nullptr || key->AsString() == nullptr)
    return std::nullopt;
  if (version == nullptr || version->AsInteger() == nullptr)
    return std::nullopt;
  const json_value* deleted = entry.Find("deleted");
  decision::fact fact;
  fact.key = *key->AsString();
  fact.version = revision(*version->AsInteger());
  fact.value = entry.StringOr("value", "");
  fact.deleted =
      deleted != nullptr && deleted->AsBool() != nullptr && *deleted->AsBool();
  return fact;
}

std::optional<std::vector<decision::fact>> ReadFacts(const std::string& body) {
  const auto root = config::ParseJson(body);
  if (!root)
    return std::nullopt;
  const json_value* entries = root.value().Find("facts");
  if (entries == nullptr || entries->AsArray() == nullptr)
    return std::nullopt;
  std::vector<decision::fact> facts;
  for (const json_value& entry : *entries->AsArray()) {
    auto fact = ReadFact(entry);
    if (!fact)
      return std::nullopt;
    facts.push_back(std::move(*fact));
  }
  return facts;
}

std::string WriteVersions(const instance_id& self,
                          const std::vector<decision::fact>& facts) {
  json_value::array versions;
  for (const decision::fact& fact : facts) {
    versions.push_back(json_value(
        json_value::object{{"key", json_value(fact.key)},
                           {"version", json_value(fact.version.count())}}));
  }
  return config::WriteJson(json_value(
      json_value::object{{"instance", json_value(self.value())},
                         {"versions", json_value(std::move(versions))}}));
}

}  // namespace

admin_api::admin_api(instance_id self,
                     std::string token_digest,
                     node_event_ring& events,
                     std::function<std::string()> histograms,
                     std::function<void()> drain)
    : self_(std::move(self)),
      token_digest_(std::move(token_digest)),
      events_(events),
      histograms_(std::move(histograms)),
      drain_(std::move(drain)) {}

void admin_api::Handle(HTTPServerRequest& request,
                       HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  const bool get = request.getMethod() == "GET";
  const bool post = request.getMethod() == "POST";
  if (get && path == "/healthz")
    return Send(response, HTTPResponse::HTTP_OK, "{\"ok\":true}");
  if (!IsAuthorized(request)) {
    return SendError(response, HTTPResponse::HTTP_UNAUTHORIZED,
                     "Authorization: expected \"Bearer <operator token>\"");
  }
  if (get && path == "/admin/status")
    return SendStatus(response);
  if (get && path == "/admin/histograms")
    return Send(response, HTTPResponse::HTTP_OK, histograms_());
  if (post && path == "/admin/facts")
    return ReceiveFacts(request, response);
  if (post && path == "/admin/drain") {
    drain_();
    return Send(response, HTTPResponse::HTTP_ACCEPTED, "{\"draining\":true}");
  }
  SendError(response, HTTPResponse::HTTP_NOT_FOUND, "no such page");
}

bool admin_api::IsAuthorized(const HTTPServerRequest& request) const {
  const std::string value = request.get("Authorization", "");
  if (!value.starts_with(kBearer) || token_digest_.empty())
    return false;
  const std::string token = value.substr(sizeof(kBearer) - 1);
  return EqualInConstantTime(Sha256Hex(token), token_digest_);
}

void admin_api::SendStatus(HTTPServerResponse& response) {
  auto answer = std::make_shared<std::promise<std::string>>();
  auto future = answer->get_future();
  const bool is_posted = events_.TryPush(status_requested{answer});
  if (!is_posted ||
      future.wait_for(kDecisionTimeout) != std::future_status::ready)
    return SendError(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                     "the node is busy; try again");
  Send(response, HTTPResponse::HTTP_OK, future.get());
}

void admin_api::ReceiveFacts(HTTPServerRequest& request,
                             HTTPServerResponse& response) {
  if (!request.hasContentLength() || request.getChunkedTransferEncoding())
    return SendError(response, HTTPResponse::HTTP_LENGTH_REQUIRED,
                     "a chunked body is not accepted; send Content-Length");
  if (request.getContentLength64() > kMaxBodyBytes)
    return SendError(response, HTTPResponse::HTTP_REQUESTENTITYTOOLARGE,
                     "body: too large");
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  auto facts = ReadFacts(body);
  if (!facts)
    return SendError(
        response, HTTPResponse::HTTP_BAD_REQUEST,
        "facts: expected an array of {\"key\", \"value\", \"version\"}");
  auto in_force = std::make_shared<std::promise<void>>();
  auto future = in_force->get_future();
  const std::string confirmation = WriteVersions(self_, *facts);
  const bool is_posted =
      events_.TryPush(facts_pushed{std::move(*facts), in_force});
  if (!is_posted ||
      future.wait_for(kDecisionTimeout) != std::future_status::ready)
    return SendError(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                     "the node is busy; try again");
  Send(response, HTTPResponse::HTTP_OK, confirmation);
}

}  // namespace jasminepath::node
