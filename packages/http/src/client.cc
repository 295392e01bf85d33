#include "jasminepath/http/client.h"

#include <algorithm>

#include "client_connection.h"

namespace jasminepath::http {

std::string_view NameOf(call_failure failure) {
  switch (failure) {
    case call_failure::not_sent:
      return "not_sent";
    case call_failure::broken:
      return "broken";
    case call_failure::malformed:
      return "malformed";
    case call_failure::timed_out:
      return "timed_out";
  }
  return "unknown";
}

call::call(std::shared_ptr<client_connection> connection)
    : connection_(std::move(connection)) {}

call::~call() {
  connection_->Cancel();
}

void call::Pause() {
  connection_->Pause();
}

void call::Resume() {
  connection_->Resume();
}

uint64_t call::connection_id() const {
  return connection_->id();
}

bool call::uses_reused_connection() const {
  return connection_->is_reused();
}

client::client(event_loop& loop, boost::asio::ip::tcp::endpoint peer)
    : pool_(std::make_shared<pool>(loop, std::move(peer))) {}

client::~client() {
  CloseIdle();
}

std::unique_ptr<call> client::Send(std::string bytes,
                                   bool is_head_request,
                                   const call_options& options,
                                   response_sink& sink) {
  std::shared_ptr<client_connection> connection = TakeIdle(options);
  if (!connection)
    connection = std::make_shared<client_connection>(pool_);
  auto started = std::make_unique<call>(connection);
  connection->Begin(std::move(bytes), is_head_request, options, &sink);
  return started;
}

std::shared_ptr<client_connection> client::TakeIdle(
    const call_options& options) {
  if (options.max_idle_time <= duration::zero())
    return nullptr;
  const time_point now = boot_clock::now();
  const auto& excluded = options.excluded_connections;
  for (std::size_t i = pool_->idle.size(); i-- > 0;) {
    auto candidate = pool_->idle[i];
    if (std::find(excluded.begin(), excluded.end(), candidate->id()) !=
        excluded.end())
      continue;
    pool_->idle.erase(pool_->idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (now < candidate->usable_until() &&
        now - candidate->idle_since() <= options.max_idle_time)
      return candidate;
    candidate->Close();
  }
  return nullptr;
}

std::size_t client::opened_connections() const {
  return pool_->opened_connections;
}

std::size_t client::idle_connections() const {
  return pool_->idle.size();
}

void client::CloseIdle() {
  const auto idle = std::move(pool_->idle);
  pool_->idle.clear();
  for (const auto& connection : idle)
    connection->Close();
}

buffered_call::buffered_call(event_loop& loop,
                             client& peer,
                             const request& message,
                             duration timeout,
                             std::size_t max_body_bytes,
                             callback done)
    : max_body_bytes_(max_body_bytes), done_(std::move(done)), timer_(loop) {
  call_options options;
  options.connect_timeout = std::min<duration>(timeout, Seconds(1));
  options.head_timeout = timeout;
  timer_.Start(timeout, [this] { OnFailure(call_failure::timed_out); });
  call_ =
      peer.Send(Serialize(message), message.method == "HEAD", options, *this);
}

buffered_call::~buffered_call() = default;

bool buffered_call::OnHead(const response_head& head) {
  answer_.head = head;
  return true;
}

void buffered_call::OnBody(std::string_view piece) {
  if (answer_.body.size() + piece.size() > max_body_bytes_)
    return OnFailure(call_failure::malformed);
  answer_.body.append(piece);
}

void buffered_call::OnEnd() {
  const response answer = std::move(answer_);
  Complete(&answer, call_failure::not_sent);
}

void buffered_call::OnFailure(call_failure failure) {
  Complete(nullptr, failure);
}

void buffered_call::Complete(const response* answer, call_failure failure) {
  timer_.Cancel();
  call_.reset();
  const callback done = std::move(done_);
  done_ = nullptr;
  if (done)
    done(answer, failure);
}

}  // namespace jasminepath::http
