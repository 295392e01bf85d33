#ifndef JASMINEPATH_FUZZ_FUZZ_CHECK_H_
#define JASMINEPATH_FUZZ_FUZZ_CHECK_H_

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace jasminepath::fuzz {

inline std::string InputText(const uint8_t* data, std::size_t size) {
  return std::string(reinterpret_cast<const char*>(data), size);
}

// Aborts the process, which libFuzzer reports as a crash, if `condition` is
// false.
inline void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::cerr << "violated: " << what << '\n';
  std::abort();
}

}  // namespace jasminepath::fuzz

#endif  // JASMINEPATH_FUZZ_FUZZ_CHECK_H_
