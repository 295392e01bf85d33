#include "jasminepath/http/event_stream_splitter.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::http {
namespace {

BOOST_AUTO_TEST_CASE(EventsAreCompleteForEverySplitOfTheInput) {
  const std::string stream =
      "id: 0\ndata: {\"a\":1}\n\nid: 1\r\ndata: x\r\n\r\ndata: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_stream_splitter splitter;
    BOOST_TEST(splitter.Append(stream.substr(0, cut)));
    std::string seen;
    int events = 0;
    const auto drain = [&] {
      while (auto event = splitter.Next()) {
        seen += event->raw;
        ++events;
      }
    };
    drain();
    BOOST_TEST(splitter.Append(stream.substr(cut)));
    drain();
    BOOST_TEST(seen == stream);
    BOOST_TEST(events == 3);
  }
}

// Searching all input for each event would take minutes.
BOOST_AUTO_TEST_CASE(BlankLinesWithoutEndDoNotHoldTheEventLoop) {
  constexpr int kEvents = 2'000'000;
  event_stream_splitter splitter;
  BOOST_TEST(splitter.Append(std::string(2 * kEvents, '\n')));
  int events = 0;
  while (splitter.Next())
    ++events;
  BOOST_TEST(events == kEvents);
  BOOST_TEST(!splitter.HasPartial());
}

BOOST_AUTO_TEST_CASE(ParsesIndexAndEndOfStream) {
  event_stream_splitter splitter;
  BOOST_TEST(splitter.Append("id: 41\ndata: hi\n\ndata: [DONE]\n\n"));
  const auto first = splitter.Next();
  BOOST_TEST(*first->index == 41);
  BOOST_TEST(!first->done);
  const auto last = splitter.Next();
  BOOST_TEST(!last->index.has_value());
  BOOST_TEST(last->done);
}

BOOST_AUTO_TEST_CASE(ResetDropsAnUnfinishedEvent) {
  event_stream_splitter splitter;
  BOOST_TEST(splitter.Append("data: half"));
  splitter.Reset();
  BOOST_TEST(splitter.Append("data: whole\n\n"));
  BOOST_TEST(splitter.Next()->raw == "data: whole\n\n");
}

BOOST_AUTO_TEST_CASE(RejectsAnOversizedEvent) {
  event_stream_splitter splitter;
  BOOST_TEST(!splitter.Append(std::string((1 << 20) + 1, 'x')));
}

}  // namespace
}  // namespace jasminepath::http
