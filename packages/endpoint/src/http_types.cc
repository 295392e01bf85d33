#include "jasminepath/endpoint/http_types.h"

#include <algorithm>

namespace jasminepath::endpoint {
namespace {

char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsEqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return ToLowerAscii(x) == ToLowerAscii(y);
  });
}

const std::string* FindHeader(const std::vector<header>& headers,
                              std::string_view name) {
  for (const header& field : headers) {
    if (IsEqualIgnoringCase(field.name, name))
      return &field.value;
  }
  return nullptr;
}

}  // namespace jasminepath::endpoint
