#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "caller_connection.h"
#include "http_server.h"
#include "raw_caller.h"

namespace jasminepath::node {
namespace {

constexpr char kRequest[] = "GET /plain HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kStreamRequest[] = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";

// Streams end, and other answers begin, when the test says so.
class stopping_server {
 public:
  stopping_server()
      : server_(std::make_unique<http_server>(
            MakeSettings(),
            [this](auto& request, auto& response) {
              Handle(request, response);
            },
            [](auto&, auto&) {})) {}

  http_server& server() { return *server_; }
  std::string address() const { return server_->address(); }
  void FinishRequests() { finish_.set_value(); }
  void WaitForRequest() { begun_.get_future().wait(); }
  void Stop(duration timeout) {
    server_->Stop(timeout, [] { return false; });
  }
  // As at the end of the process.
  void Destroy() { server_.reset(); }
  // Whether a request for the path was read whole.
  bool HasRead(const std::string& path) {
    const std::lock_guard lock(mutex_);
    return read_.contains(path);
  }

 private:
  static http_server_settings MakeSettings() {
    http_server_settings settings;
    settings.listen = "127.0.0.1:0";
    return settings;
  }

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    caller_connection caller(request, response, request_id("r"));
    {
      const std::lock_guard lock(mutex_);
      read_.insert(request.getURI());
    }
    const bool is_first = !has_begun_.exchange(true);
    if (request.getURI() == "/stream") {
      caller.BeginStream(200, {}, true);
      caller.WriteStream("data: 1\n\n");
    }
    if (is_first) {
      begun_.set_value();
      finished_.wait();
    }
    if (caller.has_started())
      caller.EndStream();
    else
      caller.SendAnswer(200, {}, "done");
  }

  std::mutex mutex_;
  std::set<std::string> read_;
  std::atomic<bool> has_begun_ = false;
  std::promise<void> begun_;
  std::promise<void> finish_;
  const std::shared_future<void> finished_{finish_.get_future()};
  std::unique_ptr<http_server> server_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Waits until the address takes no connection.
void WaitUntilRefused(const std::string& address) {
  try {
    while (true) {
      const raw_caller probe(address);
      std::this_thread::yield();
    }
  } catch (const Poco::Exception&) {
  }
}

BOOST_AUTO_TEST_CASE(AnswerDuringStopIsNotFollowedByUnannouncedClose) {
  stopping_server site;
  raw_caller caller(site.address());
  caller.Send(kRequest);
  site.WaitForRequest();
  site.server().BeginDrain();
  site.FinishRequests();
  const std::string answer = caller.ReadAll();
  BOOST_TEST(answer.ends_with("done"), answer);
  BOOST_TEST(Contains(answer, "Connection: Close"), answer);
}

BOOST_AUTO_TEST_CASE(RequestAfterStreamThatBeganBeforeStopIsAnswered) {
  stopping_server site;
  raw_caller caller(site.address());
  caller.Send(kStreamRequest);
  const std::string head = caller.ReadThrough(kEndOfHead);
  BOOST_TEST(Contains(head, "Connection: Keep-Alive"), head);
  site.WaitForRequest();
  site.server().BeginDrain();
  site.FinishRequests();
  const std::string events = caller.ReadThrough(kLastChunk);
  BOOST_TEST(events.ends_with(kLastChunk), events);
  caller.Send(kRequest);
  const std::string answer = caller.ReadAll();
  BOOST_TEST(answer.ends_with("done"), answer);
  BOOST_TEST(Contains(answer, "Connection: Close"), answer);
}

BOOST_AUTO_TEST_CASE(ConnectionIsRefusedOnceNobodyAcceptsIt) {
  stopping_server site;
  raw_caller caller(site.address());
  caller.Send(kRequest);
  site.WaitForRequest();
  const std::string address = site.address();
  site.Stop(Seconds(0));
  BOOST_CHECK_THROW(raw_caller late(address), Poco::Exception);
  site.FinishRequests();
}

BOOST_AUTO_TEST_CASE(RequestWhoseHeadIsHalfThereWhenStopClosesIsAnswered) {
  stopping_server site;
  const std::string address = site.address();
  site.FinishRequests();
  raw_caller caller(address);
  caller.Send(kRequest);
  BOOST_REQUIRE(Contains(caller.ReadThrough("done"), "Keep-Alive"));
  const std::string request = kRequest;
  caller.Send(request.substr(0, 10));
  std::thread stop([&site] {
    site.Stop(Seconds(20));
    site.Destroy();
  });
  WaitUntilRefused(address);
  caller.Send(request.substr(10));
  const std::string answer = caller.ReadAll();
  stop.join();
  BOOST_TEST(answer.ends_with("done"), answer);
}

BOOST_AUTO_TEST_CASE(RequestThatCrossesCloseIsAnsweredOrNotRead) {
  constexpr int kRounds = 10;
  constexpr int kCallers = 200;
  for (int round = 0; round < kRounds; ++round) {
    stopping_server site;
    const std::string address = site.address();
    site.FinishRequests();
    std::vector<raw_caller> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(address);
      callers.back().Send(kRequest);
      callers.back().ReadThrough("done");
    }
    std::thread stop([&site] { site.Stop(Seconds(20)); });
    WaitUntilRefused(address);
    // From the last one, which is closed last.
    for (int i = kCallers - 1; i >= 0; --i) {
      try {
        callers[i].Send("GET /" + std::to_string(i) +
                        " HTTP/1.1\r\nHost: a\r\n\r\n");
      } catch (const Poco::Exception&) {
      }
    }
    stop.join();
    site.Destroy();
    int read_unanswered = 0;
    for (int i = 0; i < kCallers; ++i) {
      const bool is_answered = callers[i].ReadAll().ends_with("done");
      if (!is_answered && site.HasRead("/" + std::to_string(i)))
        ++read_unanswered;
    }
    BOOST_TEST(read_unanswered == 0);
  }
}

BOOST_AUTO_TEST_CASE(RequestWhoseHeadBreaksOffIsNotHandled) {
  stopping_server site;
  site.FinishRequests();
  raw_caller caller(site.address());
  caller.Send("POST /orders HTTP/1.1\r\nHost: a\r\nX-Api-Key: k\r\n");
  caller.CloseSending();
  caller.ReadAll();
  BOOST_TEST(!site.HasRead("/orders"));
}

}  // namespace
}  // namespace jasminepath::node
