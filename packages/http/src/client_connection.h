#ifndef JASMINEPATH_HTTP_SRC_CLIENT_CONNECTION_H_
#define JASMINEPATH_HTTP_SRC_CLIENT_CONNECTION_H_

#include <array>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jasminepath/http/client.h"
#include "received_body.h"

namespace jasminepath::http {

// Idle connections to one peer; the most recently used one is at the end.
struct client::pool {
  pool(event_loop& shared_loop, boost::asio::ip::tcp::endpoint address)
      : loop(shared_loop), peer(std::move(address)) {}

  event_loop& loop;
  boost::asio::ip::tcp::endpoint peer;
  std::vector<std::shared_ptr<client_connection>> idle;
  std::size_t opened_connections = 0;
  uint64_t last_connection_id = 0;
};

// One connection to a peer; it carries one call at a time.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
 public:
  explicit client_connection(std::shared_ptr<client::pool> pool);

  // Begins a call; a new connection is established first.
  void Begin(std::string bytes,
             bool is_head_request,
             const call_options& options,
             response_sink* sink);
  // Ends the call without an answer and closes the connection.
  void Cancel();
  void Close();
  void Pause();
  void Resume();

  // Time at which the last answer ended, and time until which the connection
  // may be reused according to the peer's Keep-Alive header.
  time_point idle_since() const { return idle_since_; }
  time_point usable_until() const { return usable_until_; }
  bool is_open() const { return !closed_; }
  // Unique among the connections of the pool.
  uint64_t id() const { return id_; }
  // Whether the current call is not the connection's first one.
  bool is_reused() const { return calls_ > 1; }

 private:
  using parser = boost::beast::http::response_parser<received_body>;

  void Connect();
  void Write();
  void Read();
  void OnRead(std::size_t length);
  void OnReadError(const boost::system::error_code& error);
  void Parse();
  // Whether the peer has sent more than an answer may take before its body, or
  // between two pieces of it.
  bool IsOverLimit() const;
  bool HandleHead();
  void NewParser();
  // Whether the answer that is being parsed goes to the sink.
  bool IsDelivering() const;
  void DeliverBody();
  void HandleEnd();
  void Fail(call_failure failure);

  std::shared_ptr<client::pool> pool_;
  const uint64_t id_;
  boost::asio::ip::tcp::socket socket_;
  timer timer_;
  std::optional<parser> parser_;
  std::array<char, 16384> chunk_;
  std::string input_;
  std::string output_;
  response_sink* sink_ = nullptr;
  call_options options_;
  bool is_head_request_ = false;
  int64_t calls_ = 0;
  bool connected_ = false;
  bool written_ = false;
  bool sent_any_ = false;
  bool head_seen_ = false;
  bool skipping_answer_ = false;
  // Size of everything received before the answer that is delivered.
  std::size_t bytes_before_answer_ = 0;
  bool reading_ = false;
  bool paused_ = false;
  bool closed_ = false;
  time_point idle_since_{};
  time_point usable_until_{};
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SRC_CLIENT_CONNECTION_H_
