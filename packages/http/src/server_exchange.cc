#include "server_exchange.h"

#include <array>
#include <charconv>

namespace jasminepath::http {
namespace {

bool HasNoBody(int status) {
  return status == 204 || status == 304;
}

std::string EncodeChunk(std::string_view piece) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 piece.size(), 16);
  std::string out(digits.data(), end.ptr);
  out.reserve(out.size() + piece.size() + 4);
  out.append("\r\n").append(piece).append("\r\n");
  return out;
}

}  // namespace

server_exchange::server_exchange(std::weak_ptr<server_connection> connection,
                                 time_point received_at,
                                 int64_t connection_position,
                                 bool is_head_request)
    : connection_(std::move(connection)),
      received_at_(received_at),
      connection_position_(connection_position),
      is_head_request_(is_head_request) {}

server_exchange::~server_exchange() {
  Abort();
}

void server_exchange::OnClientDisconnect(std::function<void()> callback) {
  if (auto connection = connection_.lock())
    connection->OnClientDisconnect(std::move(callback));
}

std::string server_exchange::HeadBytes(const response_head& head,
                                       bool close) const {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
  out.append(ReasonPhrase(head.status)).append("\r\n");
  for (const header& field : head.headers.fields()) {
    if (!IsConnectionField(field.name))
      out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (close)
    out.append("Connection: close\r\n");
  return out;
}

void server_exchange::Respond(response_head head, std::string_view body) {
  auto connection = connection_.lock();
  if (!connection || started_ || ended_)
    return;
  started_ = ended_ = true;
  const bool close = connection->ShouldClose();
  std::string out = HeadBytes(head, close);
  if (!HasNoBody(head.status))
    out.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  out.append("\r\n");
  if (!is_head_request_ && !HasNoBody(head.status))
    out.append(body);
  connection->Send(std::move(out));
  connection->EndExchange(close);
}

void server_exchange::Start(response_head head) {
  auto connection = connection_.lock();
  if (!connection || started_ || ended_)
    return;
  started_ = true;
  close_after_answer_ = connection->ShouldClose();
  std::string out = HeadBytes(head, close_after_answer_);
  out.append("Transfer-Encoding: chunked\r\n\r\n");
  connection->Send(std::move(out));
}

void server_exchange::Write(std::string_view piece) {
  auto connection = connection_.lock();
  if (!connection || !started_ || ended_ || piece.empty())
    return;
  connection->Send(EncodeChunk(piece));
}

void server_exchange::Finish() {
  auto connection = connection_.lock();
  if (!connection || !started_ || ended_)
    return;
  ended_ = true;
  connection->Send("0\r\n\r\n");
  connection->EndExchange(close_after_answer_);
}

void server_exchange::Abort() {
  if (ended_)
    return;
  ended_ = true;
  auto connection = connection_.lock();
  if (!connection)
    return;
  connection->EndExchange(true);
  connection->Close();
}

std::size_t server_exchange::unsent_bytes() const {
  auto connection = connection_.lock();
  return connection ? connection->unsent_bytes() : 0;
}

void server_exchange::OnSent(std::function<void()> callback) {
  if (auto connection = connection_.lock())
    connection->OnSent(std::move(callback));
}

}  // namespace jasminepath::http
