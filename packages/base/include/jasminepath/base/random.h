#ifndef JASMINEPATH_BASE_RANDOM_H_
#define JASMINEPATH_BASE_RANDOM_H_

#include <cstddef>
#include <random>
#include <string>

namespace jasminepath {

// The random engine that decision code receives through its constructor. The
// daemon seeds it from the system; tests and replays use a fixed seed.
using random_engine = std::mt19937_64;

// Returns `byte_count` random bytes from the system's secure source in
// lower-case hexadecimal, with two characters per byte.
std::string SecureRandomHex(std::size_t byte_count);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_RANDOM_H_
