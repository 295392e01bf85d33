#ifndef JASMINEPATH_ENDPOINT_EXCHANGE_H_
#define JASMINEPATH_ENDPOINT_EXCHANGE_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/result.h"
#include "jasminepath/endpoint/cancellation.h"
#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::endpoint {

// Limits of one exchange.
struct exchange_deadlines {
  // The whole exchange ends by then.
  time_point overall;
  // Longest time to establish the connection.
  duration connect_timeout = Seconds(1);
  // Longest time without a byte in either direction once connected.
  duration idle_limit = Seconds(30);

  friend bool operator==(const exchange_deadlines&,
                         const exchange_deadlines&) = default;
};

// How an exchange failed.
enum class exchange_failure_kind {
  connect_failed,  // No connection came about.
  cut,             // The connection ended before the whole answer.
  silent,          // Nothing came or went within the idle limit.
  cancelled,       // The caller's side cancelled it, or the sink refused.
  deadline,        // The overall deadline passed.
  crossed,         // The answer belongs to another request.
  malformed,       // The request or the answer is not HTTP, or the answer's
                   // end cannot be told.
};

// The name in logs, for example "connect_failed".
std::string_view ToString(exchange_failure_kind kind);

// An exchange that brought no whole answer.
struct exchange_failure {
  exchange_failure_kind kind = exchange_failure_kind::cut;
  // `not_run` only if no byte of the request was sent; otherwise `unknown`.
  run_state run = run_state::unknown;
  std::string detail;

  friend bool operator==(const exchange_failure&,
                         const exchange_failure&) = default;
};

// A whole answer, after its last byte went to the sink.
struct exchange_summary {
  int status = 0;
  uint64_t body_bytes = 0;
  // `not_run` only if the answer is an error whose JSON body says so.
  run_state run = run_state::ran;

  friend bool operator==(const exchange_summary&,
                         const exchange_summary&) = default;
};

// Takes the parts of an answer as they arrive, on the thread that runs the
// exchange. `OnBody` returns false to end the exchange as cancelled.
template <typename T>
concept exchange_sink = requires(T sink,
                                 int status,
                                 const std::vector<header>& headers,
                                 std::string_view data) {
  {sink.OnHead(status, headers)};
  { sink.OnBody(data) } -> std::same_as<bool>;
};

// One request and its answer on a connection of its own, which is closed at
// the end: nothing is sent twice and no late answer can reach another call.
// The request and the cancellation outlive it. Used by one thread.
class exchange {
 public:
  // Connects and sends the request; returns after the answer's head.
  static result<exchange, exchange_failure> Start(
      const outbound_request& request,
      const cancellation& cancel,
      const exchange_deadlines& deadlines);

  exchange(exchange&&) noexcept;
  exchange& operator=(exchange&&) noexcept;
  ~exchange();

  const response_head& head() const;

  // Returns the next bytes of the body as soon as some arrive; empty after the
  // last one. The view is valid until the next call.
  result<std::string_view, exchange_failure> ReadBody();

  // The summary, once ReadBody has returned an empty view.
  exchange_summary Summary() const;

 private:
  class impl;
  explicit exchange(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

// The failure of an exchange whose sink wants no more.
exchange_failure SinkCancelledFailure();

// Runs one exchange and passes its answer to the sink as it arrives.
template <exchange_sink Sink>
result<exchange_summary, exchange_failure> Run(
    const outbound_request& request,
    Sink& sink,
    const cancellation& cancel,
    const exchange_deadlines& deadlines) {
  auto started = exchange::Start(request, cancel, deadlines);
  if (!started)
    return started.error();
  exchange& running = started.value();
  sink.OnHead(running.head().status, running.head().headers);
  while (true) {
    auto part = running.ReadBody();
    if (!part)
      return part.error();
    if (part.value().empty())
      return running.Summary();
    if (!sink.OnBody(part.value()))
      return SinkCancelledFailure();
  }
}

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_EXCHANGE_H_
