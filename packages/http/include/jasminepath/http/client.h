#ifndef JASMINEPATH_HTTP_CLIENT_H_
#define JASMINEPATH_HTTP_CLIENT_H_

#include <cstddef>
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

// How a call ended that got no whole answer.
enum class call_failure {
  not_sent,   // No byte of the request left this process.
  broken,     // The connection ended after the request was sent.
  malformed,  // What came is no HTTP answer.
  timed_out,  // Nothing came in time after the request was sent.
};

// Name for log lines, for example "broken".
std::string_view NameOf(call_failure failure);

// Takes the answer to one call, in this order: OnHead once, OnBody any number
// of times, then OnEnd or OnFailure. OnFailure may come at any point.
class response_sink {
 public:
  virtual ~response_sink() = default;

  // False drops this answer as one that belongs to another request; the next
  // one on the connection is taken instead.
  virtual bool OnHead(const response_head& head) = 0;
  virtual void OnBody(std::string_view piece) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(call_failure failure) = 0;
};

// How a call uses connections.
struct call_options {
  // Until the connection is established.
  duration connect_timeout = Seconds(1);
  // From sending the request to the end of the answer's head.
  duration head_timeout = Seconds(30);
  // An idle connection is used again only within this time; zero always opens
  // a new one.
  duration max_idle_time = Seconds(5);

  friend bool operator==(const call_options&, const call_options&) = default;
};

// A call in progress. Destroying it cancels the call and closes its
// connection, which tells the peer to stop.
class call {
 public:
  explicit call(std::shared_ptr<client_connection> connection);
  call(const call&) = delete;
  call& operator=(const call&) = delete;
  ~call();

  // Stops and resumes reading the answer, so that a slow client slows the peer.
  void Pause();
  void Resume();

 private:
  std::shared_ptr<client_connection> connection_;
};

// Makes calls to one peer and keeps its idle connections.
class client {
 public:
  client(event_loop& loop, boost::asio::ip::tcp::endpoint peer);
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  ~client();

  // Sends the serialized request. `sink` has to outlive the returned call; it
  // is never called from within this function.
  std::unique_ptr<call> Send(std::string bytes,
                             bool is_head,
                             const call_options& options,
                             response_sink& sink);

  // Connections opened since the start, for the metrics.
  std::size_t opened_connections() const;

  // Closes the idle connections.
  void CloseIdle();

 private:
  struct pool;
  std::shared_ptr<pool> pool_;
  friend class client_connection;
};

// Makes one call and hands over the whole answer, at most `max_body` bytes of
// it, or the failure. Destroying it cancels the call.
class buffered_call : private response_sink {
 public:
  using callback =
      std::function<void(const response* answer, call_failure failure)>;

  // `timeout` bounds the whole call. `done` is called once and may destroy
  // this object.
  buffered_call(event_loop& loop,
                client& peer,
                const request& message,
                duration timeout,
                callback done);
  ~buffered_call() override;

 private:
  bool OnHead(const response_head& head) override;
  void OnBody(std::string_view piece) override;
  void OnEnd() override;
  void OnFailure(call_failure failure) override;
  void Complete(const response* answer, call_failure failure);

  response answer_;
  callback done_;
  timer timer_;
  std::unique_ptr<call> call_;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_CLIENT_H_
