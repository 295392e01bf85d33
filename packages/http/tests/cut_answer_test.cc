#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

#include "jasminepath/http/client.h"
#include "loop_fixture.h"

namespace jasminepath::http {
namespace {

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kEarlierAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// An answer that a peer breaks off.
struct answer_to_cut {
  std::string name;
  std::string head;
  std::string body;
  // Whether the answer has no length and ends with its connection.
  bool ends_with_connection = false;
  bool is_head_request = false;
};

std::ostream& operator<<(std::ostream& out, const answer_to_cut& item) {
  return out << item.name;
}

const std::vector<answer_to_cut> kAnswersToCut = {
    {"length", "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 9\r\n\r\n",
     "some text"},
    {"no_body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n", ""},
    {"no_content", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", ""},
    {"head_request", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", false,
     true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "4\r\nsome\r\nA;x=y\r\nother text\r\n0\r\n\r\n"},
    {"trailers",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n",
     "4\r\nsome\r\n0\r\nT: u\r\nV: w\r\n\r\n"},
    {"connection", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "some text", true},
    {"old_version", "HTTP/1.0 200 OK\r\nX: y\r\n\r\n", "some text", true},
    {"interim",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
     "4\r\n\r\n",
     "text"},
    {"interim_connection",
     "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "text",
     true},
    {"no_carriage_returns", "HTTP/1.1 200 OK\nX: y\nContent-Length: 0\n\n", ""},
    {"no_carriage_returns_connection", "HTTP/1.1 200 OK\nX: y\n\n", "text",
     true},
};

struct cut_answer_fixture : loop_fixture {
  // Sends a request on a new connection or on a reused one and returns what a
  // sink receives of an answer with these bytes, after which the peer closes.
  collecting_sink Receive(const answer_to_cut& item,
                          const std::string& bytes,
                          bool reused,
                          bool reset) {
    std::vector<std::string> answers = {bytes};
    if (reused)
      answers.insert(answers.begin(), kEarlierAnswer);
    canned_peer peer(*this, std::move(answers));
    peer.CloseAfterLastAnswer(reset);
    client subject(loop, peer.address());
    if (reused) {
      collecting_sink earlier;
      const auto call = subject.Send(kRequest, false, {}, earlier);
      RunUntil([&] { return earlier.done(); });
      BOOST_TEST(earlier.ended);
    }
    collecting_sink sink;
    const auto call = subject.Send(kRequest, item.is_head_request, {}, sink);
    BOOST_TEST(call->uses_reused_connection() == reused);
    RunUntil([&] { return sink.done(); });
    return sink;
  }
};

BOOST_DATA_TEST_CASE_F(cut_answer_fixture,
                       AnAnswerThatBreaksOffIsNotComplete,
                       boost::unit_test::data::make(kAnswersToCut) *
                           boost::unit_test::data::make({false, true}) *
                           boost::unit_test::data::make({false, true}),
                       item,
                       reused,
                       reset) {
  const bool is_parsable = item.head.ends_with("\r\n\r\n");
  const std::string whole = item.head + item.body;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const collecting_sink sink =
        Receive(item, whole.substr(0, cut), reused, reset);
    BOOST_TEST_CONTEXT("cut after " << cut << " bytes") {
      const bool may_be_complete = is_parsable && item.ends_with_connection &&
                                   !reset && cut >= item.head.size();
      BOOST_TEST(sink.ended == may_be_complete);
      BOOST_TEST(sink.failure.has_value() == !may_be_complete);
      if (cut < item.head.size())
        BOOST_TEST(sink.head.status == 0);
      if (may_be_complete)
        BOOST_TEST(item.head + sink.body == whole.substr(0, cut));
    }
  }
}

BOOST_DATA_TEST_CASE_F(cut_answer_fixture,
                       AnAnswerThatEndsBeforeItsConnectionIsComplete,
                       boost::unit_test::data::make(kAnswersToCut) *
                           boost::unit_test::data::make({false, true}),
                       item,
                       reused) {
  const bool is_parsable = item.head.ends_with("\r\n\r\n");
  const collecting_sink sink =
      Receive(item, item.head + item.body, reused, false);
  BOOST_TEST(sink.ended == is_parsable);
}

}  // namespace
}  // namespace jasminepath::http
