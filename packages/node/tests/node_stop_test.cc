#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/TemporaryFile.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
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

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string RequestIdIn(const std::string& head) {
  constexpr std::string_view kName = "X-Request-Id: ";
  const std::size_t begin = head.find(kName) + kName.size();
  return head.substr(begin, head.find('\r', begin) - begin);
}

BOOST_AUTO_TEST_CASE(CallsThatAreCutWhenNodeEndsAreNamedInLog) {
  large_answer_site large;
  const std::string key = large.site().IssueKey("beads");
  const Poco::TemporaryFile log;
  config::node_settings settings = large.site().Settings("node-0");
  settings.log_file = log.path();
  settings.level = config::log_level::info;
  auto node = std::make_unique<running_node>(settings);
  BOOST_REQUIRE(WaitUntilReady(node->caller_address(), key));
  raw_caller slow(node->caller_address(), kReceiveBufferBytes);
  slow.Send(StockRequest(key));
  const std::string slow_head = slow.ReadThrough(kEndOfHead);
  raw_caller streaming(node->caller_address());
  const std::string body =
      R"({"model":"knots","max_tokens":4000,"stream":true,)"
      R"("messages":[{"role":"user","content":"long"}]})";
  streaming.Send(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + key +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::string stream_head = streaming.ReadThrough(kEndOfHead);
  node->RequestStop();
  BOOST_TEST((node->Stop() == run_end::aborted));
  node.reset();
  const std::string lines = ReadFile(log.path());
  BOOST_TEST(
      Contains(lines, "event=call_cut request=" + RequestIdIn(slow_head) +
                          " cause=node_ended answer_began=1 stopping=1"),
      lines);
  const std::string stream = RequestIdIn(stream_head);
  BOOST_TEST(Contains(lines, "event=call_cut request=" + stream +
                                 " cause=shutting_down answer_began=1"),
             lines);
  BOOST_TEST(Contains(lines, "event=call_ended request=" + stream +
                                 " team=beads service=assistant route=knots "
                                 "outcome=shutting_down"),
             lines);
}

}  // namespace
}  // namespace jasminepath::node
