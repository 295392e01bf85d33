#include "jasminepath/http/client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

#include "loop_fixture.h"

namespace jasminepath::http {
namespace {

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

BOOST_FIXTURE_TEST_CASE(ReusesTheConnectionForLaterCalls, loop_fixture) {
  canned_peer peer(*this, {kAnswer, kAnswer});
  client subject(loop, peer.address());
  for (int i = 0; i < 2; ++i) {
    collecting_sink sink;
    const auto call = subject.Send(kRequest, false, {}, sink);
    RunUntil([&] { return sink.done(); });
    BOOST_TEST(sink.body == "ok");
  }
  BOOST_TEST(peer.connections() == 1);
  BOOST_TEST(subject.idle_connections() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DropsAnIdleConnectionThatThePeerCloses, loop_fixture) {
  canned_peer peer(*this, {kAnswer});
  peer.CloseAfterAnswer(false);
  client subject(loop, peer.address());
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST(sink.ended);
  RunUntil([&] { return subject.idle_connections() == 0; });
}

BOOST_FIXTURE_TEST_CASE(OpensANewConnectionWhenReuseIsDisabled, loop_fixture) {
  canned_peer peer(*this, {kAnswer, kAnswer});
  client subject(loop, peer.address());
  call_options options;
  options.max_idle_time = duration::zero();
  for (int i = 0; i < 2; ++i) {
    collecting_sink sink;
    const auto call = subject.Send(kRequest, false, options, sink);
    RunUntil([&] { return sink.done(); });
  }
  BOOST_TEST(peer.connections() == 2);
}

// A peer that sends two answers to one request leaves the extra answer where
// the client expects the answer to its next request.
BOOST_FIXTURE_TEST_CASE(SkipsAnAnswerThatBelongsToAnotherRequest,
                        loop_fixture) {
  canned_peer peer(*this, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray" +
                           std::string(kAnswer)});
  client subject(loop, peer.address());
  collecting_sink sink;
  sink.skip_next = true;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST(sink.ended);
  BOOST_TEST(sink.body == "ok");
}

BOOST_FIXTURE_TEST_CASE(AcceptsAnAnswerDelimitedByConnectionClose,
                        loop_fixture) {
  canned_peer peer(*this, {"HTTP/1.1 200 OK\r\n\r\nwhole"});
  peer.CloseAfterAnswer(false);
  client subject(loop, peer.address());
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST(sink.ended);
  BOOST_TEST(sink.body == "whole");
}

BOOST_FIXTURE_TEST_CASE(ReportsIncompleteAndMalformedAnswers, loop_fixture) {
  struct row {
    const char* bytes;
    call_failure expected;
  };
  for (const row& item :
       {row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            call_failure::broken},
        row{"no answer at all\r\n\r\n", call_failure::malformed},
        row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
            call_failure::broken},
        row{"", call_failure::broken}}) {
    canned_peer peer(*this, {item.bytes});
    peer.CloseAfterAnswer(false);
    client subject(loop, peer.address());
    collecting_sink sink;
    const auto call = subject.Send(kRequest, false, {}, sink);
    RunUntil([&] { return sink.done(); });
    BOOST_TEST((sink.failure == item.expected));
  }
}

// Bytes that never become a complete answer.
struct endless_answer {
  std::string name;
  std::string beginning;
  std::string piece;
  bool is_skipped = false;
};

std::ostream& operator<<(std::ostream& out, const endless_answer& item) {
  return out << item.name;
}

