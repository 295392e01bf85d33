#ifndef JASMINEPATH_BASE_RANDOM_H_
#define JASMINEPATH_BASE_RANDOM_H_

#include <cstddef>
#include <random>
#include <string>

namespace jasminepath {

// The engine that decision code receives through its constructor; the daemon
// seeds it from the system, tests and replays from a fixed number.
using random_engine = std::mt19937_64;

// `byte_count` bytes from the system's secure source, in lower-case
// hexadecimal (two characters a byte).
std::string SecureRandomHex(std::size_t byte_count);

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_RANDOM_H_
