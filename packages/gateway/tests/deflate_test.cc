#include "deflate.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::gateway {
namespace {

constexpr std::size_t kMaxBytes = 100000;

BOOST_AUTO_TEST_CASE(InflateRestoresDeflatedBytes) {
  std::string text;
  for (int i = 0; i < 5000; ++i)
    text += std::to_string(i * i);
  BOOST_TEST((Inflate(Deflate(text), kMaxBytes) == text));
  BOOST_TEST(Deflate(text).size() < text.size());
}

// Guards against decompression bombs: a few bytes that expand to a large
// output.
BOOST_AUTO_TEST_CASE(InflateRejectsOutputAboveLimit) {
  const std::string large(kMaxBytes + 1, 'x');
  const std::string bytes = Deflate(large);
  BOOST_TEST(bytes.size() < 2000U);
  BOOST_TEST(!Inflate(bytes, kMaxBytes).has_value());
  BOOST_TEST(Inflate(bytes, kMaxBytes + 1).has_value());
}

BOOST_AUTO_TEST_CASE(InflateRejectsInvalidBytes) {
  BOOST_TEST(!Inflate("", kMaxBytes).has_value());
  BOOST_TEST(!Inflate("no such data", kMaxBytes).has_value());
  const std::string bytes = Deflate("some text that ends early");
  for (std::size_t length = 0; length < bytes.size(); ++length)
    BOOST_TEST(!Inflate(bytes.substr(0, length), kMaxBytes).has_value());
}

}  // namespace
}  // namespace jasminepath::gateway
