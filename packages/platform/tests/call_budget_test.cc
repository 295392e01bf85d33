#include "jasminepath/platform/call_budget.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::platform {
namespace {

constexpr call_rate kRate{.per_second = 2.0, .burst = 3.0};

BOOST_AUTO_TEST_CASE(BudgetAllowsTheBurstThenTheRate) {
  const time_point start = time_point() + Seconds(5);
  call_budget budget(kRate, start);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(budget.TryTake(start));
  BOOST_TEST(!budget.TryTake(start));
  BOOST_TEST(!budget.TryTake(start + Milliseconds(499)));
  BOOST_TEST(budget.TryTake(start + Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(BudgetReturnsTheTimeOfTheNextCall) {
  const time_point start = time_point() + Seconds(5);
  call_budget budget(kRate, start);
  while (budget.TryTake(start)) {
  }
  const time_point next = budget.NextCallAt(start);
  BOOST_TEST((next > start));
  BOOST_TEST(budget.TryTake(next));
}

BOOST_AUTO_TEST_CASE(BudgetNeverExceedsRateAndBurstOverAnyTime) {
  const time_point start = time_point();
  call_budget budget(kRate, start);
  int taken = 0;
  for (int ms = 0; ms <= 10'000; ++ms)
    taken += budget.TryTake(start + Milliseconds(ms)) ? 1 : 0;
  BOOST_TEST(taken <= 23);
  BOOST_TEST(taken >= 22);
}

}  // namespace
}  // namespace jasminepath::platform
