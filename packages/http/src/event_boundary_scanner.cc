#include "jasminepath/http/event_boundary_scanner.h"

#include <algorithm>

#include "jasminepath/http/event_stream_splitter.h"

namespace jasminepath::http {

bool event_boundary_scanner::Scan(std::string_view chunk) {
  while (!chunk.empty()) {
    const std::size_t end = chunk.find('\n');
    const std::size_t length = std::min(end, chunk.size());
    event_bytes_ += length;
    line_bytes_ += length;
    if (length > 0)
      last_byte_ = chunk[length - 1];
    if (event_bytes_ > kMaxEventBytes)
      return false;
    if (end == std::string_view::npos)
      return true;
    const bool is_blank =
        line_bytes_ == 0 || (line_bytes_ == 1 && last_byte_ == '\r');
    has_complete_event_ = has_complete_event_ || (is_blank && event_bytes_ > 0);
    event_bytes_ = is_blank ? 0 : event_bytes_ + 1;
    line_bytes_ = 0;
    chunk.remove_prefix(end + 1);
  }
  return true;
}

}  // namespace jasminepath::http
