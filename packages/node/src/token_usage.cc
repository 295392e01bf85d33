#include "token_usage.h"

#include <charconv>
#include <cstdint>

namespace jasminepath::node {
namespace {

// Returns the number that follows `"name":` after position `from`, or nullopt
// if there is none.
std::optional<int64_t> FindNumber(std::string_view text,
                                  std::string_view quoted_name,
                                  std::size_t from) {
  std::size_t at = text.find(quoted_name, from);
  if (at == std::string_view::npos)
    return std::nullopt;
  at = text.find_first_not_of(" \t\r\n:", at + quoted_name.size());
  if (at == std::string_view::npos)
    return std::nullopt;
  int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data() + at, text.data() + text.size(), number);
  if (parsed.ec != std::errc() || number < 0)
    return std::nullopt;
  return number;
}

}  // namespace

std::optional<token_usage> FindTokenUsage(std::string_view text) {
  // The last occurrence is used, because generated text may also contain the
  // quoted word.
  const std::size_t at = text.rfind("\"usage\"");
  if (at == std::string_view::npos)
    return std::nullopt;
  const auto prompt = FindNumber(text, "\"prompt_tokens\"", at);
  const auto generated = FindNumber(text, "\"completion_tokens\"", at);
  if (!prompt || !generated)
    return std::nullopt;
  return token_usage{tokens(*prompt), tokens(*generated)};
}

}  // namespace jasminepath::node
