#include "client_connection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdint>
#include <limits>

namespace jasminepath::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

// Time after which the kernel closes a connection with unacknowledged data.
constexpr int kUserTimeoutMs = 3000;
// Percentage of the peer's announced idle timeout after which a connection is
// no longer reused, so that a request is not sent while the peer closes it.
constexpr int kIdleTimeoutPercent = 70;
constexpr uint32_t kMaxAnswerHeadBytes = 65536;
// Limit on a chunk's header, or on the trailers.
constexpr std::size_t kMaxUnparsedBytes = 65536;
// Limit on answers to other requests and interim answers.
constexpr std::size_t kMaxBytesBeforeAnswer = std::size_t{1} << 20;

// Range of the status of an answer, and the lowest one that is not interim.
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kLowestFinalStatus = 200;
constexpr unsigned kHighestStatus = 599;

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// Parses the idle timeout that a Keep-Alive field announces, if any.
std::optional<duration> IdleTimeout(std::string_view field) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t start = field.find(kTimeout);
  if (start == std::string_view::npos)
    return std::nullopt;
  int64_t seconds = 0;
  const char* first = field.data() + start + kTimeout.size();
  const auto parsed =
      std::from_chars(first, field.data() + field.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0 || seconds > 86400)
    return std::nullopt;
  return Seconds(seconds);
}

}  // namespace

client_connection::client_connection(std::shared_ptr<client::pool> pool)
    : pool_(std::move(pool)),
      id_(++pool_->last_connection_id),
      socket_(pool_->loop),
      timer_(pool_->loop) {}

void client_connection::Begin(std::string bytes,
                              bool is_head_request,
                              const call_options& options,
                              response_sink* sink) {
  output_ = std::move(bytes);
  is_head_request_ = is_head_request;
  options_ = options;
  sink_ = sink;
  ++calls_;
  written_ = sent_any_ = paused_ = false;
  bytes_before_answer_ = 0;
  NewParser();
  if (connected_)
    Write();
  else
    Connect();
}

void client_connection::NewParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxAnswerHeadBytes);
  // Without a limit, Beast 1.74 rejects an announced length whose head ends the
  // input.
  parser_->body_limit(std::numeric_limits<uint64_t>::max());
  parser_->skip(is_head_request_);
  head_seen_ = skipping_answer_ = false;
}

void client_connection::Connect() {
  ++pool_->opened_connections;
  const auto weak = weak_from_this();
  timer_.Start(options_.connect_timeout, [weak] {
    if (auto self = weak.lock())
      self->Fail(call_failure::not_sent);
  });
  socket_.async_connect(
      pool_->peer, [self = shared_from_this()](const error_code& error) {
        if (self->closed_)
          return;
        if (error)
          return self->Fail(call_failure::not_sent);
        error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket_.set_option(user_timeout(kUserTimeoutMs), ignored);
        self->connected_ = true;
        self->Write();
        self->Read();
      });
}

void client_connection::Write() {
  sent_any_ = true;
  const auto weak = weak_from_this();
  timer_.Start(options_.head_timeout, [weak] {
    if (auto self = weak.lock())
      self->Fail(call_failure::timed_out);
  });
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->closed_)
          return;
        self->output_.clear();
        self->written_ = !error;
        // The pending read reports a failed write, because the peer may have
        // sent an answer before it closed the connection.
        if (error && !self->reading_)
          self->Fail(call_failure::broken);
      });
}

void client_connection::Read() {
  if (reading_ || closed_ || paused_)
    return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](const error_code& error, std::size_t length) {
        self->reading_ = false;
        if (self->closed_)
          return;
        if (error)
          return self->OnReadError(error);
        self->OnRead(length);
      });
}

void client_connection::OnRead(std::size_t length) {
  if (sink_ == nullptr)
    return Close();
  input_.append(chunk_.data(), length);
  Parse();
  Read();
}

void client_connection::OnReadError(const error_code& error) {
  if (sink_ == nullptr)
    return Close();
  // An answer without a length is complete only if the peer closed the
  // connection in an orderly way. That is not known while the request is being
  // written: a failed write takes the error of a reset, after which the read
  // ends as if the peer had closed.
  if (error == asio::error::eof && written_ && head_seen_ &&
      !skipping_answer_ && parser_->need_eof()) {
    error_code end_error;
    parser_->put_eof(end_error);
    if (!end_error) {
      response_sink* sink = sink_;
      sink_ = nullptr;
      const auto self = shared_from_this();
      Close();
      sink->OnEnd();
      return;
    }
  }
  Fail(call_failure::broken);
}

