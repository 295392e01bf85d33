#include "head_syntax.h"

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

}  // namespace jasminepath::endpoint
