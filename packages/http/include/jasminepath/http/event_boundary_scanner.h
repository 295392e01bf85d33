#ifndef JASMINEPATH_HTTP_EVENT_BOUNDARY_SCANNER_H_
#define JASMINEPATH_HTTP_EVENT_BOUNDARY_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace jasminepath::http {

// Follows the boundaries between the server-sent events of a stream that is
// relayed as it arrives, without keeping its bytes.
class event_boundary_scanner {
 public:
  // Scans received bytes. Returns false if they extend an event beyond
  // kMaxEventBytes.
  bool Scan(std::string_view chunk);

  // Whether the bytes scanned so far end before an event's final blank line.
  bool IsInsideEvent() const { return event_bytes_ > 0; }

  // Whether at least one event has ended.
  bool HasCompleteEvent() const { return has_complete_event_; }

 private:
  // Sizes of the current event and of its current line so far.
  std::size_t event_bytes_ = 0;
  std::size_t line_bytes_ = 0;
  char last_byte_ = '\0';
  bool has_complete_event_ = false;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_EVENT_BOUNDARY_SCANNER_H_
