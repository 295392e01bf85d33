#include "jasminepath/http/event_stream_splitter.h"

#include <algorithm>
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

}  // namespace

bool event_stream_splitter::Append(std::string_view chunk) {
  buffer_.erase(0, begin_);
  searched_ -= begin_;
  begin_ = 0;
  buffer_.append(chunk);
  return buffer_.size() <= kMaxEventBytes || FindEventEnd();
}

std::optional<std::size_t> event_stream_splitter::FindEventEnd() {
  while (true) {
    searched_ = std::min(buffer_.find('\n', searched_), buffer_.size());
    const std::string_view next =
        std::string_view(buffer_).substr(searched_).substr(0, 3);
    if (next.starts_with("\n\n"))
      return searched_ + 2;
    if (next == "\n\r\n")
      return searched_ + 3;
    // The blank line may be incomplete.
    if (next.empty() || next == "\n" || next == "\n\r")
      return std::nullopt;
    ++searched_;
  }
}

std::optional<stream_event> event_stream_splitter::Next() {
  const auto end = FindEventEnd();
  if (!end)
    return std::nullopt;
  stream_event event;
  event.raw = buffer_.substr(begin_, *end - begin_);
  begin_ = searched_ = *end;
  std::string_view rest = event.raw;
  while (!rest.empty()) {
    const std::size_t line_end = rest.find('\n');
    ParseLine(WithoutCarriageReturn(rest.substr(0, line_end)), event);
    if (line_end == std::string_view::npos)
      break;
    rest.remove_prefix(line_end + 1);
  }
  return event;
}

void event_stream_splitter::Reset() {
  buffer_.clear();
  begin_ = searched_ = 0;
}

}  // namespace jasminepath::http
