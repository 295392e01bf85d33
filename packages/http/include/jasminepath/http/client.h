#ifndef JASMINEPATH_HTTP_CLIENT_H_
#define JASMINEPATH_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/http/event_loop.h"
#include "jasminepath/http/message.h"

namespace jasminepath::http {

class client_connection;

// Why a call ended without a complete answer.
enum class call_failure {
  not_sent,   // No byte of the request left this process.
  broken,     // The connection ended after the request was sent.
  malformed,  // The bytes received are not a valid HTTP answer.
  timed_out,  // The request was sent, but no answer arrived in time.
};

// Name for log lines, for example "broken".
std::string_view NameOf(call_failure failure);

// Receives the answer to one call in this order: OnHead once, OnBody any number
// of times, then OnEnd or OnFailure. OnFailure may be called at any point.
class response_sink {
 public:
  virtual ~response_sink() = default;

  // Returns false to discard this answer because it belongs to another request;
  // the next answer on the connection is used instead.
  virtual bool OnHead(const response_head& head) = 0;
  virtual void OnBody(std::string_view piece) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(call_failure failure) = 0;
};

// How a call uses connections.
struct call_options {
  // Limit for establishing the connection.
  duration connect_timeout = Seconds(1);
  // From sending the request to the end of the answer's head.
  duration head_timeout = Seconds(30);
  // An idle connection is reused only if it has been idle for at most this
  // long; zero always opens a new connection.
  duration max_idle_time = Seconds(5);
  // Ids of connections that are not used for this call.
  std::vector<uint64_t> excluded_connections;

  friend bool operator==(const call_options&, const call_options&) = default;
};

// A call in progress. Destroying it cancels the call and closes its
// connection, so that the peer stops as well.
class call {
 public:
  explicit call(std::shared_ptr<client_connection> connection);
  call(const call&) = delete;
  call& operator=(const call&) = delete;
  ~call();

  // Stops and resumes reading the answer, so that backpressure from a slow
  // client reaches the peer.
  void Pause();
  void Resume();

  // Id of the connection that carries the call, unique within the client.
  uint64_t connection_id() const;
  // Whether the connection has carried earlier calls. Any of them may be what
  // an answer belongs to that does not name its request.
  bool uses_reused_connection() const;

 private:
  std::shared_ptr<client_connection> connection_;
};

// Makes calls to one peer and keeps a pool of idle connections to it.
class client {
 public:
  client(event_loop& loop, boost::asio::ip::tcp::endpoint peer);
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client();

  // Sends the serialized request. `sink` must outlive the returned call; it
  // is never called from within this function.
  std::unique_ptr<call> Send(std::string bytes,
                             bool is_head_request,
                             const call_options& options,
                             response_sink& sink);

  // Number of connections opened since the client was created, for the metrics.
  std::size_t opened_connections() const;
  // Number of open connections that carry no call.
  std::size_t idle_connections() const;

  void CloseIdle();

 private:
  struct pool;

  // Takes a connection that the options allow from the pool, or returns null.
  std::shared_ptr<client_connection> TakeIdle(const call_options& options);

  std::shared_ptr<pool> pool_;
  friend class client_connection;
};

// Makes one call, buffers its answer and passes it or the failure to a
// callback. Destroying the object cancels the call.
class buffered_call : private response_sink {
 public:
  using callback =
      std::function<void(const response* answer, call_failure failure)>;

  // `timeout` bounds the whole call; a body over `max_body_bytes` fails it as
  // malformed. `done` is called once, with a null `answer` on failure, and may
  // destroy this object.
  buffered_call(event_loop& loop,
                client& peer,
                const request& message,
                duration timeout,
                std::size_t max_body_bytes,
                callback done);
  ~buffered_call() override;

 private:
  bool OnHead(const response_head& head) override;
  void OnBody(std::string_view piece) override;
  void OnEnd() override;
  void OnFailure(call_failure failure) override;
  void Complete(const response* answer, call_failure failure);

  std::size_t max_body_bytes_;
  response answer_;
  callback done_;
  timer timer_;
  std::unique_ptr<call> call_;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_CLIENT_H_
