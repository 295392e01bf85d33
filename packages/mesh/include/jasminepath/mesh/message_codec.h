#ifndef JASMINEPATH_MESH_MESSAGE_CODEC_H_
#define JASMINEPATH_MESH_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/mesh/envelope.h"

namespace jasminepath::mesh {

// Version of the encoding; a receiver discards other versions. Fields may be
// added at the end of a message without a new version: missing fields keep
// their default values, and unknown fields are skipped.
inline constexpr int kCodecVersion = 1;

// Maximum size of an encoded envelope.
inline constexpr std::size_t kMaxEnvelopeBytes = std::size_t{8} << 20;

// Why bytes could not be encoded or decoded as an envelope.
enum class codec_error {
  too_large,        // Larger than `kMaxEnvelopeBytes`.
  malformed,        // Not valid MessagePack, or truncated.
  unknown_version,  // Encoded with another `kCodecVersion`.
  unknown_message,  // A message kind that this build does not know.
  bad_field,        // A field has the wrong type or is out of range.
};

// Encodes with MessagePack. Returns `too_large` for an envelope larger than the
// limit.
result<std::string, codec_error> Encode(const envelope& source);

// Decodes the output of Encode(). Never throws, for any input.
result<envelope, codec_error> Decode(std::string_view bytes);

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_MESSAGE_CODEC_H_
