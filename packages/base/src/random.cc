#include "jasminepath/base/random.h"

#include <Poco/RandomStream.h>

namespace jasminepath {

std::string SecureRandomHex(std::size_t byte_count) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string raw(byte_count, '\0');
  Poco::RandomInputStream source;
  source.read(raw.data(), static_cast<std::streamsize>(raw.size()));
  std::string text;
  text.reserve(2 * byte_count);
  for (const char c : raw) {
    text += kHexDigits[static_cast<unsigned char>(c) >> 4];
    text += kHexDigits[static_cast<unsigned char>(c) & 0x0f];
  }
  return text;
}

}  // namespace jasminepath
