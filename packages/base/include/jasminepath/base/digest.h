#ifndef JASMINEPATH_BASE_DIGEST_H_
#define JASMINEPATH_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminepath {

// SHA-256 of `data` as 64 lower-case hexadecimal characters.
std::string Sha256Hex(std::string_view data);

// Compares two strings in a time that depends on their lengths only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// A 64-bit hash that is the same on every node and in every build (FNV-1a with
// a final mix); not for secrets.
uint64_t StableHash(std::string_view data);

// Mixes two such hashes into one, for choices by rendezvous hashing.
uint64_t MixHashes(uint64_t a, uint64_t b);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_DIGEST_H_
