#ifndef JASMINEPATH_GATEWAY_SRC_STORE_CLIENT_H_
#define JASMINEPATH_GATEWAY_SRC_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "jasminepath/gateway/ports.h"
#include "jasminepath/http/client.h"
#include "jasminepath/report/event_log.h"

namespace jasminepath::gateway {

// Timeout of a call for single rows, which the store usually answers within a
// few milliseconds. The timeout is many times that, so that a slow store can
// still serve.
inline constexpr duration kRowTimeout = Milliseconds(1200);
// Timeout of a read of a page of rows, which has up to a megabyte: several
// times the transfer time on the slowest links, of 10 Mbit/s.
inline constexpr duration kPageTimeout = Seconds(3);

// The outcome of a call to the store.
struct store_answer {
  store_status status = store_status::unknown;
  // Rows of a read or poll.
  row_page page;
  // Version that a write assigned to the row.
  store_version written;

  friend bool operator==(const store_answer&, const store_answer&) = default;
};

// The node's only client of the platform's store. Each call has a timeout, and
// a connection with a missing answer is not reused. Answers of an earlier era
// than the highest one seen count as missing. Logs when the store becomes
// unreachable, when it recovers and when its era changes. Runs on the event
// loop.
class store_client {
 public:
  using callback = std::function<void(const store_answer& answer)>;

  store_client(http::event_loop& loop,
               const boost::asio::ip::tcp::endpoint& address,
               const store_codec& codec,
               report::event_log& log);

  // Destroying the handle cancels the call; its callback is not called.
  using handle = std::unique_ptr<http::buffered_call>;

  // Reads a page of the table.
  [[nodiscard]] handle Read(const std::string& table,
                            const std::string& from_key,
                            duration timeout,
                            callback done);
  [[nodiscard]] handle Poll(const std::string& table,
                            const store_version& after,
                            duration wait,
                            callback done);
  [[nodiscard]] handle Write(const conditional_write& write, callback done);

  // Sets the callback for a rise of the era of the store's answers, which is
  // called after the call that has shown it. The first era seen is no rise.
  void OnEraChange(std::function<void()> receiver) {
    on_era_change_ = std::move(receiver);
  }

  // The highest era seen in an answer, and the time of its last rise.
  store_era era() const { return era_.value_or(store_era()); }
  time_point era_changed_at() const { return era_changed_at_; }
  // Time of the last failed call, and counts of calls and failures since the
  // start.
  time_point failed_at() const { return failed_at_; }
  int64_t calls() const { return calls_; }
  int64_t failures() const { return failures_; }
  bool reachable() const { return reachable_; }

 private:
  handle Start(const http::request& message,
               duration timeout,
               std::size_t max_body_bytes,
               bool expects_rows,
               callback done);
  store_answer Interpret(const http::response* answer,
                         http::call_failure failure,
                         bool expects_rows);
  // Returns false if the answer is of an earlier era.
  bool RecordEra(const http::response& answer);
  void RecordOutcome(bool served, const std::string& reason);

  http::event_loop& loop_;
  http::client client_;
  const store_codec& codec_;
  report::event_log& log_;
  std::function<void()> on_era_change_;
  std::optional<store_era> era_;
  time_point era_changed_at_{};
  time_point failed_at_{};
  int64_t calls_ = 0;
  int64_t failures_ = 0;
  bool reachable_ = true;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_STORE_CLIENT_H_
