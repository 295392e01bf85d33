#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

#include "jasminepath/http/client.h"
#include "loop_fixture.h"

namespace jasminepath::http {
namespace {

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

// An answer that breaks the protocol in its head.
struct odd_answer {
  std::string name;
  std::string head;
};

std::ostream& operator<<(std::ostream& out, const odd_answer& item) {
  return out << item.name;
}

std::string HeadWithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n";
}

std::string HeadWithField(const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n";
}

const std::vector<odd_answer> kOddStatuses = {
    {"status_000", HeadWithStatus("000")},
    {"status_001", HeadWithStatus("001")},
    {"status_099", HeadWithStatus("099")},
    {"status_99", HeadWithStatus("99")},
    {"status_1000", HeadWithStatus("1000")},
    {"status_600", HeadWithStatus("600")},
    {"status_999", HeadWithStatus("999")},
    {"status_negative", HeadWithStatus("-20")},
    {"status_signed", HeadWithStatus("+20")},
    {"status_hexadecimal", HeadWithStatus("0x2")},
    {"status_blank", HeadWithStatus(" 20")},
    {"status_empty", HeadWithStatus("")},
};

const std::vector<odd_answer> kOddFields = {
    {"name_with_blank", HeadWithField("Bad Name: x")},
    {"name_with_tab", HeadWithField("Bad\tName: x")},
    {"name_with_control", HeadWithField("Bad\x01Name: x")},
    {"name_with_delete", HeadWithField("Bad\x7fName: x")},
    {"name_with_nul", HeadWithField(std::string("Bad\0Name: x", 11))},
    {"name_with_high_byte", HeadWithField("Bad\xe4Name: x")},
    {"blank_before_colon", HeadWithField("Name : x")},
    {"tab_before_colon", HeadWithField("Name\t: x")},
    {"blank_before_length", HeadWithField("Content-Length : 1")},
    {"blank_before_coding", HeadWithField("Transfer-Encoding : chunked")},
    {"no_name", HeadWithField(": x")},
    {"no_colon", HeadWithField("Name")},
    {"blank_before_name", "HTTP/1.1 200 OK\r\n X: y\r\n\r\n"},
    {"control_in_value", HeadWithField("Name: a\x01"
                                       "b")},
    {"nul_in_value", HeadWithField(std::string("Name: a\0b", 9))},
};

struct odd_answer_fixture : loop_fixture {
  // What a sink receives of an answer with this head, with a sound answer
  // behind it, as the first or the second answer on a connection.
  collecting_sink Receive(const std::string& head, bool reused) {
    const std::string sound = HeadWithStatus("200") + "ok";
    std::vector<std::string> answers = {head + "xy" + sound};
    if (reused)
      answers.insert(answers.begin(), sound);
    canned_peer peer(*this, std::move(answers));
    client subject(loop, peer.address());
    if (reused) {
      collecting_sink earlier;
      const auto call = subject.Send(kRequest, false, {}, earlier);
      RunUntil([&] { return earlier.done(); });
    }
    collecting_sink sink;
    const auto call = subject.Send(kRequest, false, {}, sink);
    RunUntil([&] { return sink.done(); });
    return sink;
  }
};

// Guards against a status that is none, and that is skipped like an interim
// answer or passed on.
BOOST_DATA_TEST_CASE_F(odd_answer_fixture,
                       AnAnswerWithoutAValidStatusIsMalformed,
                       boost::unit_test::data::make(kOddStatuses) *
                           boost::unit_test::data::make({false, true}),
                       item,
                       reused) {
  const collecting_sink sink = Receive(item.head, reused);
  BOOST_TEST((sink.failure == call_failure::malformed));
  BOOST_TEST(sink.head.status == 0);
  BOOST_TEST(sink.body.empty());
}

// Guards against header lines that are passed on or that change how the body
// is framed.
BOOST_DATA_TEST_CASE_F(odd_answer_fixture,
                       AnAnswerWithAnInvalidFieldIsMalformed,
                       boost::unit_test::data::make(kOddFields) *
                           boost::unit_test::data::make({false, true}),
                       item,
                       reused) {
  const collecting_sink sink = Receive(item.head, reused);
  BOOST_TEST((sink.failure == call_failure::malformed));
  BOOST_TEST(sink.head.status == 0);
  BOOST_TEST(sink.body.empty());
}

// Interim answers with an invalid head are no better.
BOOST_FIXTURE_TEST_CASE(AnInvalidInterimAnswerIsMalformed, odd_answer_fixture) {
  const collecting_sink sink =
      Receive("HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n", false);
  BOOST_TEST((sink.failure == call_failure::malformed));
  BOOST_TEST(sink.head.status == 0);
}

}  // namespace
}  // namespace jasminepath::http
