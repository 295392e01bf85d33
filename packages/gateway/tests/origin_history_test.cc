#include "origin_history.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

BOOST_AUTO_TEST_CASE(OriginsAreReadAsWritten) {
  const std::vector<stream_origin> origins{
      {request_id("9c41"), software_version("41")},
      {request_id("a\"b"), software_version("42")}};
  const auto decoded = DecodeOrigins(EncodeOrigins(origins));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded.value() == origins));
}

BOOST_AUTO_TEST_CASE(MalformedOriginsAreErrors) {
  for (const char* text :
       {"", "[", "[]", "{}", R"({"origins":{}})", R"({"origins":[1]})",
        R"({"origins":[["a"]]})", R"({"origins":[["a","b","c"]]})",
        R"({"origins":[["a",1]]})"})
    BOOST_TEST(!DecodeOrigins(text).has_value(), text);
}

}  // namespace
}  // namespace jasminepath::gateway
