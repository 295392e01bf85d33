#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <exception>
#include <istream>
#include <ostream>

namespace jasminepath::platform {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{256} << 20;
constexpr std::size_t kReadChunkBytes = std::size_t{16} << 10;
constexpr int kFirstServerErrorStatus = 500;
constexpr char kReservedCharacters[] = "!#$&'()*+,/:;=?@[]%\" ";

Poco::Timespan ToTimespan(duration value) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

// Throws on connection errors and if the body exceeds kMaxAnswerBytes.
std::string ReadBody(std::istream& in) {
  std::string body;
  std::array<char, kReadChunkBytes> chunk;
  while (in.read(chunk.data(), chunk.size()) || in.gcount() > 0) {
    body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > kMaxAnswerBytes)
      throw Poco::DataException("answer exceeds 256 MiB");
  }
  return body;
}

Poco::Net::HTTPRequest MakeRequest(const std::string& address,
                                   const http_call& call) {
  Poco::Net::HTTPRequest request(call.method, call.target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(address);
  request.setKeepAlive(false);
  if (call.only_if_absent)
    request.set("If-None-Match", "*");
  request.setContentType("application/json");
  request.setContentLength(static_cast<std::streamsize>(call.body.size()));
  return request;
}

// Throws if the connection fails or the answer is truncated.
http_answer SendAndReceive(Poco::Net::StreamSocket& socket,
                           const std::string& address,
                           const http_call& call) {
  Poco::Net::HTTPClientSession session(socket);
  session.setKeepAlive(false);
  Poco::Net::HTTPRequest request = MakeRequest(address, call);
  session.sendRequest(request) << call.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  http_answer answer;
  answer.status = response.getStatus();
  answer.body = ReadBody(in);
  if (response.hasContentLength() &&
      static_cast<std::size_t>(response.getContentLength()) !=
          answer.body.size())
    throw Poco::DataException("answer truncated");
  return answer;
}

}  // namespace

result<http_answer, platform_error> Exchange(const std::string& address,
                                             const client_timeouts& timeouts,
                                             const http_call& call) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(address),
                   ToTimespan(timeouts.connect));
    socket.setSendTimeout(ToTimespan(timeouts.exchange));
    socket.setReceiveTimeout(ToTimespan(timeouts.exchange));
    socket.setNoDelay(true);
  } catch (const std::exception&) {
    return platform_error::unreachable;
  }
  try {
    return SendAndReceive(socket, address, call);
  } catch (const std::exception&) {
    return platform_error::outcome_lost;
  }
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
