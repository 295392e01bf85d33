#ifndef JASMINEPATH_ENDPOINT_HEADER_FILTER_H_
#define JASMINEPATH_ENDPOINT_HEADER_FILTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::endpoint {

// Returns the caller's headers that may be forwarded to an endpoint, in their
// order: those on the fixed list of content headers (Accept, Accept-Language,
// Content-Type, Idempotency-Key, Traceparent, Tracestate, User-Agent).
// Everything else is removed, including every header that can carry a key or a
// cookie.
std::vector<header> FilterRequestHeaders(const std::vector<header>& headers);

// Returns the headers of an endpoint's answer that may be forwarded to the
// caller: all except those that concern the connection (Connection, Keep-Alive,
// Transfer-Encoding, Content-Length, Trailer, Upgrade, Proxy-*, Server, Date)
// and Set-Cookie.
std::vector<header> FilterResponseHeaders(const std::vector<header>& headers);

// Removes all query parameters named `api_key` or `key` from a path with query,
// in any case and percent-encoded or not. The rest is unchanged.
std::string RemoveKeyFromPath(std::string_view path);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_HEADER_FILTER_H_
