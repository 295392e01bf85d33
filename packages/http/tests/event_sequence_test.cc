#include "jasminepath/http/event_sequence.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <vector>

namespace jasminepath::http {
namespace {

// Whether an answer that begins with this event continues a stream with events
// of these indexes.
bool Continues(const std::vector<std::optional<int64_t>>& stream,
               std::optional<int64_t> next) {
  event_sequence subject;
  subject.BeginAnswer();
  for (const std::optional<int64_t>& index : stream)
    BOOST_TEST(subject.Add({"", index, false}));
  subject.BeginAnswer();
  return subject.Add({"", next, false});
}

BOOST_AUTO_TEST_CASE(AStreamContinuesWithItsNextEvent) {
  BOOST_TEST(Continues({1, 2}, 3));
  for (const std::optional<int64_t> next :
       {std::optional<int64_t>(), std::optional<int64_t>(-1),
        std::optional<int64_t>(1), std::optional<int64_t>(2),
        std::optional<int64_t>(4)})
    BOOST_TEST(!Continues({1, 2}, next));
}

BOOST_AUTO_TEST_CASE(AStreamThatSkipsIndexesMaySkipMore) {
  BOOST_TEST(Continues({1, 5}, 9));
  BOOST_TEST(Continues({1, 2, 5, 6}, 9));
  BOOST_TEST(!Continues({1, 5}, 5));
  BOOST_TEST(!Continues({1, 5}, 3));
}

BOOST_AUTO_TEST_CASE(OneEventDoesNotTellHowAStreamCounts) {
  BOOST_TEST(Continues({4}, 6));
  BOOST_TEST(!Continues({4}, 4));
  BOOST_TEST(!Continues({4}, std::nullopt));
}

BOOST_AUTO_TEST_CASE(AnyEventBeginsAStream) {
  BOOST_TEST(Continues({}, 7));
  BOOST_TEST(Continues({}, std::nullopt));
}

BOOST_AUTO_TEST_CASE(ALaterEventOfAnAnswerIsNotChecked) {
  event_sequence subject;
  subject.BeginAnswer();
  for (const int64_t index : {3, 2, 9})
    BOOST_TEST(subject.Add({"", index, false}));
}

BOOST_AUTO_TEST_CASE(AStreamCanContinueAfterAnEventWithIndex) {
  event_sequence subject;
  BOOST_TEST(!subject.CanContinue());
  subject.Add({"", 1, false});
  BOOST_TEST(subject.CanContinue());
  subject.Add({"", std::nullopt, false});
  BOOST_TEST(!subject.CanContinue());
}

BOOST_AUTO_TEST_CASE(IndexesMayHaveAnyValue) {
  const int64_t largest = std::numeric_limits<int64_t>::max();
  BOOST_TEST(!Continues({largest - 1, largest}, largest));
  BOOST_TEST(!Continues({largest, 1}, 1));
  BOOST_TEST(Continues({1, std::numeric_limits<int64_t>::min()}, 1));
}

}  // namespace
}  // namespace jasminepath::http
