#include "head_syntax.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace jasminepath::endpoint {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 599;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// The characters of a token (RFC 9110, section 5.6.2).
bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool IsField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(colon + 1);
  return std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         std::all_of(value.begin(), value.end(), IsValueCharacter);
}

}  // namespace

bool HasValidStatusLine(std::string_view head) {
  const std::string_view line = head.substr(0, head.find(kLineEnd));
  // The protocol ends with a digit and a space.
  constexpr std::size_t kStatusStart = kProtocol.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusStart + kStatusDigits;
  if (!line.starts_with(kProtocol) || line.size() < kStatusEnd ||
      !IsDigit(line[kProtocol.size()]) || line[kStatusStart - 1] != ' ' ||
      (line.size() > kStatusEnd && line[kStatusEnd] != ' '))
    return false;
  int status = 0;
  const char* end = line.data() + kStatusEnd;
  const auto parsed = std::from_chars(line.data() + kStatusStart, end, status);
  return parsed.ec == std::errc() && parsed.ptr == end &&
         status >= kLowestStatus && status <= kHighestStatus;
}

bool HasValidFields(std::string_view head) {
  while (true) {
    const std::size_t end = head.find(kLineEnd);
    if (end == std::string_view::npos)
      return false;
    head.remove_prefix(end + kLineEnd.size());
    const std::string_view line = head.substr(0, head.find(kLineEnd));
    if (line.empty())
      return true;
    if (!IsField(line))
      return false;
  }
}

}  // namespace jasminepath::endpoint
