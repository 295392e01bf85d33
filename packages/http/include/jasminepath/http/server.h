#ifndef JASMINEPATH_HTTP_SERVER_H_
#define JASMINEPATH_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/http/event_loop.h"
#include "jasminepath/http/message.h"

namespace jasminepath::http {

// Limits on the size of requests and on the time that clients may take.
struct server_limits {
  // Request line and header fields, in bytes.
  std::size_t max_head_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  // From the first byte of a request to the end of its head.
  duration head_timeout = Seconds(3);
  // Longest wait for the first byte of a connection's next request.
  duration idle_timeout = Seconds(15);

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

// One request that waits for its answer. The answer is sent either by Respond()
// or by Start(), Write() and Finish(). Abort() closes the connection early, so
// that the client cannot mistake the answer for a complete one. Calls after the
// end of the exchange, or after the client has disconnected, have no effect.
class exchange {
 public:
  virtual ~exchange() = default;

  // Time at which the first byte of the request was read.
  virtual time_point received_at() const = 0;
  // Position of the request on its connection; that of the first one is 1.
  virtual int64_t connection_position() const = 0;
  // Sets a callback that runs once if the client closes its connection before
  // the answer ends.
  virtual void OnClientDisconnect(std::function<void()> callback) = 0;
  // Sends a complete answer.
  virtual void Respond(response_head head, std::string_view body) = 0;
  // Sends the head of an answer whose body follows in chunks.
  virtual void Start(response_head head) = 0;
  virtual void Write(std::string_view piece) = 0;
  virtual void Finish() = 0;
  virtual void Abort() = 0;
  // Bytes of the answer that have not been handed to the kernel yet.
  virtual std::size_t unsent_bytes() const = 0;
  // Sets a callback that runs once, as soon as unsent_bytes() has reached zero.
  virtual void OnSent(std::function<void()> callback) = 0;
};

// Handles a request. Runs on the event loop's thread.
using request_handler =
    std::function<void(request message, std::shared_ptr<exchange> reply)>;

// Accepts connections at an address and passes their requests to the handler,
// one at a time per connection, in the order in which they were sent.
class server {
 public:
  server(event_loop& loop, request_handler handler);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  // Listens at "IP:PORT". Port 0 selects a free port. The error names the
  // address and the reason.
  result<void, std::string> Listen(const std::string& address);

  // The port that the server listens on.
  unsigned short port() const;

  // Sets the limits that apply to requests that begin after this call. A raised
  // idle timeout also applies to connections that are idle already.
  void SetLimits(const server_limits& limits);

  // Starts draining: every answer that begins from now on carries "Connection:
  // close" and closes its connection. A connection whose answer began earlier
  // stays open for one more request.
  void BeginDrain();
  // Starts draining, stops accepting connections and closes the idle ones. May
  // be called again to close connections that have become idle.
  void StopAccepting();

  // Number of open connections, and of those with an unanswered request.
  std::size_t connection_count() const;
  std::size_t busy_count() const;

 private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

// Parses "IP:PORT". The error quotes the text.
result<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    std::string_view address);

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_SERVER_H_
