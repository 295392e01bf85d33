#ifndef JASMINEPATH_ENDPOINT_HEADER_FILTER_H_
#define JASMINEPATH_ENDPOINT_HEADER_FILTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::endpoint {

// Headers of a caller that may go to an endpoint, in their order: those on the
// fixed list of content headers (Accept, Accept-Language, Content-Type,
// Idempotency-Key, Traceparent, Tracestate, User-Agent). Everything else is
// left out, and with it every header that can carry a key or a cookie.
std::vector<header> FilterRequestHeaders(const std::vector<header>& headers);

// Headers of an endpoint's answer that may go to the caller: all but those of
// the connection itself (Connection, Keep-Alive, Transfer-Encoding,
// Content-Length, Trailer, Upgrade, Proxy-*, Server, Date) and Set-Cookie.
std::vector<header> FilterResponseHeaders(const std::vector<header>& headers);

// A path with query whose parameters `api_key` and `key` are removed, any
// case, percent-encoded or not, repeated or not. The rest stays byte for byte.
std::string RemoveKeyFromPath(std::string_view path);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_HEADER_FILTER_H_
