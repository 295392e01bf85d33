#include "jasminepath/endpoint/header_filter.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <iterator>

namespace jasminepath::endpoint {
namespace {

constexpr std::string_view kForwardedRequestHeaders[] = {
    "Accept",      "Accept-Language", "Content-Type", "Idempotency-Key",
    "Traceparent", "Tracestate",      "User-Agent"};

constexpr std::string_view kConnectionHeaders[] = {
    "Connection",     "Keep-Alive", "Transfer-Encoding",
    "Content-Length", "Trailer",    "Upgrade",
    "Server",         "Date",       "Set-Cookie"};

constexpr std::string_view kProxyPrefix = "Proxy-";

constexpr std::string_view kKeyParameters[] = {"api_key", "key"};

template <std::size_t Size>
bool IsOneOf(std::string_view name, const std::string_view (&names)[Size]) {
  return std::any_of(
      std::begin(names), std::end(names),
      [&](std::string_view known) { return IsEqualIgnoringCase(name, known); });
}

bool IsConnectionHeader(std::string_view name) {
  return IsOneOf(name, kConnectionHeaders) ||
         IsEqualIgnoringCase(name.substr(0, kProxyPrefix.size()), kProxyPrefix);
}

// A parameter whose name cannot be decoded may contain a key and counts as one.
bool IsKeyParameter(std::string_view parameter) {
  const std::string encoded(parameter.substr(0, parameter.find('=')));
  std::string name;
  try {
    Poco::URI::decode(encoded, name, true);
  } catch (const Poco::Exception&) {
    return true;
  }
  return IsOneOf(name, kKeyParameters);
}

}  // namespace

std::vector<header> FilterRequestHeaders(const std::vector<header>& headers) {
  std::vector<header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const header& field) {
                 return IsOneOf(field.name, kForwardedRequestHeaders);
               });
  return kept;
}

std::vector<header> FilterResponseHeaders(const std::vector<header>& headers) {
  std::vector<header> kept;
  std::copy_if(
      headers.begin(), headers.end(), std::back_inserter(kept),
      [](const header& field) { return !IsConnectionHeader(field.name); });
  return kept;
}

std::string RemoveKeyFromPath(std::string_view path) {
  const std::size_t mark = path.find('?');
  if (mark == std::string_view::npos)
    return std::string(path);
  std::string kept(path.substr(0, mark));
  std::string_view query = path.substr(mark + 1);
  char separator = '?';
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view parameter = query.substr(0, end);
    if (!IsKeyParameter(parameter)) {
      kept.push_back(separator);
      kept.append(parameter);
      separator = '&';
    }
    query = end == std::string_view::npos ? std::string_view()
                                          : query.substr(end + 1);
  }
  return kept;
}

}  // namespace jasminepath::endpoint
