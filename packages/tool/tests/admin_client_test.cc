#include "jasminepath/tool/admin_client.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "jasminepath/standin/endless_server.h"

namespace jasminepath::tool {
namespace {

// Guards against commands that keep what a faulty node sends without end.
BOOST_AUTO_TEST_CASE(AResponseWithoutEndIsAnError) {
  standin::endless_server server(
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x");
  const admin_client client("token", Seconds(10));
  const auto response =
      client.Get("127.0.0.1:" + std::to_string(server.port()), "/admin/status");
  BOOST_REQUIRE(!response.has_value());
  BOOST_TEST(response.error().message.starts_with("malformed"));
  BOOST_TEST(server.WaitForEnd() < standin::endless_server::kMaxSentBytes);
}

}  // namespace
}  // namespace jasminepath::tool
