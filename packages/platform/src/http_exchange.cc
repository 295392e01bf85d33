#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <cstddef>
#include <optional>
#include <utility>

#include "jasminepath/endpoint/whole_answer.h"

namespace jasminepath::platform {
namespace {

// Limit on an answer, of which a table's rows are the largest.
constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20;
constexpr int kFirstServerErrorStatus = 500;
constexpr char kReservedCharacters[] = "!#$&'()*+,/:;=?@[]%\" ";

std::optional<endpoint::endpoint_address> ParseAddress(
    const std::string& address) {
  try {
    const Poco::Net::SocketAddress parsed(address);
    return endpoint::endpoint_address{parsed.host().toString(), parsed.port()};
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

result<http_answer, platform_error> Exchange(const std::string& address,
                                             const client_timeouts& timeouts,
                                             const http_call& call) {
  const auto target = ParseAddress(address);
  if (!target)
    return platform_error::unreachable;
  endpoint::outbound_request request;
  request.address = *target;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  request.echo = endpoint::echo_rule::ignored;
  request.headers = {{"Content-Type", "application/json"}};
  if (call.only_if_absent)
    request.headers.push_back({"If-None-Match", "*"});
  auto answer = endpoint::FetchWhole(
      request,
      {boot_clock::now() + timeouts.total, timeouts.connect, timeouts.exchange},
      kMaxAnswerBytes);
  if (!answer) {
    return answer.error().run == run_state::not_run
               ? platform_error::unreachable
               : platform_error::outcome_lost;
  }
  return http_answer{answer.value().status, std::move(answer.value().body)};
}

platform_error ErrorOf(const http_answer& answer) {
  if (answer.status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      answer.body.find("\"down\"") != std::string::npos)
    return platform_error::unreachable;
  if (answer.status >= kFirstServerErrorStatus)
    return platform_error::outcome_lost;
  if (answer.status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND)
    return platform_error::not_found;
  if (answer.status == Poco::Net::HTTPResponse::HTTP_PRECONDITION_FAILED)
    return platform_error::already_exists;
  return platform_error::rejected;
}

std::string EncodeName(const std::string& name) {
  std::string encoded;
  Poco::URI::encode(name, kReservedCharacters, encoded);
  return encoded;
}

}  // namespace jasminepath::platform
