#include "body_decoder.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace jasminepath::endpoint {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
// Longest chunk-size or trailer line.
constexpr std::size_t kMaxLineBytes = 8 * 1024;
// Limit on all trailer lines.
constexpr std::size_t kMaxTrailerBytes = 64 * 1024;
constexpr int kHexBase = 16;

// Removes one line from the front of `input`; returns it without its line end.
std::optional<std::string_view> TakeLine(std::string_view& input) {
  const std::size_t end = input.find(kLineEnd);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view line = input.substr(0, end);
  input.remove_prefix(end + kLineEnd.size());
  return line;
}

}  // namespace

body_decoder body_decoder::ForLength(uint64_t length) {
  return {position::length, length};
}

body_decoder body_decoder::ForChunks() {
  return {position::chunk_size, 0};
}

decode_state body_decoder::TakeData(std::string_view& input,
                                    std::string_view& data) {
  if (input.empty())
    return decode_state::needs_more;
  data = input.substr(0, std::min<uint64_t>(remaining_bytes_, input.size()));
  input.remove_prefix(data.size());
  remaining_bytes_ -= data.size();
  if (remaining_bytes_ == 0 && position_ == position::chunk_data)
    position_ = position::chunk_end;
  return decode_state::has_data;
}

decode_state body_decoder::TakeChunkSize(std::string_view line) {
  const std::string_view digits = line.substr(0, line.find_first_of("; \t"));
  const char* end = digits.data() + digits.size();
  const auto parsed =
      std::from_chars(digits.data(), end, remaining_bytes_, kHexBase);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return decode_state::malformed;
  position_ = remaining_bytes_ == 0 ? position::trailer : position::chunk_data;
  return decode_state::needs_more;
}

decode_state body_decoder::Next(std::string_view& input,
                                std::string_view& data) {
  while (true) {
    if (position_ == position::length && remaining_bytes_ == 0)
      return decode_state::complete;
    if (position_ == position::length || position_ == position::chunk_data)
      return TakeData(input, data);
    const auto line = TakeLine(input);
    if (!line) {
      return input.size() > kMaxLineBytes ? decode_state::malformed
                                          : decode_state::needs_more;
    }
    if (position_ == position::trailer && line->empty())
      return decode_state::complete;
    if (position_ == position::trailer) {
      trailer_bytes_ += line->size() + kLineEnd.size();
      if (trailer_bytes_ > kMaxTrailerBytes)
        return decode_state::malformed;
    }
    if (position_ == position::chunk_end) {
      if (!line->empty())
        return decode_state::malformed;
      position_ = position::chunk_size;
    } else if (position_ == position::chunk_size &&
               TakeChunkSize(*line) == decode_state::malformed) {
      return decode_state::malformed;
    }
  }
}

}  // namespace jasminepath::endpoint
