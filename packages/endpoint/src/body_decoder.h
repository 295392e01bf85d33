#ifndef JASMINEPATH_ENDPOINT_BODY_DECODER_H_
#define JASMINEPATH_ENDPOINT_BODY_DECODER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepath::endpoint {

// Where the decoder is with the body.
enum class decode_state { needs_more, has_data, complete, malformed };

// Finds the body's bytes and its end in the raw bytes of a connection, so that
// a connection that ended early is told apart from a complete answer.
class body_decoder {
 public:
  // A body of a known length; 0 for none.
  static body_decoder ForLength(uint64_t length);
  // A body in chunked transfer coding.
  static body_decoder ForChunks();

  // Takes bytes from the front of `input`. With `has_data`, `data` views the
  // next bytes of the body inside `input`'s storage.
  decode_state Next(std::string_view& input, std::string_view& data);

 private:
  enum class position { length, chunk_size, chunk_data, chunk_end, trailer };

  body_decoder(position at, uint64_t left) : at_(at), left_(left) {}

  decode_state TakeData(std::string_view& input, std::string_view& data);
  decode_state TakeChunkSize(std::string_view line);

  position at_;
  // Bytes left of the body or of the chunk.
  uint64_t left_;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_BODY_DECODER_H_
