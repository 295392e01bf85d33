#ifndef JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_
#define JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::http {

// Limit on the size of one event.
inline constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

// One server-sent event of a model stream.
struct stream_event {
  // The bytes of the event as received, including its final blank line.
  std::string raw;
  // The number on the "id:" line, if there is one.
  std::optional<int64_t> index;
  // Whether the event's data is "[DONE]", which ends the stream.
  bool done = false;

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

// Splits the bytes of a stream into complete events, so that a caller never
// receives a partial one.
class event_stream_splitter {
 public:
  // Appends received bytes. Returns false if an event exceeds kMaxEventBytes.
  bool Append(std::string_view chunk);

  // Removes and returns the next complete event, if there is one.
  std::optional<stream_event> Next();

  // Whether the buffer holds bytes that Next() has not returned.
  bool HasPartial() const { return begin_ < buffer_.size(); }

  // Discards an unfinished event before a stream is resumed.
  void Reset();

 private:
  // End of the first event that has not been returned, if it is complete.
  // Continues where the previous search ended.
  std::optional<std::size_t> FindEventEnd();

  std::string buffer_;
  // Beginning of the first event that has not been returned, and the position
  // up to which no end of it was found.
  std::size_t begin_ = 0;
  std::size_t searched_ = 0;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_EVENT_STREAM_SPLITTER_H_
