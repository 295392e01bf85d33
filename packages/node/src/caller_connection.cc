#include "caller_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <exception>
#include <utility>

#include "refusal_body.h"

namespace jasminepath::node {
namespace {

constexpr char kRequestIdHeader[] = "X-Request-Id";

Poco::Net::StreamSocket& SocketOf(Poco::Net::HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

// Runs one write step. Returns false if the step throws, which means that the
// caller has disconnected.
template <typename Step>
bool TryWrite(Step step) {
  try {
    step();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

caller_connection::caller_connection(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response,
                                     request_id call)
    : request_(request), response_(response), call_(std::move(call)) {}

bool caller_connection::IsCallerGone() const {
  char byte = 0;
  const int descriptor = SocketOf(request_).impl()->sockfd();
  const auto got =
      recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    return false;
  if (got == 0)
    return true;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool caller_connection::SendAnswer(int status,
                                   const std::vector<endpoint::header>& headers,
                                   std::string_view body) {
  return TryWrite([&] {
    SetHead(status, headers);
    response_.sendBuffer(body.data(), body.size());
  });
}

bool caller_connection::SendRefusal(const refusal& reason) {
  if (has_started_) {
    if (!IsCallerGone())
      cut_cause_ = reason.code;
    const bool is_written = has_events_ && stream_ != nullptr &&
                            WriteStream(RefusalEvent(reason, call_.value()));
    Abort();
    return is_written;
  }
  std::vector<endpoint::header> headers = {
      {"Content-Type", "application/json"}};
  if (reason.retry_after) {
    headers.push_back({"Retry-After",
                       std::to_string(RetryAfterSeconds(*reason.retry_after))});
  }
  return SendAnswer(HttpStatus(reason.code), headers,
                    RefusalBody(reason, call_.value()));
}

bool caller_connection::BeginStream(
    int status,
    const std::vector<endpoint::header>& headers,
    bool has_events) {
  has_events_ = has_events;
  return TryWrite([&] {
    SetHead(status, headers);
    response_.setChunkedTransferEncoding(true);
    stream_ = &response_.send();
    stream_->flush();
  });
}

bool caller_connection::WriteStream(std::string_view part) {
  return TryWrite([&] {
    stream_->write(part.data(), static_cast<std::streamsize>(part.size()));
    stream_->flush();
    if (!*stream_)
      throw Poco::IOException("the caller has disconnected");
  });
}

bool caller_connection::EndStream() {
  return TryWrite([&] { stream_->flush(); }) && stream_->good();
}

void caller_connection::Abort() {
  // POCO writes the last chunk when the stream is destroyed. Shutting down the
  // socket first keeps that chunk from reaching the caller.
  response_.setKeepAlive(false);
  TryWrite([&] { SocketOf(request_).impl()->shutdown(); });
}

void caller_connection::SetHead(int status,
                                const std::vector<endpoint::header>& headers) {
  has_started_ = true;
  response_.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  for (const endpoint::header& field : headers)
    response_.add(field.name, field.value);
  response_.set(kRequestIdHeader, call_.value());
}

}  // namespace jasminepath::node
