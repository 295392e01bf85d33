#ifndef JASMINEPATH_MESH_MESSAGE_CODEC_H_
#define JASMINEPATH_MESH_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/mesh/envelope.h"

namespace jasminepath::mesh {

// Version of the encoding; a receiver discards other versions. Fields may be
// added at the end of a message without a new version: those missing keep
// their defaults and unknown ones are skipped.
inline constexpr int kCodecVersion = 1;

// Largest encoded envelope.
inline constexpr std::size_t kMaxEnvelopeBytes = std::size_t{8} << 20;

// Why bytes are not an envelope.
enum class codec_error {
  too_large,        // Beyond `kMaxEnvelopeBytes`.
  malformed,        // Not the encoding, or cut short.
  unknown_version,  // From a node with another encoding.
  unknown_message,  // A kind of message that this build does not know.
  bad_field,        // A field of the wrong type or out of range.
};

// Encodes with MessagePack. Returns `too_large` for an envelope beyond the
// limit.
result<std::string, codec_error> Encode(const envelope& source);

// Decodes what Encode made. Never throws, whatever the bytes.
result<envelope, codec_error> Decode(std::string_view bytes);

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_MESSAGE_CODEC_H_
