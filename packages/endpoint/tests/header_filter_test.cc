#include "jasminepath/endpoint/header_filter.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::endpoint {
namespace {

BOOST_AUTO_TEST_CASE(headers_that_can_carry_a_key_are_not_forwarded) {
  const std::vector<header> received{
      {"AUTHORIZATION", "Bearer k"}, {"x-api-key", "k"},
      {"X-API-Key", "k2"},           {"Api-Key", "k"},
      {"Proxy-Authorization", "k"},  {"Cookie", "key=k"},
      {"X-Anything", "k"},           {"content-type", "text/plain"},
      {"Idempotency-Key", "i1"}};
  const std::vector<header> expected{{"content-type", "text/plain"},
                                     {"Idempotency-Key", "i1"}};
  BOOST_TEST((FilterRequestHeaders(received) == expected));
}

BOOST_AUTO_TEST_CASE(connection_headers_are_not_forwarded) {
  const std::vector<header> received{
      {"Transfer-Encoding", "chunked"}, {"content-length", "5"},
      {"Proxy-Connection", "x"},        {"Set-Cookie", "a=b"},
      {"Content-Type", "text/plain"},   {"Location", "/orders/1"}};
  const std::vector<header> expected{{"Content-Type", "text/plain"},
                                     {"Location", "/orders/1"}};
  BOOST_TEST((FilterResponseHeaders(received) == expected));
}

BOOST_AUTO_TEST_CASE(a_key_in_the_query_is_removed_in_every_spelling) {
  BOOST_TEST(RemoveKeyFromPath("/a?key=1") == "/a");
  BOOST_TEST(RemoveKeyFromPath("/a?x=1&API_KEY=2&y=3") == "/a?x=1&y=3");
  BOOST_TEST(RemoveKeyFromPath("/a?api%5Fkey=2&y=3&key") == "/a?y=3");
  BOOST_TEST(RemoveKeyFromPath("/a?key=1&Key=2&kEy=3&z") == "/a?z");
  BOOST_TEST(RemoveKeyFromPath("/a?%zz=1") == "/a");
  BOOST_TEST(RemoveKeyFromPath("/a?keys=%201&monkey=2") ==
             "/a?keys=%201&monkey=2");
  BOOST_TEST(RemoveKeyFromPath("/key=1") == "/key=1");
}

BOOST_AUTO_TEST_CASE(a_query_without_a_key_is_unchanged) {
  BOOST_TEST(rc::check("query", [] {
    const auto value = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("abc123=%20+")));
    const std::string path = "/a?p=" + value;
    return RemoveKeyFromPath(path) == path;
  }));
}

}  // namespace
}  // namespace jasminepath::endpoint
