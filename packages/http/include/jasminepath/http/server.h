#ifndef JASMINEPATH_HTTP_SERVER_H_
#define JASMINEPATH_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/http/event_loop.h"
#include "jasminepath/http/message.h"

namespace jasminepath::http {

// What a client may send, and how long it may take.
struct server_limits {
  // Request line and header fields, in bytes.
  std::size_t max_head_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  // From the first byte of a request to the end of its head.
  duration head_timeout = Seconds(3);
  // Between two requests of a connection.
  duration idle_timeout = Seconds(15);

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

// One request that waits for its answer. Either Respond() or Start() with
// Write() and Finish() answers it; Abort() cuts the connection so that the
// answer cannot look whole. Calls after the end of the exchange, or after the
// client has left, do nothing.
class exchange {
 public:
  virtual ~exchange() = default;

  // When the first byte of the request was read.
  virtual time_point received_at() const = 0;
  // Called once if the client closes its connection before the answer ends.
  virtual void OnClientDisconnect(std::function<void()> callback) = 0;
  // Sends a whole answer.
  virtual void Respond(response_head head, std::string_view body) = 0;
  // Sends the head of an answer whose body follows in pieces.
  virtual void Start(response_head head) = 0;
  virtual void Write(std::string_view piece) = 0;
  virtual void Finish() = 0;
  virtual void Abort() = 0;
  // Bytes of the answer that the client has not taken yet.
  virtual std::size_t unsent_bytes() const = 0;
  // Called once as soon as unsent_bytes() has fallen to zero.
  virtual void OnSent(std::function<void()> callback) = 0;
};

// Takes a request. Runs on the loop.
using request_handler =
    std::function<void(request message, std::shared_ptr<exchange> reply)>;

// Accepts connections at an address and hands over their requests, one at a
// time for each connection, in the order they were sent.
class server {
 public:
  server(event_loop& loop, request_handler handler);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  // Listens at "IP:PORT". Port 0 takes a free one. The error names the address
  // and the reason.
  result<void, std::string> Listen(const std::string& address);

  // Port it listens on.
  unsigned short port() const;

  // Bounds of requests that begin from now on.
  void SetLimits(const server_limits& limits);

  // Asks clients to leave: each answer from now on closes its connection.
  void BeginDrain();
  // Accepts no new connection and closes those that are idle.
  void StopAccepting();

  // Open connections, and those with an unanswered request.
  std::size_t connection_count() const;
  std::size_t busy_count() const;

 private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

// Splits "IP:PORT". The error names the text.
result<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    std::string_view address);

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SERVER_H_
