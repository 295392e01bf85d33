#include "jasminepath/http/event_stream_splitter.h"

#include <charconv>
#include <utility>

namespace jasminepath::http {
namespace {

constexpr std::string_view kIndexField = "id:";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDoneData = "[DONE]";

std::string_view WithoutLeadingSpace(std::string_view text) {
  return text.starts_with(' ') ? text.substr(1) : text;
}

std::string_view WithoutCarriageReturn(std::string_view line) {
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

std::optional<int64_t> ParseIndex(std::string_view text) {
  int64_t index = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), index);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return index;
}

void ParseLine(std::string_view line, stream_event& event) {
  if (line.starts_with(kIndexField)) {
    event.index =
        ParseIndex(WithoutLeadingSpace(line.substr(kIndexField.size())));
  } else if (line.starts_with(kDataField)) {
    event.done =
        WithoutLeadingSpace(line.substr(kDataField.size())) == kDoneData;
  }
}

// Length of the first complete event including its blank line, or 0.
std::size_t FirstEventLength(std::string_view buffer) {
  const std::size_t plain = buffer.find("\n\n");
  const std::size_t carriage = buffer.find("\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos)
    return 0;
  return plain < carriage ? plain + 2 : carriage + 3;
}

}  // namespace

bool event_stream_splitter::Append(std::string_view chunk) {
  buffer_.append(chunk);
  return buffer_.size() <= kMaxEventBytes || FirstEventLength(buffer_) != 0;
}

std::optional<stream_event> event_stream_splitter::Next() {
  const std::size_t length = FirstEventLength(buffer_);
  if (length == 0)
    return std::nullopt;
  stream_event event;
  event.raw = buffer_.substr(0, length);
  buffer_.erase(0, length);
  std::string_view rest = event.raw;
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    ParseLine(WithoutCarriageReturn(rest.substr(0, end)), event);
    if (end == std::string_view::npos)
      break;
    rest.remove_prefix(end + 1);
  }
  return event;
}

void event_stream_splitter::Reset() {
  buffer_.clear();
}

}  // namespace jasminepath::http
