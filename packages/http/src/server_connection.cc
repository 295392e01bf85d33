#include "server_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <utility>

#include "server_exchange.h"

namespace jasminepath::http {
namespace {

namespace beast = boost::beast;
namespace asio = boost::asio;
using boost::system::error_code;

// Limit on the input buffered while a request is being answered; beyond it, the
// connection stops reading.
constexpr std::size_t kMaxBufferedInputBytes = 65536;
// Time limit for receiving the body, from the end of the head.
constexpr duration kBodyTimeout = Seconds(30);
// Time that a client has to read the last answer before the connection is
// closed.
constexpr duration kLingerTimeout = Seconds(1);
// Time limit for sending the rest of an answer to a client that reads slowly.
constexpr duration kSendTimeout = Seconds(30);
// Time for the event loop to read input that has already arrived.
constexpr duration kUnreadInputDelay = Milliseconds(50);

int StatusForParseError(const error_code& error) {
  if (error == beast::http::error::header_limit)
    return 431;
  if (error == beast::http::error::body_limit)
    return 413;
  return 400;
}

}  // namespace

server_connection::server_connection(event_loop& loop,
                                     asio::ip::tcp::socket socket,
                                     std::shared_ptr<server_shared> shared)
    : loop_(loop),
      socket_(std::move(socket)),
      shared_(std::move(shared)),
      timer_(loop) {
  shared_->connections.insert(this);
}

server_connection::~server_connection() {
  shared_->connections.erase(this);
}

void server_connection::Start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  keep_alive_ = shared_from_this();
  NewParser();
  Read();
}

void server_connection::NewParser() {
  parser_.emplace();
  parser_->eager(true);
  head_seen_ = false;
  request_began_ = time_point{};
  idle_since_ = boot_clock::now();
  StartIdleTimer(shared_->limits.idle_timeout);
}

void server_connection::StartIdleTimer(duration delay) {
  timer_.Start(delay, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->OnIdleTimeout();
  });
}

// The limit may have been raised since the timer was started.
void server_connection::OnIdleTimeout() {
  const time_point now = boot_clock::now();
  // The idle time begins when the answer has been sent.
  if (unsent_bytes() > 0 && now - idle_since_ < kSendTimeout)
    return StartIdleTimer(
        std::max<duration>(shared_->limits.idle_timeout, kUnreadInputDelay));
  const duration left = idle_since_ + shared_->limits.idle_timeout - now;
  if (left > duration::zero())
    return StartIdleTimer(left);
  if (HasUnreadInput())
    return StartIdleTimer(kUnreadInputDelay);
  CloseUnlessInputWasRead();
}

// A read that has completed is not cancelled any more: its handler gets the
// input.
void server_connection::CloseUnlessInputWasRead() {
  if (!reading_ || unsent_bytes() > 0)
    return Close();
  close_if_cancelled_ = true;
  error_code ignored;
  socket_.cancel(ignored);
}

bool server_connection::HasUnreadInput() const {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

void server_connection::Read() {
  if (reading_ || closed_ || input_.size() > kMaxBufferedInputBytes)
    return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](const error_code& error, std::size_t length) {
        self->reading_ = false;
        if (self->closed_)
          return;
        const bool should_close =
            std::exchange(self->close_if_cancelled_, false);
        if (should_close && error == asio::error::operation_aborted)
          return self->Close();
        if (error)
          return self->OnClosedByClient();
        self->OnRead(length);
      });
}

void server_connection::OnRead(std::size_t length) {
  // A request that arrives while the connection is being closed cannot be
  // answered; closing at once lets the client know without delay. The rest of a
  // rejected request is discarded until the client has read the rejection.
  if (closing_ && !rejected_ && sending_.empty() && unsent_.empty())
    return Close();
  if (!closing_)
    input_.append(chunk_.data(), length);
  if (!busy_ && !closing_)
    Parse();
  Read();
}

void server_connection::OnClosedByClient() {
  auto on_disconnect = std::move(on_client_disconnect_);
  on_client_disconnect_ = nullptr;
  Close();
  if (on_disconnect)
    on_disconnect();
}

