#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "http_exchange.h"
#include "jasminepath/standin/endless_server.h"

namespace jasminepath::platform {
namespace {

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const standin::endless_answer kEndlessAnswers[] = {
    {"garbage", "", "garbage"},
    {"spaces", "", " "},
    {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
    {"chunk_size", kChunkedHead, "0"},
    {"chunk_extension", std::string(kChunkedHead) + "1;", "a=b;"},
    {"trailers", std::string(kChunkedHead) + "0\r\n", "X: y\r\n"},
};

// Guards against answers of the store without end that are kept or read on.
BOOST_DATA_TEST_CASE(AnAnswerWithoutEndIsLost,
                     boost::unit_test::data::make(kEndlessAnswers),
                     item) {
  standin::endless_server server(item.beginning, item.piece);
  const http_call call{
      .method = "GET", .target = "/rows", .body = "", .only_if_absent = false};
  const auto answer =
      Exchange("127.0.0.1:" + std::to_string(server.port()), {}, call);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::outcome_lost));
  BOOST_TEST(server.WaitForEnd() < standin::endless_server::kMaxSentBytes);
}

}  // namespace
}  // namespace jasminepath::platform
