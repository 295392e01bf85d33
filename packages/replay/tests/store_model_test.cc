#include "store_model.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::replay {
namespace {

constexpr time_point kStart = time_point(Seconds(10));

BOOST_AUTO_TEST_CASE(loads_above_the_limit_slow_down_in_proportion) {
  event_queue events(kStart);
  store_model store(events, 4);
  int done = 0;
  for (int i = 0; i < 8; ++i)
    store.Begin(Seconds(1), [&done] { ++done; });
  while (events.RunNext(kStart + Milliseconds(1990))) {
  }
  BOOST_TEST(done == 0);
  while (events.RunNext(kStart + Milliseconds(2010))) {
  }
  BOOST_TEST(done == 8);
}

BOOST_AUTO_TEST_CASE(a_slow_store_takes_longer_until_it_recovers) {
  event_queue events(kStart);
  store_model store(events, 4);
  time_point done{};
  store.Begin(Seconds(1), [&] { done = events.now(); });
  events.At(kStart + Milliseconds(500), [&] { store.SetSlowdown(4); });
  events.At(kStart + Milliseconds(1500), [&] { store.SetSlowdown(1); });
  while (events.RunNext(kStart + Seconds(60))) {
  }
  BOOST_TEST(ToMilliseconds(done - kStart) == 1750);
}

}  // namespace
}  // namespace jasminepath::replay
