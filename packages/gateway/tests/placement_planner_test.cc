#include "jasminepath/gateway/placement_planner.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "engine_world.h"

namespace jasminepath::gateway {
namespace {

// What the site allows in a window of 5 s.
constexpr int64_t kMostStoreLoads =
    static_cast<int64_t>(kLoadsPerSecond * 5 * 1.1) + 3;

BOOST_AUTO_TEST_CASE(LoadsAWantedModelFromACopyWithinASecond) {
  engine_world world(3, 7, 1);
  // Model 6 has no copy at the start; the others are resident.
  world.Run(12000);
  world.Want(Model(0), {}, 0);
  BOOST_TEST(world.ReplicasOf(Model(6)) == 1);
  // One of the others has made way and has kept its copy.
  int absent = -1;
  for (int i = 0; i < 6; ++i) {
    if (world.ReplicasOf(Model(i)) == 0)
      absent = i;
  }
  BOOST_REQUIRE(absent >= 0);
  world.Want(Model(absent), {}, 1);
  world.Run(1000);
  BOOST_TEST(world.ReplicasOf(Model(absent)) == 1);
  BOOST_TEST(!world.exceeded());
}

BOOST_AUTO_TEST_CASE(LoadsAWantedAdapter) {
  engine_world world(2, 4, 1);
  world.Run(500);
  world.Want(Model(1), adapter_id("a1"), 1);
  world.Run(200);
  BOOST_TEST(std::any_of(world.engines.begin(), world.engines.end(),
                         [](const auto& engine) {
                           return engine.HasAdapter(Model(1), adapter_id("a1"));
                         }));
}

BOOST_AUTO_TEST_CASE(ReplacesTheAdapterUsedLongestAgo) {
  engine_world world(1, 2, 1);
  world.Run(500);
  for (const char* adapter : {"a1", "a2", "a3", "a4"}) {
    world.Want(Model(1), adapter_id(adapter), 1);
    world.Run(300);
    world.Want(Model(1), adapter_id(adapter), 0);
  }
  BOOST_TEST(!world.engines[0].HasAdapter(Model(1), adapter_id("a1")));
  BOOST_TEST(world.engines[0].HasAdapter(Model(1), adapter_id("a4")));
  BOOST_TEST(!world.exceeded());
}

// A digest tells what waited up to 300 ms ago, so that each loaded adapter
// still counts as waited for while the next ones want its place.
BOOST_AUTO_TEST_CASE(AdaptersThatWaitForTheSamePlacesTakeTurns) {
  constexpr int64_t kDigestMs = 300;
  constexpr int64_t kDigests = 10;
  engine_world world(1, 2, 1);
  world.Run(500);
  const std::vector<adapter_id> adapters = {adapter_id("a1"), adapter_id("a2"),
                                            adapter_id("a3"), adapter_id("a4"),
                                            adapter_id("a5"), adapter_id("a6")};
  std::set<adapter_id> held;
  for (int64_t i = 0; i < kDigests; ++i) {
    world.WantAll(Model(1), adapters);
    for (int64_t ms = 0; ms < kDigestMs; ms += 10) {
      world.Run(10);
      for (const adapter_id& adapter : adapters) {
        if (world.engines[0].HasAdapter(Model(1), adapter))
          held.insert(adapter);
      }
    }
  }
  BOOST_TEST(held.size() == adapters.size());
  // A place changes hands, by two orders, once a digest at the most.
  BOOST_TEST(world.orders <= 2 * kAdapterSlots * kDigests);
  BOOST_TEST(!world.exceeded());
}

BOOST_AUTO_TEST_CASE(KeepsASecondReplicaOfABusyModel) {
  engine_world world(4, 8, 1);
  for (int i = 0; i < 100; ++i) {
    world.Want(Model(0), {}, 0);
    world.Run(100);
  }
  BOOST_TEST(world.ReplicasOf(Model(0)) >= 2);
}

// The weight store serves one load at a time at full speed.
BOOST_AUTO_TEST_CASE(TheMostCrowdedModelGetsAReplicaFirst) {
  engine_world world(4, 8, 1);
  const auto replicas = [&world] {
    return world.ReplicasOf(Model(0)) + world.ReplicasOf(Model(1));
  };
  for (int i = 0; i < 200 && replicas() == 2; ++i) {
    world.RunAtFirstEngine({{Model(0), 8}, {Model(1), 40}});
    world.Run(100);
  }
  BOOST_TEST(world.ReplicasOf(Model(0)) == 1);
  BOOST_TEST(world.ReplicasOf(Model(1)) == 2);
}

// The list shows an engine for some time after it has died.
BOOST_AUTO_TEST_CASE(LoadsElsewhereWhatAnUnreachableEngineHolds) {
  engine_world world(2, 4, 1);
  world.Run(500);
  // Model 0 is resident at the first engine only.
  world.ReportUnreachable(world.engines[0].id());
  for (int i = 0; i < 80; ++i) {
    world.ReportUnreachable(world.engines[0].id());
    world.Want(Model(0), {}, 1);
    world.ReportUnreachable(world.engines[0].id());
    world.Run(100);
  }
  BOOST_TEST(world.engines[1].Has(Model(0)));
}

// A holder that is new finds an engine in the middle of a load that the holder
// before has ordered; its memory is taken although the model is not listed.
BOOST_AUTO_TEST_CASE(LeavesRoomForTheLoadThatAnotherHolderBegan) {
  engine_world world(1, 8, 1);
  world.Run(500);
  world.Want(Model(5), {}, 3);
  world.Run(1000);
  BOOST_TEST(world.engines[0].busy());
  world.ChangeHolder();
  for (int i = 0; i < 100; ++i) {
    world.Want(Model(2 + i % 6), {}, 3);
    world.Run(100);
  }
  BOOST_TEST(!world.exceeded());
}

// The list of endpoints may show an engine as it was before the last orders.
BOOST_AUTO_TEST_CASE(DoesNotForgetALoadBecauseOfAnOldEntry) {
  engine_world world(1, 6, 1);
  world.Run(500);
  world.engines[0].publishes = false;
  for (int i = 0; i < 60; ++i) {
    world.Want(Model(i % 6), {}, 3);
    world.Run(200);
  }
  BOOST_TEST(!world.exceeded());
}

// Any demand, late orders, changes of the holder and stale entries: no engine
// is ever ordered to hold more than it has room for, and no more loads from the
// weight store begin than it allows.
BOOST_AUTO_TEST_CASE(KeepsToMemoryAndRateInAnyHistory) {
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    engine_world world(4, 14, seed);
    world.late_percent = static_cast<int>(seed % 4) * 12;
    for (int i = 0; i < 200; ++i) {
      world.Want(Model(static_cast<int>(world.random() % 14)),
                 world.random() % 3 == 0
                     ? adapter_id("a" + std::to_string(world.random() % 9))
                     : adapter_id(),
                 static_cast<int64_t>(world.random() % 3));
      if (world.random() % 40 == 0)
        world.ChangeHolder();
      if (world.random() % 10 == 0) {
        auto& engine = world.engines[world.random() % world.engines.size()];
        engine.publishes = !engine.publishes;
      }
      world.Run(static_cast<int64_t>(world.random() % 300));
    }
    BOOST_REQUIRE_MESSAGE(!world.exceeded(), "seed " << seed);
    BOOST_REQUIRE_MESSAGE(world.MostStoreLoads() <= kMostStoreLoads,
                          "seed " << seed << ": " << world.MostStoreLoads());
  }
}

}  // namespace
}  // namespace jasminepath::gateway
