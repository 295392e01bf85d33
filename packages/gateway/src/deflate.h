#ifndef JASMINEPATH_GATEWAY_SRC_DEFLATE_H_
#define JASMINEPATH_GATEWAY_SRC_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepath::gateway {

// Compresses the bytes into zlib format.
std::string Deflate(std::string_view bytes);

// Decompresses the output of Deflate(). Returns nullopt if the bytes are
// invalid or expand to more than `max_bytes`.
std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes);

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_DEFLATE_H_
