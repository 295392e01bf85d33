#include "jasminepath/decision/fleet/fleet_coordinator.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fleet_world.h"

namespace jasminepath::decision {
namespace {

constexpr int kVmCount = 8;
constexpr int kTeamCount = 2;

// Eight instances, 40 s after their start.
class settled_world : public fleet_world {
 public:
  explicit settled_world(uint64_t seed)
      : fleet_world(seed, kVmCount, kTeamCount) {
    for (int vm = 0; vm < kVmCount; ++vm)
      Start(vm);
    Run(Seconds(40));
  }
};

BOOST_AUTO_TEST_CASE(EightInstancesDiscoverEachOtherAndSplitSharesEvenly) {
  settled_world world(1);
  BOOST_TEST(world.violations().empty());
  BOOST_TEST(world.AllReady());
  BOOST_TEST(world.AllFactsInForce());
  BOOST_TEST(world.AreSharesEven(0.7));
  BOOST_TEST(world.Coordinator(3)->Instances().size() == 8u);
}

BOOST_AUTO_TEST_CASE(SettledFleetWritesNothingAndLimitsReads) {
  settled_world world(2);
  const int64_t writes = world.writes();
  const int64_t reads = world.reads();
  world.Run(Seconds(60));
  BOOST_TEST(world.writes() == writes);
  BOOST_TEST(world.reads() - reads <= 60 * 6);
}

BOOST_AUTO_TEST_CASE(CommittedFactIsInForceEverywhereWithinFourSeconds) {
  settled_world world(3);
  world.CommitFact(7, false, false);
  world.Run(Seconds(4));
  BOOST_TEST(world.AllFactsInForce());
  world.CommitFact(7, true, false);
  world.Run(Seconds(4));
  BOOST_TEST(world.AllFactsInForce());
}

BOOST_AUTO_TEST_CASE(FleetStaysReadyDuringPlatformOutage) {
  settled_world world(4);
  world.faults().platform_down = true;
  world.Run(Seconds(120));
  BOOST_TEST(world.AllReady());
  BOOST_TEST(world.AreSharesEven(0.7));
  BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_CASE(NewInstanceReadsFactsFromPeersDuringPlatformOutage) {
  settled_world world(5);
  world.faults().platform_down = true;
  world.Kill(5);
  world.Start(5);
  world.Run(Seconds(6));
  BOOST_TEST(world.AllFactsInForce());
  BOOST_TEST(world.AllReady());
}

BOOST_AUTO_TEST_CASE(IsolatedInstanceIsUnreadyUntilReconnected) {
  settled_world world(6);
  world.Isolate(2, true, true);
  world.Run(Seconds(7));
  BOOST_TEST(!world.Coordinator(2)->ready());
  BOOST_TEST(world.Coordinator(1)->ready());
  world.Reconnect(2);
  world.Run(Seconds(8));
  BOOST_TEST(world.AllReady());
}

BOOST_AUTO_TEST_CASE(InstanceCutFromPeersOnlyStaysReady) {
  settled_world world(7);
  world.Isolate(2, true, false);
  world.Run(Seconds(20));
  BOOST_TEST(world.Coordinator(2)->ready());
}

BOOST_AUTO_TEST_CASE(SuccessorTakesOverPredecessorShare) {
  settled_world world(8);
  world.Kill(4);
  world.Run(Seconds(3));
  world.Start(4);
  world.Run(Seconds(15));
  BOOST_TEST(world.AreSharesEven(0.7));
  BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_CASE(ShareOfRemovedVmIsRedistributed) {
  settled_world world(9);
  world.RemoveVm(4);
  world.RemoveVm(5);
  world.Run(Seconds(60));
  BOOST_TEST(world.AreSharesEven(0.9));
  BOOST_TEST(world.Coordinator(0)->Instances().size() == 6u);
}

BOOST_AUTO_TEST_CASE(DrainedInstanceLeavesAndItsShareIsRedistributed) {
  settled_world world(10);
  world.Drain(3);
  world.Run(Seconds(20));
  BOOST_TEST(world.running() == 7);
  BOOST_TEST(world.AreSharesEven(0.9));
  BOOST_TEST(world.Coordinator(0)->Instances().size() == 7u);
}

}  // namespace
}  // namespace jasminepath::decision
