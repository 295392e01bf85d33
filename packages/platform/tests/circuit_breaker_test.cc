#include "jasminepath/platform/circuit_breaker.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::platform {
namespace {

constexpr circuit_breaker_limits kLimits;

circuit_breaker MakeOpenBreaker(time_point now) {
  circuit_breaker breaker(kLimits, random_engine(7));
  for (int64_t i = 0; i < kLimits.failures_to_open; ++i)
    breaker.OnFailure(now);
  return breaker;
}

BOOST_AUTO_TEST_CASE(BreakerStaysClosedBelowTheFailureLimit) {
  circuit_breaker breaker(kLimits, random_engine(7));
  breaker.OnFailure(time_point());
  breaker.OnFailure(time_point());
  breaker.OnSuccess();
  breaker.OnFailure(time_point());
  BOOST_TEST(!breaker.is_open());
  BOOST_TEST(breaker.TryAcquire(time_point()));
}

BOOST_AUTO_TEST_CASE(OpenBreakerAllowsOneProbeAfterTheWait) {
  const time_point start = time_point() + Seconds(100);
  circuit_breaker breaker = MakeOpenBreaker(start);
  BOOST_TEST(breaker.is_open());
  BOOST_TEST(!breaker.TryAcquire(start));
  BOOST_TEST((breaker.next_probe() - start >= kLimits.first_wait / 2 &&
              breaker.next_probe() - start <= kLimits.first_wait));
  BOOST_TEST(breaker.TryAcquire(breaker.next_probe()));
  BOOST_TEST(!breaker.TryAcquire(breaker.next_probe()));
  breaker.OnSuccess();
  BOOST_TEST(breaker.TryAcquire(start));
}

BOOST_AUTO_TEST_CASE(FailedProbesWaitLongerUpToTheLimit) {
  time_point now = time_point() + Seconds(100);
  circuit_breaker breaker = MakeOpenBreaker(now);
  for (int i = 0; i < 10; ++i) {
    now = breaker.next_probe();
    BOOST_TEST(breaker.TryAcquire(now));
    breaker.OnFailure(now);
    BOOST_TEST((breaker.next_probe() - now <= kLimits.longest_wait));
  }
  BOOST_TEST((breaker.next_probe() - now >= kLimits.longest_wait / 2));
}

}  // namespace
}  // namespace jasminepath::platform