const std::vector<endless_answer> kEndlessAnswers = {
    {"no_http", "", "garbage"},
    {"reason", "HTTP/1.1 200 ", "x"},
    {"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"chunk_size", std::string(kChunkedHead) + "1", "0"},
    {"chunk_extension", std::string(kChunkedHead) + "1", ";a=b"},
    {"trailer", std::string(kChunkedHead) + "0\r\n", "X: y\r\n"},
    {"skipped_answers", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
     true},
    {"skipped_body", "HTTP/1.1 200 OK\r\n\r\n", "x", true},
    {"skipped_chunks", kChunkedHead, "1\r\nx\r\n", true},
};

BOOST_DATA_TEST_CASE_F(loop_fixture,
                       EndsAnAnswerWithoutEndAsMalformed,
                       boost::unit_test::data::make(kEndlessAnswers),
                       item) {
  endless_peer peer(*this, item.beginning, item.piece);
  client subject(loop, peer.address());
  collecting_sink sink;
  sink.skip_all = item.is_skipped;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST((sink.failure == call_failure::malformed));
}

BOOST_FIXTURE_TEST_CASE(AHugeAnnouncedLengthAllocatesNothing, loop_fixture) {
  canned_peer peer(*this, {"HTTP/1.1 200 OK\r\n"
                           "Content-Length: 4611686018427387904\r\n\r\nhalf"});
  peer.CloseAfterAnswer(false);
  client subject(loop, peer.address());
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST((sink.failure == call_failure::broken));
  BOOST_TEST(sink.body == "half");
}

// Each piece is parsed by itself, whatever the previous one ended with.
BOOST_DATA_TEST_CASE_F(loop_fixture,
                       AcceptsAnAnswerThatArrivesInTwoPieces,
                       boost::unit_test::data::make(
                           {kAnswer,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n2\r\nok\r\n0\r\n\r\n"}),
                       answer) {
  const std::string bytes = answer;
  for (std::size_t split = 1; split < bytes.size(); ++split) {
    boost::asio::ip::tcp::acceptor acceptor(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    client subject(loop, acceptor.local_endpoint());
    collecting_sink sink;
    const auto call = subject.Send(kRequest, false, {}, sink);
    boost::asio::ip::tcp::socket peer = acceptor.accept();
    peer.set_option(boost::asio::ip::tcp::no_delay(true));
    boost::asio::write(peer, boost::asio::buffer(bytes.substr(0, split)));
    loop.restart();
    while (loop.run_one_for(std::chrono::milliseconds(5)) > 0) {
    }
    boost::asio::write(peer, boost::asio::buffer(bytes.substr(split)));
    RunUntil([&] { return sink.done(); });
    BOOST_TEST_CONTEXT("split after " << split) {
      BOOST_TEST(sink.ended);
      BOOST_TEST(sink.body == "ok");
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ReportsAResetAnswerWithoutLengthAsBroken,
                        loop_fixture) {
  canned_peer peer(*this, {"HTTP/1.1 200 OK\r\n\r\nhalf"});
  peer.CloseAfterAnswer(true);
  client subject(loop, peer.address());
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST((sink.failure == call_failure::broken));
}

BOOST_FIXTURE_TEST_CASE(ReportsARefusedConnectionAsNotSent, loop_fixture) {
  boost::asio::ip::tcp::endpoint closed;
  {
    canned_peer peer(*this, {});
    closed = peer.address();
  }
  client subject(loop, closed);
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, {}, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST((sink.failure == call_failure::not_sent));
}

BOOST_FIXTURE_TEST_CASE(ReportsATimeoutWhenThePeerDoesNotAnswer, loop_fixture) {
  canned_peer peer(*this, {});
  client subject(loop, peer.address());
  call_options options;
  options.head_timeout = Milliseconds(30);
  collecting_sink sink;
  const auto call = subject.Send(kRequest, false, options, sink);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST((sink.failure == call_failure::timed_out));
}

BOOST_FIXTURE_TEST_CASE(BufferedCallDeliversTheCompleteAnswer, loop_fixture) {
  canned_peer peer(*this, {kAnswer});
  client subject(loop, peer.address());
  std::string body;
  const buffered_call call(loop, subject, {"GET", "/", {{"Host", "h"}}, ""},
                           Seconds(5), 2,
                           [&](const response* answer, call_failure) {
                             BOOST_REQUIRE(answer != nullptr);
                             body = answer->body;
                           });
  RunUntil([&] { return !body.empty(); });
  BOOST_TEST(body == "ok");
}

BOOST_FIXTURE_TEST_CASE(BufferedCallRejectsABodyOverItsLimit, loop_fixture) {
  canned_peer peer(*this, {kAnswer});
  client subject(loop, peer.address());
  std::optional<call_failure> failure;
  const buffered_call call(loop, subject, {"GET", "/", {{"Host", "h"}}, ""},
                           Seconds(5), 1,
                           [&](const response* answer, call_failure received) {
                             BOOST_TEST(answer == nullptr);
                             failure = received;
                           });
  RunUntil([&] { return failure.has_value(); });
  BOOST_TEST((failure == call_failure::malformed));
}

}  // namespace
}  // namespace jasminepath::http
