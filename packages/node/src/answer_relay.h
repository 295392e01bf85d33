#ifndef JASMINEPATH_NODE_ANSWER_RELAY_H_
#define JASMINEPATH_NODE_ANSWER_RELAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/units.h"
#include "jasminepath/endpoint/http_types.h"
#include "jasminepath/http/event_stream_splitter.h"
#include "token_usage.h"

namespace jasminepath::node {

class caller_connection;

// Receives the answer of an endpoint, over one or several attempts, and relays
// it to the caller. An event stream is relayed event by event. Any other answer
// is buffered until it is complete, so that a failed attempt can be retried; an
// answer larger than the buffer limit is relayed as it arrives, and its call
// can no longer be retried. Satisfies endpoint::exchange_sink.
class answer_relay {
 public:
  // `on_first_byte` is called once, on the first byte of the answer. `caller`
  // must outlive this object.
  answer_relay(caller_connection& caller,
               bool accepts_event_stream,
               bytes buffer_limit,
               std::function<void()> on_first_byte);

  // Prepares for the next attempt. A resumed attempt continues the stream.
  void BeginAttempt(bool is_resumed);

  void OnHead(int status, const std::vector<endpoint::header>& headers);
  // Returns false if the caller has disconnected, if an event exceeds the size
  // limit, or if an event of a resumed stream isn't its next one.
  bool OnBody(std::string_view part);

  // Whether the answer is complete. An event stream is complete after "[DONE]".
  bool is_complete() const { return !is_event_stream_ || has_done_event_; }
  // Whether a byte of the answer has been written to the caller.
  bool has_relayed() const { return has_relayed_; }
  bool is_caller_gone() const { return is_caller_gone_; }
  // Index of the first event that has not been relayed.
  int64_t next_event() const { return next_event_; }
  // Whether an interrupted stream can be resumed: its events have indexes.
  bool is_resumable() const { return is_event_stream_ && has_event_indexes_; }
  // The generated tokens that the answer reports, or else the number of events
  // so far.
  tokens generated() const;

  int status() const { return status_; }
  const std::vector<endpoint::header>& headers() const { return headers_; }
  // The buffered body; empty once the answer is relayed as it arrives.
  const std::string& buffered_body() const { return buffered_body_; }

  // Completes the answer to the caller. Returns false if the caller has
  // disconnected.
  bool Finish();

 private:
  void BeginRelay();
  bool RelayEvents(std::string_view part);
  bool Buffer(std::string_view part);
  void ReportFirstByte();
  bool Relay(std::string_view part);

  caller_connection& caller_;
  const bool accepts_event_stream_;
  const bytes buffer_limit_;
  std::function<void()> on_first_byte_;
  http::event_stream_splitter splitter_;
  int status_ = 0;
  std::vector<endpoint::header> headers_;
  std::string buffered_body_;
  std::optional<token_usage> usage_;
  int64_t event_count_ = 0;
  int64_t next_event_ = 0;
  bool is_resumed_ = false;
  // The answer of a resumed attempt isn't the rest of the stream, so that
  // nothing of it is relayed.
  bool is_ignored_ = false;
  bool is_event_stream_ = false;
  bool has_event_indexes_ = true;
  bool is_relaying_ = false;
  bool has_relayed_ = false;
  bool has_done_event_ = false;
  bool has_reported_first_byte_ = false;
  bool is_caller_gone_ = false;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ANSWER_RELAY_H_
