#include "jasminepath/http/message.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace jasminepath::http {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Content-Length",
    "Proxy-Authorization",
    "Proxy-Authenticate"};

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsBodyExpected(std::string_view method) {
  return method != "GET" && method != "HEAD" && method != "DELETE";
}

}  // namespace

void header_list::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

const std::string* header_list::Find(std::string_view name) const {
  for (const header& field : fields_) {
    if (IsEqualIgnoringCase(field.name, name))
      return &field.value;
  }
  return nullptr;
}

std::string_view header_list::ValueOf(std::string_view name) const {
  const std::string* value = Find(name);
  return value != nullptr ? std::string_view(*value) : std::string_view();
}

bool IsEqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return LowerCase(x) == LowerCase(y);
  });
}

bool IsConnectionField(std::string_view name) {
  return std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                     [name](std::string_view field) {
                       return IsEqualIgnoringCase(field, name);
                     });
}

std::string_view ReasonPhrase(int status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

std::string Serialize(const request& message) {
  std::string out;
  out.reserve(512 + message.body.size());
  out.append(message.method).append(" ").append(message.target);
  out.append(" HTTP/1.1\r\n");
  for (const header& field : message.headers.fields())
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  if (!message.body.empty() || IsBodyExpected(message.method)) {
    out.append("Content-Length: ");
    out.append(std::to_string(message.body.size())).append("\r\n");
  }
  out.append("\r\n").append(message.body);
  return out;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryValue(std::string_view target, std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos)
    return {};
  std::string_view rest = target.substr(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos)
      return pair.substr(equals + 1);
  }
  return {};
}

}  // namespace jasminepath::http
