#include "jasminepath/decision/admission/answer_time_estimate.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::decision {
namespace {

BOOST_AUTO_TEST_CASE(AnswerTimeBoundOfOneSampleLeavesRoomForLongerAnswers) {
  const answer_time_estimate estimate(Seconds(1));
  BOOST_TEST((estimate.upper_bound() == Seconds(3)));
}

BOOST_AUTO_TEST_CASE(AnswerTimeBoundOfSteadyAnswersApproachesTheirTime) {
  answer_time_estimate estimate(Seconds(1));
  for (int i = 0; i < 40; ++i)
    estimate = estimate.With(Seconds(1));
  BOOST_TEST((estimate.upper_bound() >= Seconds(1)));
  BOOST_TEST((estimate.upper_bound() < Milliseconds(1010)));
}

BOOST_AUTO_TEST_CASE(AnswerTimeBoundCoversAnswersThatDiffer) {
  answer_time_estimate estimate(Seconds(1));
  for (int i = 0; i < 40; ++i)
    estimate = estimate.With(Seconds(1 + i % 3));
  BOOST_TEST((estimate.upper_bound() >= Seconds(3)));
  BOOST_TEST((estimate.upper_bound() < Seconds(6)));
}

BOOST_AUTO_TEST_CASE(AnswerTimeBoundRisesWithOneSlowAnswer) {
  answer_time_estimate estimate(Milliseconds(100));
  for (int i = 0; i < 40; ++i)
    estimate = estimate.With(Milliseconds(100));
  BOOST_TEST((estimate.With(Seconds(2)).upper_bound() > Seconds(2)));
}

}  // namespace
}  // namespace jasminepath::decision
