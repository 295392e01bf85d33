#ifndef JASMINEPATH_BASE_DIGEST_H_
#define JASMINEPATH_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepath {

// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal characters.
std::string Sha256Hex(std::string_view data);

// Returns whether two strings are equal. The running time depends only on their
// lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns a 64-bit hash that is the same on every node and in every build
// (FNV-1a with a final mix). Not suitable for secrets.
uint64_t StableHash(std::string_view data);

// Combines two hashes into one, for rendezvous hashing.
uint64_t MixHashes(uint64_t a, uint64_t b);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_DIGEST_H_
