#ifndef JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_
#define JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::http {

// What one server-sent event of a model stream says.
struct stream_event {
  // The event as it came, with its blank line.
  std::string raw;
  // From its "id:" line, if it has one.
  std::optional<int64_t> index;
  // Whether its data is "[DONE]".
  bool done = false;

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

// Cuts the bytes of a stream into whole events, so that a caller never gets
// half of one. Holds at most one unfinished event.
class event_stream_splitter {
 public:
  // Adds bytes as they come. False when an event exceeds the size limit.
  bool Append(std::string_view chunk);

  // Takes the next whole event, if there is one.
  std::optional<stream_event> Next();

  // Whether an event has begun and not ended.
  bool HasPartial() const { return !buffer_.empty(); }

  // Drops an unfinished event, before a stream is resumed.
  void Reset();

 private:
  std::string buffer_;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_
