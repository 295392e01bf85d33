#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>

#include "http_server.h"
#include "jasminepath/node/node_app.h"
#include "raw_caller.h"
#include "test_site.h"

namespace jasminepath::node {
namespace {

constexpr int kReceiveBufferBytes = 4096;
constexpr std::size_t kLargeAnswerBytes = 4'000'000;
constexpr char kEndOfHead[] = "\r\n\r\n";

// A site whose plain service gives answers that do not fit into the buffers of
// a slow caller's connection.
class large_answer_site {
 public:
  large_answer_site()
      : endpoint_(
            MakeSettings(),
            [](auto&, auto& response) {
              const std::string body(kLargeAnswerBytes, 'x');
              response.sendBuffer(body.data(), body.size());
            },
            [](auto&, auto&) {}) {
    config::configuration value = site_.MakeConfiguration();
    value.services[0].endpoints[0].address = endpoint_.address();
    site_.Publish(value);
  }

  test_site& site() { return site_; }

 private:
  static http_server_settings MakeSettings() {
    http_server_settings settings;
    settings.listen = "127.0.0.1:0";
    return settings;
  }

  http_server endpoint_;
  test_site site_;
};

std::string StockRequest(const std::string& key) {
  return "GET /stock/red HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + key + "\r\n\r\n";
}

BOOST_AUTO_TEST_CASE(AnswerToSlowCallerIsWrittenWholeAfterPlannedStop) {
  large_answer_site large;
  const std::string key = large.site().IssueKey("beads");
  auto node = std::make_unique<running_node>(large.site().Settings("node-0"));
  BOOST_REQUIRE(WaitUntilReady(node->caller_address(), key));
  raw_caller caller(node->caller_address(), kReceiveBufferBytes);
  caller.Send(StockRequest(key));
  BOOST_REQUIRE(!caller.ReadThrough(kEndOfHead).empty());
  std::string body;
  // Slow for longer than the phases of the stop last without this caller.
  std::thread reader([&] {
    std::this_thread::sleep_for(Seconds(4));
    body = caller.ReadAll();
  });
  BOOST_TEST((node->Stop() == run_end::drained));
  node.reset();
  reader.join();
  BOOST_TEST(body.size() == kLargeAnswerBytes);
}

}  // namespace
}  // namespace jasminepath::node
