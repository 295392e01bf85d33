#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "placement/placement_world.h"

namespace jasminepath::decision {
namespace {

BOOST_AUTO_TEST_CASE(BurstAtEightNodesSendsOneLoadOrder) {
  world_options options;
  options.nodes = 8;
  options.vms = 9;
  placement_world world(options);
  world.RunFor(Seconds(5));
  for (int i = 0; i < options.nodes; ++i)
    world.AddDemand(i, 0, 25);
  world.RunFor(Seconds(10));
  BOOST_TEST(world.violation() == "");
  BOOST_TEST(world.UnservedCalls() == "");
  BOOST_TEST(world.load_orders() == 1);
}

BOOST_AUTO_TEST_CASE(IdleModelIsUnloadedAfterTimeout) {
  world_options options;
  placement_world world(options);
  world.RunFor(Seconds(5));
  world.AddDemand(0, 1, 1);
  world.RunFor(Seconds(10));
  BOOST_TEST(world.ResidentCount(1) == 1);
  world.RunFor(Seconds(40));
  BOOST_TEST(world.ResidentCount(1) == 0);
}

// Guards against a replica that is never unloaded: a delayed order of a dead
// owner takes effect after the decider has received a report that the VM
// holds no replica.
BOOST_AUTO_TEST_CASE(ReplicaLoadedByLateOrderIsUnloaded) {
  world_options options;
  placement_world world(options);
  world.RunFor(Seconds(5));
  world.AddDemand(0, 0, 1);
  world.RunFor(Seconds(60));
  BOOST_TEST_REQUIRE(world.ResidentCount(0) == 0);
  const placement_status status = world.Status(0);
  const auto model =
      std::find_if(status.models.begin(), status.models.end(),
                   [](const auto& line) { return line.model.value() == "m0"; });
  BOOST_TEST_REQUIRE((model != status.models.end()));
  const auto vm =
      std::find_if(status.vms.begin(), status.vms.end(), [&](const auto& line) {
        return !line.owner.empty() && line.owner != model->decider;
      });
  BOOST_TEST_REQUIRE((vm != status.vms.end()));
  for (int index = 0; index < options.nodes; ++index) {
    if (vm->owner.value().starts_with("n" + std::to_string(index) + "."))
      world.KillNode(index);
  }
  world.AddStrayReplica(std::stoi(vm->vm.value().substr(2)), 0);
  world.RunFor(Seconds(90));
  BOOST_TEST(world.violation() == "");
  BOOST_TEST(world.ResidentCount(0) == 0);
}

BOOST_AUTO_TEST_CASE(ModelsExceedingMemoryAreServedByEviction) {
  world_options options;
  options.models = 6;
  options.vms = 2;
  placement_world world(options);
  world.RunFor(Seconds(5));
  for (int model = 0; model < options.models; ++model)
    world.AddDemand(model % options.nodes, model, 2);
  world.RunFor(Seconds(60));
  BOOST_TEST(world.violation() == "");
  BOOST_TEST(world.UnservedCalls() == "");
}

BOOST_AUTO_TEST_CASE(SteadyStateMakesNoTableCalls) {
  world_options options;
  placement_world world(options);
  world.RunFor(Seconds(5));
  world.AddDemand(0, 0, 1);
  world.RunFor(Seconds(10));
  const int64_t reads = world.table_reads();
  const int64_t writes = world.table_writes();
  world.AddDemand(1, 0, 5);
  world.RunFor(Seconds(60));
  BOOST_TEST(world.table_reads() == reads);
  BOOST_TEST(world.table_writes() == writes);
}

}  // namespace
}  // namespace jasminepath::decision
