#ifndef JASMINEPATH_ENDPOINT_BODY_DECODER_H_
#define JASMINEPATH_ENDPOINT_BODY_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepath::endpoint {

// Result of one decoding step.
enum class decode_state { needs_more, has_data, complete, malformed };

// Extracts a body from the raw bytes of a connection and detects the end of the
// body, so that a truncated answer is not mistaken for a complete one.
class body_decoder {
 public:
  // Decodes a body of `length` bytes; 0 means that there is no body.
  static body_decoder ForLength(uint64_t length);
  // Decodes a body in chunked transfer coding.
  static body_decoder ForChunks();

  // Consumes bytes from the front of `input`. With `has_data`, `data` refers to
  // the next bytes of the body in the storage of `input`.
  decode_state Next(std::string_view& input, std::string_view& data);

 private:
  enum class position { length, chunk_size, chunk_data, chunk_end, trailer };

  body_decoder(position at, uint64_t left)
      : position_(at), remaining_bytes_(left) {}

  decode_state TakeData(std::string_view& input, std::string_view& data);
  decode_state TakeChunkSize(std::string_view line);

  position position_;
  // Remaining bytes of the body or of the current chunk.
  uint64_t remaining_bytes_;
  std::size_t trailer_bytes_ = 0;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_BODY_DECODER_H_
