#include "deflate.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::gateway {
namespace {

constexpr std::size_t kMostBytes = 100000;

BOOST_AUTO_TEST_CASE(InflateGivesBackWhatWasDeflated) {
  std::string text;
  for (int i = 0; i < 5000; ++i)
    text += std::to_string(i * i);
  BOOST_TEST((Inflate(Deflate(text), kMostBytes) == text));
  BOOST_TEST(Deflate(text).size() < text.size());
}

// A few bytes can stand for very many.
BOOST_AUTO_TEST_CASE(InflateStopsAtItsLimit) {
  const std::string large(kMostBytes + 1, 'x');
  const std::string bytes = Deflate(large);
  BOOST_TEST(bytes.size() < 2000U);
  BOOST_TEST(!Inflate(bytes, kMostBytes).has_value());
  BOOST_TEST(Inflate(bytes, kMostBytes + 1).has_value());
}

BOOST_AUTO_TEST_CASE(InflateRejectsOtherBytes) {
  BOOST_TEST(!Inflate("", kMostBytes).has_value());
  BOOST_TEST(!Inflate("no such data", kMostBytes).has_value());
  const std::string bytes = Deflate("some text that ends early");
  for (std::size_t length = 0; length < bytes.size(); ++length)
    BOOST_TEST(!Inflate(bytes.substr(0, length), kMostBytes).has_value());
}

}  // namespace
}  // namespace jasminepath::gateway
