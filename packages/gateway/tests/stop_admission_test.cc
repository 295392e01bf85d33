#include "stop_admission.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

constexpr time_point kStart{Seconds(1000)};

time_point At(int64_t ms) {
  return kStart + Milliseconds(ms);
}

route Route(const std::string& name,
            request_kind kind = request_kind::streaming) {
  route made;
  made.name = name;
  made.kind = kind;
  made.objective = Milliseconds(300);
  return made;
}

stop_admission StoppingNode() {
  stop_admission subject;
  for (int i = 0; i < 40; ++i)
    subject.RecordAnswer("chat", Seconds(2));
  subject.SetSchedule({kStart, At(2600), At(7100)});
  return subject;
}

BOOST_AUTO_TEST_CASE(ANodeThatIsNotStoppingAdmitsAllCalls) {
  const stop_admission subject;
  BOOST_TEST(!subject.is_stopping());
  BOOST_TEST(subject.CanComplete(Route("chat"), At(0), At(600000), At(0)));
}

BOOST_AUTO_TEST_CASE(AStoppingNodeAdmitsCallsThatUsuallyEndInTime) {
  const stop_admission subject = StoppingNode();
  BOOST_TEST(subject.is_stopping());
  BOOST_TEST(subject.CanComplete(Route("chat"), At(2500), At(14500), At(2500)));
  BOOST_TEST(subject.CanComplete(Route("chat"), At(2500), At(14500), At(5000)));
  BOOST_TEST(
      !subject.CanComplete(Route("chat"), At(2500), At(14500), At(5300)));
}

// The usual time of answers is no promise: a stream that takes longer would be
// cut.
BOOST_AUTO_TEST_CASE(AStoppingNodeAdmitsLateCallsOnlyIfTheirTimeLimitFits) {
  const stop_admission subject = StoppingNode();
  BOOST_TEST(
      !subject.CanComplete(Route("chat"), At(2700), At(14700), At(2700)));
  BOOST_TEST(!subject.CanComplete(Route("chat"), At(3200), At(7200), At(3200)));
  BOOST_TEST(subject.CanComplete(Route("chat"), At(3100), At(7100), At(3100)));
}

BOOST_AUTO_TEST_CASE(AStoppingNodeAssumesTheTimeLimitForUnknownRoutes) {
  const stop_admission subject = StoppingNode();
  BOOST_TEST(!subject.CanComplete(Route("new"), At(100), At(12100), At(100)));
  BOOST_TEST(subject.CanComplete(Route("new"), At(100), At(4100), At(100)));
}

BOOST_AUTO_TEST_CASE(AStoppingNodeExpectsTheObjectiveOfUnknownPlainRoutes) {
  const stop_admission subject = StoppingNode();
  const route look = Route("look", request_kind::idempotent);
  const route order = Route("order", request_kind::non_idempotent);
  BOOST_TEST(subject.CanComplete(look, At(100), At(12100), At(100)));
  BOOST_TEST(!subject.CanComplete(look, At(100), At(12100), At(6300)));
  BOOST_TEST(!subject.CanComplete(order, At(100), At(12100), At(100)));
}

BOOST_AUTO_TEST_CASE(AStoppingNodeRefusesCallsWhoseRouteHasBecomeTooSlow) {
  stop_admission subject = StoppingNode();
  subject.RecordMissingAnswer("chat", Seconds(12));
  BOOST_TEST(!subject.CanComplete(Route("chat"), At(100), At(12100), At(100)));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsGivenUpEarlyDoesNotShortenTheUsualTime) {
  stop_admission subject = StoppingNode();
  subject.RecordMissingAnswer("chat", Milliseconds(100));
  subject.RecordMissingAnswer("new", Milliseconds(100));
  BOOST_TEST(
      !subject.CanComplete(Route("chat"), At(2500), At(14500), At(5300)));
  BOOST_TEST(!subject.CanComplete(Route("new"), At(100), At(12100), At(100)));
}

BOOST_AUTO_TEST_CASE(StopAdmissionForgetsRoutesThatNoLongerExist) {
  stop_admission subject = StoppingNode();
  subject.SetRoutes({});
  BOOST_TEST(
      !subject.CanComplete(Route("chat"), At(2500), At(14500), At(2500)));
}

}  // namespace
}  // namespace jasminepath::gateway