void client_connection::Parse() {
  const auto self = shared_from_this();
  while (sink_ != nullptr && !closed_ && !input_.empty()) {
    error_code error;
    const std::size_t used =
        parser_->put(asio::buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    if (!IsDelivering())
      bytes_before_answer_ += used;
    if ((error && error != beast::http::error::need_more) || IsOverLimit())
      return Fail(call_failure::malformed);
    if (parser_->is_header_done() && !head_seen_ && !HandleHead())
      return;
    DeliverBody();
    if (sink_ == nullptr || closed_)
      return;
    if (parser_->is_done()) {
      HandleEnd();
      continue;
    }
    if (used == 0 || error == beast::http::error::need_more)
      return;
  }
}

bool client_connection::IsOverLimit() const {
  return (!parser_->is_done() && input_.size() > kMaxUnparsedBytes) ||
         (!IsDelivering() && bytes_before_answer_ > kMaxBytesBeforeAnswer);
}

bool client_connection::HandleHead() {
  head_seen_ = true;
  const auto& message = parser_->get();
  if (message.result_int() < kLowestStatus ||
      message.result_int() > kHighestStatus) {
    Fail(call_failure::malformed);
    return false;
  }
  if (message.result_int() < kLowestFinalStatus)
    return true;
  response_head head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message)
    head.headers.Add(std::string(field.name_string()),
                     std::string(field.value()));
  skipping_answer_ = !sink_->OnHead(head);
  if (sink_ == nullptr || closed_)
    return false;
  if (skipping_answer_ && parser_->need_eof()) {
    // No other answer can follow on this connection.
    Fail(call_failure::malformed);
    return false;
  }
  if (!skipping_answer_)
    timer_.Cancel();
  usable_until_ = time_point::max();
  if (const auto idle = IdleTimeout(head.headers.ValueOf("Keep-Alive")))
    usable_until_ = boot_clock::now() + *idle * kIdleTimeoutPercent / 100;
  return true;
}

bool client_connection::IsDelivering() const {
  return head_seen_ && !skipping_answer_ &&
         parser_->get().result_int() >= kLowestFinalStatus;
}

void client_connection::DeliverBody() {
  if (!head_seen_)
    return;
  std::string body = std::move(parser_->get().body());
  parser_->get().body().clear();
  if (!body.empty() && !skipping_answer_)
    sink_->OnBody(body);
}

void client_connection::HandleEnd() {
  if (parser_->get().result_int() < kLowestFinalStatus || skipping_answer_) {
    const bool reusable = parser_->keep_alive();
    if (!reusable)
      return Fail(call_failure::broken);
    NewParser();
    return;
  }
  // If the peer answered before it had received the whole request, it may parse
  // the rest as the next request, so that connection is not reused.
  const bool reusable =
      parser_->keep_alive() && written_ && input_.empty() && !paused_;
  timer_.Cancel();
  response_sink* sink = sink_;
  sink_ = nullptr;
  if (reusable) {
    idle_since_ = boot_clock::now();
    pool_->idle.push_back(shared_from_this());
  } else {
    Close();
  }
  sink->OnEnd();
}

void client_connection::Fail(call_failure failure) {
  if (closed_)
    return;
  const auto self = shared_from_this();
  response_sink* sink = sink_;
  sink_ = nullptr;
  const bool is_unsent = !sent_any_;
  Close();
  if (sink != nullptr)
    sink->OnFailure(is_unsent ? call_failure::not_sent : failure);
}

void client_connection::Cancel() {
  if (sink_ == nullptr)
    return;
  sink_ = nullptr;
  Close();
}

void client_connection::Close() {
  if (closed_)
    return;
  closed_ = true;
  timer_.Cancel();
  error_code ignored;
  socket_.close(ignored);
  std::erase_if(pool_->idle,
                [this](const auto& other) { return other.get() == this; });
}

void client_connection::Pause() {
  paused_ = true;
}

void client_connection::Resume() {
  if (!paused_)
    return;
  paused_ = false;
  Read();
}

}  // namespace jasminepath::http