void server_connection::Parse() {
  if (parsing_)
    return;
  parsing_ = true;
  const auto self = shared_from_this();
  while (!busy_ && !closing_ && !closed_ && !input_.empty()) {
    if (request_began_ == time_point{}) {
      request_began_ = boot_clock::now();
      // The limits may have changed while the connection was idle.
      parser_->header_limit(
          static_cast<uint32_t>(shared_->limits.max_head_bytes));
      parser_->body_limit(shared_->limits.max_body_bytes);
      timer_.Start(shared_->limits.head_timeout, [weak = weak_from_this()] {
        if (auto connection = weak.lock())
          connection->Reject(408);
      });
    }
    error_code error;
    const std::size_t used =
        parser_->put(asio::buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    if (error && error != beast::http::error::need_more) {
      Reject(StatusForParseError(error));
      break;
    }
    if (parser_->is_header_done() && !head_seen_ && !HandleHead())
      break;
    if (parser_->is_done()) {
      HandleRequest();
      continue;
    }
    if (used == 0 || error == beast::http::error::need_more)
      break;
  }
  parsing_ = false;
}

bool server_connection::HandleHead() {
  head_seen_ = true;
  timer_.Start(kBodyTimeout, [weak = weak_from_this()] {
    if (auto connection = weak.lock())
      connection->Reject(408);
  });
  const auto& message = parser_->get();
  const bool http_1_1 = message.version() == 11;
  if (message.version() != 11 && message.version() != 10) {
    Reject(505);
    return false;
  }
  if (http_1_1 && message.count(beast::http::field::host) != 1) {
    Reject(400);
    return false;
  }
  if (!parser_->is_done() &&
      beast::iequals(message[beast::http::field::expect], "100-continue"))
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

void server_connection::HandleRequest() {
  timer_.Cancel();
  busy_ = true;
  ++shared_->busy;
  auto message = parser_->release();
  close_after_answer_ = !message.keep_alive();
  request received;
  received.method = std::string(message.method_string());
  received.target = std::string(message.target());
  for (const auto& field : message)
    received.headers.Add(std::string(field.name_string()),
                         std::string(field.value()));
  received.body = std::move(message.body());
  const bool is_head_request = received.method == "HEAD";
  shared_->handler(std::move(received), std::make_shared<server_exchange>(
                                            weak_from_this(), request_began_,
                                            ++requests_, is_head_request));
}

void server_connection::Reject(int status) {
  if (closing_ || closed_ || busy_)
    return;
  timer_.Cancel();
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(ReasonPhrase(status));
  head.append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  Send(std::move(head));
  closing_ = rejected_ = true;
  Shutdown();
}

void server_connection::Send(std::string bytes) {
  if (closed_ || closing_)
    return;
  if (unsent_.empty())
    unsent_ = std::move(bytes);
  else
    unsent_.append(bytes);
  Flush();
}

void server_connection::Flush() {
  if (!sending_.empty() || closed_)
    return;
  if (unsent_.empty()) {
    if (closing_)
      Shutdown();
    else if (close_when_sent_)
      CloseIfIdle();
    if (!busy_)
      idle_since_ = boot_clock::now();
    auto sent = std::move(on_sent_);
    on_sent_ = nullptr;
    if (sent)
      sent();
    return;
  }
  std::swap(sending_, unsent_);
  asio::async_write(
      socket_, asio::buffer(sending_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->sending_.clear();
        if (self->closed_)
          return;
        if (error)
          return self->OnClosedByClient();
        self->Flush();
      });
}

void server_connection::EndExchange(bool close) {
  if (!busy_)
    return;
  busy_ = false;
  --shared_->busy;
  on_client_disconnect_ = nullptr;
  if (closed_)
    return;
  if (close) {
    closing_ = true;
    if (sending_.empty() && unsent_.empty())
      Shutdown();
    return;
  }
  NewParser();
  // The next request is parsed from the event loop, so that pipelined requests
  // do not cause deep recursion of handlers.
  asio::post(loop_, [self = shared_from_this()] {
    self->Parse();
    self->Read();
  });
}

// Shuts down the sending side and waits for the client to close, because
// closing a socket with unread input resets the connection and loses the
// answer.
void server_connection::Shutdown() {
  if (closed_ || !sending_.empty() || !unsent_.empty())
    return;
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.Start(kLingerTimeout, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->Close();
  });
  Read();
}

void server_connection::Close() {
  if (closed_)
    return;
  closed_ = true;
  const auto self = std::move(keep_alive_);
  timer_.Cancel();
  on_sent_ = nullptr;
  if (busy_) {
    busy_ = false;
    --shared_->busy;
  }
  error_code ignored;
  socket_.close(ignored);
}

// Closes both directions: if only the sending side were shut down, a request
// that the client has sent meanwhile would be read but never answered.
void server_connection::CloseIfIdle() {
  close_when_sent_ = unsent_bytes() > 0;
  if (busy_ || closing_ || !input_.empty() || request_began_ != time_point{} ||
      close_when_sent_ || HasUnreadInput())
    return;
  CloseUnlessInputWasRead();
}

void server_connection::OnSent(std::function<void()> callback) {
  on_sent_ = std::move(callback);
}

void server_connection::OnClientDisconnect(std::function<void()> callback) {
  on_client_disconnect_ = std::move(callback);
}

}  // namespace jasminepath::http
