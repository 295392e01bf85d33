#ifndef JASMINEPATH_GATEWAY_SRC_DEFLATE_H_
#define JASMINEPATH_GATEWAY_SRC_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::gateway {

// The bytes in zlib's format.
std::string Deflate(std::string_view bytes);

// What Deflate() was given; nothing if the bytes are no such data or hold more
// than `most_bytes`.
std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t most_bytes);

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_DEFLATE_H_
