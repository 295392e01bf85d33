#include "jasminepath/gateway/placement_planner.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "placement_simulation.h"

namespace jasminepath::gateway {
namespace {

// Number of loads that the site allows in a window of 5 s.
constexpr int64_t kMaxStoreLoads =
    static_cast<int64_t>(kLoadsPerSecond * 5 * 1.1) + 3;

BOOST_AUTO_TEST_CASE(LoadsDemandedModelFromCopyWithinOneSecond) {
  placement_simulation simulation(3, 7, 1);
  // Model 6 has no copy at the start; the others are resident.
  simulation.Run(12000);
  simulation.ReportDemand(Model(0), {}, 0);
  BOOST_TEST(simulation.ReplicasOf(Model(6)) == 1);
  // One of the other models was unloaded; its engine keeps a copy.
  int absent = -1;
  for (int i = 0; i < 6; ++i) {
    if (simulation.ReplicasOf(Model(i)) == 0)
      absent = i;
  }
  BOOST_REQUIRE(absent >= 0);
  simulation.ReportDemand(Model(absent), {}, 1);
  simulation.Run(1000);
  BOOST_TEST(simulation.ReplicasOf(Model(absent)) == 1);
  BOOST_TEST(!simulation.HasExceededCapacity());
}

BOOST_AUTO_TEST_CASE(LoadsDemandedAdapter) {
  placement_simulation simulation(2, 4, 1);
  simulation.Run(500);
  simulation.ReportDemand(Model(1), adapter_id("a1"), 1);
  simulation.Run(200);
  BOOST_TEST(std::any_of(simulation.engines.begin(), simulation.engines.end(),
                         [](const auto& engine) {
                           return engine.HasAdapter(Model(1), adapter_id("a1"));
                         }));
}

BOOST_AUTO_TEST_CASE(ReplacesLeastRecentlyUsedAdapter) {
  placement_simulation simulation(1, 2, 1);
  simulation.Run(500);
  for (const char* adapter : {"a1", "a2", "a3", "a4"}) {
    simulation.ReportDemand(Model(1), adapter_id(adapter), 1);
    simulation.Run(300);
    simulation.ReportDemand(Model(1), adapter_id(adapter), 0);
  }
  BOOST_TEST(!simulation.engines[0].HasAdapter(Model(1), adapter_id("a1")));
  BOOST_TEST(simulation.engines[0].HasAdapter(Model(1), adapter_id("a4")));
  BOOST_TEST(!simulation.HasExceededCapacity());
}

// Guards against starvation and thrashing: a digest shows the demand of up to
// 300 ms ago, so that a loaded adapter still counts as waited for while other
// adapters need its slot.
BOOST_AUTO_TEST_CASE(LoadsAdaptersInTurnIfSlotsAreScarce) {
  constexpr int64_t kDigestMs = 300;
  constexpr int64_t kDigests = 10;
  placement_simulation simulation(1, 2, 1);
  simulation.Run(500);
  const std::vector<adapter_id> adapters = {adapter_id("a1"), adapter_id("a2"),
                                            adapter_id("a3"), adapter_id("a4"),
                                            adapter_id("a5"), adapter_id("a6")};
  std::set<adapter_id> held;
  for (int64_t i = 0; i < kDigests; ++i) {
    simulation.ReportAdapterDemand(Model(1), adapters);
    for (int64_t ms = 0; ms < kDigestMs; ms += 10) {
      simulation.Run(10);
      for (const adapter_id& adapter : adapters) {
        if (simulation.engines[0].HasAdapter(Model(1), adapter))
          held.insert(adapter);
      }
    }
  }
  BOOST_TEST(held.size() == adapters.size());
  // A slot changes its adapter, by two orders, at most once per digest.
  BOOST_TEST(simulation.orders <= 2 * kAdapterSlots * kDigests);
  BOOST_TEST(!simulation.HasExceededCapacity());
}

BOOST_AUTO_TEST_CASE(KeepsSecondReplicaOfBusyModel) {
  placement_simulation simulation(4, 8, 1);
  for (int i = 0; i < 100; ++i) {
    simulation.ReportDemand(Model(0), {}, 0);
    simulation.Run(100);
  }
  BOOST_TEST(simulation.ReplicasOf(Model(0)) >= 2);
}

// The weight store serves one load at a time at full speed, so the model with
// the most running requests must be loaded first.
BOOST_AUTO_TEST_CASE(MostLoadedModelGetsReplicaFirst) {
  placement_simulation simulation(4, 8, 1);
  const auto replicas = [&simulation] {
    return simulation.ReplicasOf(Model(0)) + simulation.ReplicasOf(Model(1));
  };
  for (int i = 0; i < 200 && replicas() == 2; ++i) {
    simulation.RunAtFirstEngine({{Model(0), 8}, {Model(1), 40}});
    simulation.Run(100);
  }
  BOOST_TEST(simulation.ReplicasOf(Model(0)) == 1);
  BOOST_TEST(simulation.ReplicasOf(Model(1)) == 2);
}

// The endpoint list still contains an engine for some time after it has
// crashed.
BOOST_AUTO_TEST_CASE(LoadsModelOfUnreachableEngineOnAnotherEngine) {
  placement_simulation simulation(2, 4, 1);
  simulation.Run(500);
  // Model 0 is resident only on the first engine.
  simulation.ReportUnreachable(simulation.engines[0].id());
  for (int i = 0; i < 80; ++i) {
    simulation.ReportUnreachable(simulation.engines[0].id());
    simulation.ReportDemand(Model(0), {}, 1);
    simulation.ReportUnreachable(simulation.engines[0].id());
    simulation.Run(100);
  }
  BOOST_TEST(simulation.engines[1].HasModel(Model(0)));
}

// A new holder finds an engine that executes a load of the previous holder. The
// load's memory is in use although the model is not listed yet.
BOOST_AUTO_TEST_CASE(ReservesMemoryForLoadOfPreviousHolder) {
  placement_simulation simulation(1, 8, 1);
  simulation.Run(500);
  simulation.ReportDemand(Model(5), {}, 3);
  simulation.Run(1000);
  BOOST_TEST(simulation.engines[0].busy());
  simulation.ChangeHolder();
  for (int i = 0; i < 100; ++i) {
    simulation.ReportDemand(Model(2 + i % 6), {}, 3);
    simulation.Run(100);
  }
  BOOST_TEST(!simulation.HasExceededCapacity());
}

// The endpoint list may show an engine's state from before the last orders.
BOOST_AUTO_TEST_CASE(CountsLoadsMissingFromOutdatedEntry) {
  placement_simulation simulation(1, 6, 1);
  simulation.Run(500);
  simulation.engines[0].publishes = false;
  for (int i = 0; i < 60; ++i) {
    simulation.ReportDemand(Model(i % 6), {}, 3);
    simulation.Run(200);
  }
  BOOST_TEST(!simulation.HasExceededCapacity());
}

// For any demand, delayed orders, changes of the holder and outdated entries,
// no engine is ordered to hold more than its capacity, and no more loads from
// the weight store begin than it allows.
BOOST_AUTO_TEST_CASE(NeverExceedsMemoryOrStoreLoadRate) {
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    placement_simulation simulation(4, 14, seed);
    simulation.delayed_order_percent = static_cast<int>(seed % 4) * 12;
    for (int i = 0; i < 200; ++i) {
      simulation.ReportDemand(
          Model(static_cast<int>(simulation.random() % 14)),
          simulation.random() % 3 == 0
              ? adapter_id("a" + std::to_string(simulation.random() % 9))
              : adapter_id(),
          static_cast<int64_t>(simulation.random() % 3));
      if (simulation.random() % 40 == 0)
        simulation.ChangeHolder();
      if (simulation.random() % 10 == 0) {
        auto& engine =
            simulation.engines[simulation.random() % simulation.engines.size()];
        engine.publishes = !engine.publishes;
      }
      simulation.Run(static_cast<int64_t>(simulation.random() % 300));
    }
    BOOST_REQUIRE_MESSAGE(!simulation.HasExceededCapacity(), "seed " << seed);
    BOOST_REQUIRE_MESSAGE(
        simulation.MaxStoreLoads() <= kMaxStoreLoads,
        "seed " << seed << ": " << simulation.MaxStoreLoads());
  }
}

}  // namespace
}  // namespace jasminepath::gateway
