#ifndef JASMINEPATH_HTTP_SRC_SERVER_CONNECTION_H_
#define JASMINEPATH_HTTP_SRC_SERVER_CONNECTION_H_

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "jasminepath/http/server.h"

namespace jasminepath::http {

class server_connection;

// State shared by the connections of one server.
struct server_shared {
  request_handler handler;
  server_limits limits;
  bool draining = false;
  std::unordered_set<server_connection*> connections;
  std::size_t busy = 0;
};

// The connection of one client. It continues to read while a request is being
// answered, in order to detect a disconnect, and buffers the input for the next
// request.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(event_loop& loop,
                    boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<server_shared> shared);
  ~server_connection();

  void Start();
  void Close();
  // Closes the connection if no request has arrived or is being answered.
  void CloseIfIdle();

  // The following functions are called by the exchange in progress.
  void Send(std::string bytes);
  void EndExchange(bool close);
  bool ShouldClose() const { return close_after_answer_ || shared_->draining; }
  std::size_t unsent_bytes() const { return unsent_.size() + sending_.size(); }
  void OnSent(std::function<void()> callback);
  void OnClientDisconnect(std::function<void()> callback);

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(std::size_t length);
  void OnClosedByClient();
  void Parse();
  void NewParser();
  void StartIdleTimer(duration delay);
  void OnIdleTimeout();
  // Whether the kernel holds input that has not been read.
  bool HasUnreadInput() const;
  // Closes the idle connection unless input has been read whose handler has not
  // run yet.
  void CloseUnlessInputWasRead();
  bool HandleHead();
  void HandleRequest();
  void Reject(int status);
  void Flush();
  void Shutdown();

  event_loop& loop_;
  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<server_shared> shared_;
  timer timer_;
  std::optional<parser> parser_;
  std::array<char, 16384> chunk_;
  // Bytes that have been read but not parsed.
  std::string input_;
  bool reading_ = false;
  // Close the connection if the pending read has been cancelled.
  bool close_if_cancelled_ = false;
  bool head_seen_ = false;
  time_point request_began_{};
  // Number of complete requests received.
  int64_t requests_ = 0;
  // Time since which the connection has waited for a request.
  time_point idle_since_{};
  bool busy_ = false;
  bool close_after_answer_ = false;
  bool closing_ = false;
  // The request was rejected, possibly before all of it had arrived.
  bool rejected_ = false;
  // Close the idle connection as soon as its last answer has been sent.
  bool close_when_sent_ = false;
  bool closed_ = false;
  bool parsing_ = false;
  // Keeps this object alive from Start() until Close().
  std::shared_ptr<server_connection> keep_alive_;
  std::string sending_;
  std::string unsent_;
  std::function<void()> on_sent_;
  std::function<void()> on_client_disconnect_;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SRC_SERVER_CONNECTION_H_
