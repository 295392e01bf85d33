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
  // Time by which the whole exchange must end.
  time_point overall;
  // Longest time to establish the connection.
  duration connect_timeout = Seconds(1);
  // Longest time without a byte in either direction once connected.
  duration idle_limit = Seconds(30);

  friend bool operator==(const exchange_deadlines&,
                         const exchange_deadlines&) = default;
};

// Why an exchange failed.
enum class exchange_failure_kind {
  connect_failed,  // No connection was established.
  cut,             // The connection ended before the answer was complete.
  silent,          // No byte was sent or received within the idle limit.
  cancelled,       // The caller or the sink cancelled the exchange.
  deadline,        // The overall deadline passed.
  crossed,         // The answer belongs to another request.
  malformed,       // The request or the answer is not valid HTTP, or the
                   // answer has no length.
};

// The name used in logs, for example "connect_failed".
std::string_view ToString(exchange_failure_kind kind);

// Describes an exchange that ended without a complete answer.
struct exchange_failure {
  exchange_failure_kind kind = exchange_failure_kind::cut;
  // `not_run` only if no byte of the request was sent; otherwise `unknown`.
  run_state run = run_state::unknown;
  std::string detail;

  friend bool operator==(const exchange_failure&,
                         const exchange_failure&) = default;
};

// Describes a complete answer after its last byte has been read.
struct exchange_summary {
  int status = 0;
  uint64_t body_bytes = 0;
  // `not_run` only if the answer is an error whose JSON body states it.
  run_state run = run_state::ran;

  friend bool operator==(const exchange_summary&,
                         const exchange_summary&) = default;
};

// Receives the parts of an answer as they arrive, on the thread that runs the
// exchange. `OnBody` returns false to cancel the exchange.
template <typename T>
concept exchange_sink = requires(T sink,
                                 int status,
                                 const std::vector<header>& headers,
                                 std::string_view data) {
  {sink.OnHead(status, headers)};
  { sink.OnBody(data) } -> std::same_as<bool>;
};

// One request and its answer on a separate connection, which is closed at the
// end, so that nothing is sent twice and no late answer can reach another call.
// The request and the cancellation must outlive the exchange. Not thread-safe.
class exchange {
 public:
  // Connects, sends the request and returns after receiving the answer's head.
  static result<exchange, exchange_failure> Start(
      const outbound_request& request,
      const cancellation& cancel,
      const exchange_deadlines& deadlines);

  exchange(exchange&&) noexcept;
  exchange& operator=(exchange&&) noexcept;
  ~exchange();

  const response_head& head() const;

  // Returns the next bytes of the body as soon as some arrive, and an empty
  // view after the last byte. The view is valid until the next call.
  result<std::string_view, exchange_failure> ReadBody();

  // Valid after ReadBody() has returned an empty view.
  exchange_summary Summary() const;

 private:
  class impl;
  explicit exchange(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

// The failure of an exchange that its sink has cancelled.
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
