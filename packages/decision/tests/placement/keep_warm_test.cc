#include "jasminepath/decision/placement/keep_warm.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::decision {
namespace {

BOOST_AUTO_TEST_CASE(ModelSeenOnceIsKeptAtLeastForItsLoadTime) {
  adaptive_timeout policy;
  keep_warm_price price;
  price.cold_start = Seconds(40);
  const time_point now{Seconds(1000)};
  policy.OnArrivals(model_id("knots"), 1, now);
  BOOST_TEST((policy.KeepFor(model_id("knots"), price, now) >= Seconds(40)));
}

BOOST_AUTO_TEST_CASE(FrequentModelIsKeptOverItsGaps) {
  adaptive_timeout policy;
  keep_warm_price price;
  price.cold_start = Seconds(40);
  time_point now{Seconds(1000)};
  for (int i = 0; i < 50; ++i) {
    now += Seconds(300);
    policy.OnArrivals(model_id("knots"), 1, now);
  }
  BOOST_TEST((policy.KeepFor(model_id("knots"), price, now) >= Seconds(300)));
}

}  // namespace
}  // namespace jasminepath::decision
