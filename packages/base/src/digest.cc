#include "jasminepath/base/digest.h"

#include <Poco/SHA2Engine.h>

namespace jasminepath {

std::string Sha256Hex(std::string_view data) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(data.data(), data.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  return difference == 0;
}

uint64_t StableHash(std::string_view data) {
  constexpr uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffsetBasis;
  for (const char c : data) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

// The finalizer of SplitMix64.
uint64_t MixHashes(uint64_t a, uint64_t b) {
  uint64_t value = a ^ b;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace jasminepath
