#include "jasminepath/decision/placement/keep_warm.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::decision {
namespace {

// Returns a price with a break-even time of ten load times.
keep_warm_price TenLoadTimesBreakEvenPrice() {
  keep_warm_price price;
  price.cold_start = Seconds(60);
  price.idle_accelerator_hour = 360;
  return price;
}

BOOST_AUTO_TEST_CASE(AdaptiveTimeoutIgnoresGapsWithinABurst) {
  adaptive_timeout policy;
  time_point now{Seconds(1000)};
  for (int i = 0; i < 30; ++i) {
    policy.OnArrivals(model_id("knots"), 1, now);
    now += Milliseconds(100);
  }
  const duration retention = policy.RetentionTime(
      model_id("knots"), TenLoadTimesBreakEvenPrice(), now);
  BOOST_TEST((retention >= Seconds(300)));
}

BOOST_AUTO_TEST_CASE(ModelWithOneArrivalIsRetainedForAtLeastItsLoadTime) {
  adaptive_timeout policy;
  keep_warm_price price;
  price.cold_start = Seconds(40);
  const time_point now{Seconds(1000)};
  policy.OnArrivals(model_id("knots"), 1, now);
  BOOST_TEST(
      (policy.RetentionTime(model_id("knots"), price, now) >= Seconds(40)));
}

BOOST_AUTO_TEST_CASE(FrequentModelIsRetainedBetweenArrivals) {
  adaptive_timeout policy;
  keep_warm_price price;
  price.cold_start = Seconds(40);
  time_point now{Seconds(1000)};
  for (int i = 0; i < 50; ++i) {
    now += Seconds(300);
    policy.OnArrivals(model_id("knots"), 1, now);
  }
  BOOST_TEST(
      (policy.RetentionTime(model_id("knots"), price, now) >= Seconds(300)));
}

}  // namespace
}  // namespace jasminepath::decision
