#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "placement/placement_world.h"

namespace jasminepath::decision {
namespace {

// Histories that one run of the test program goes through in all.
constexpr int kDefaultRuns = 600;
constexpr int kPropertyRuns = 100;
constexpr duration kFaultTime = Seconds(25);
constexpr duration kHealTime = Seconds(150);
// Enough for every idle replica to be unloaded.
constexpr duration kIdleTime = Seconds(90);

// What may happen to the world between two moments.
enum class fault {
  demand,
  kill_node,
  pause_node,
  drain_node,
  kill_engine,
  reclaim_vm,
  leave_vm,
  table_outage,
  slow_loads,
  count,
};

// One step of a history.
struct step {
  fault kind = fault::demand;
  int target = 0;
  int model = 0;
  int length_ms = 0;
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const step& entry) {
  return out << "{kind " << static_cast<int>(entry.kind) << " target "
             << entry.target << " model " << entry.model << " length "
             << entry.length_ms << " pause " << entry.pause_ms << "}";
}

rc::Gen<step> GenStep() {
  // Demand is as likely as all faults together.
  const int faults = static_cast<int>(fault::count);
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 2 * faults - 1),
                     rc::gen::inRange(0, 100), rc::gen::inRange(0, 100),
                     rc::gen::inRange(100, 15000), rc::gen::inRange(0, 3000)),
      [faults](const std::tuple<int, int, int, int, int>& raw) {
        step made;
        const int kind = std::get<0>(raw);
        made.kind = kind < faults ? static_cast<fault>(kind) : fault::demand;
        made.target = std::get<1>(raw);
        made.model = std::get<2>(raw);
        made.length_ms = std::get<3>(raw);
        made.pause_ms = std::get<4>(raw);
        return made;
      });
}

int RunsPerProperty() {
  const char* text = std::getenv("JASMINEPATH_FUZZ_RUNS");
  const int runs = text == nullptr ? kDefaultRuns : std::atoi(text);
  return std::max(1, runs / kPropertyRuns);
}

void Apply(const step& entry,
           const world_options& options,
           bool& vm_taken,
           placement_world& world) {
  const int node = entry.target % options.nodes;
  const int vm = entry.target % options.vms;
  const int model = entry.model % options.models;
  const duration length = Milliseconds(entry.length_ms);
  switch (entry.kind) {
    case fault::demand:
      world.AddDemand(node, model, 1 + entry.length_ms % 6);
      break;
    case fault::kill_node:
      world.KillNode(node);
      break;
    case fault::pause_node:
      world.PauseNode(node, length);
      break;
    case fault::drain_node:
      world.DrainNode(node);
      break;
    case fault::kill_engine:
      world.KillEngine(vm);
      break;
    case fault::reclaim_vm:
    case fault::leave_vm:
      // One VM at most, so that the models still have room.
      if (std::exchange(vm_taken, true))
        break;
      if (entry.kind == fault::reclaim_vm)
        world.ReclaimVm(vm);
      else
        world.LeaveVm(vm);
      break;
    case fault::table_outage:
      world.TableOutage(length);
      break;
    case fault::slow_loads:
      world.SlowLoads(vm, length);
      break;
    case fault::count:
      break;
  }
}

// Plays the history; the text of what was broken, or empty.
std::string Play(const std::vector<step>& history,
                 const world_options& options) {
  placement_world world(options);
  world.RunFor(Seconds(2));
  bool vm_taken = false;
  const time_point end = world.now() + kFaultTime;
  for (const step& entry : history) {
    if (world.now() >= end)
      break;
    world.RunFor(Milliseconds(entry.pause_ms));
    Apply(entry, options, vm_taken, world);
  }
  world.RunFor(Seconds(10));
  world.Heal();
  for (duration waited = duration::zero(); waited < kHealTime;
       waited += Seconds(5)) {
    world.RunFor(Seconds(5));
    if (!world.violation().empty())
      return world.violation();
    if (world.AllServed())
      break;
  }
  if (!world.AllServed())
    return "forgotten: " + world.Unserved();
  world.RunFor(kIdleTime);
  for (int model = 0; model < options.models; ++model) {
    if (world.ResidentCount(model) > 0)
      return "idle replica of m" + std::to_string(model) + " was kept";
  }
  return world.violation();
}

world_options WithoutFencing() {
  world_options options;
  options.nodes = 4;
  options.vms = 4;
  options.max_replicas = 2;
  options.ignore_fencing_every = 1;
  options.message_lost = 50;
  options.message_doubled = 100;
  options.message_late = 150;
  options.order_lost = 150;
  options.table_answer_lost = 100;
  options.load_fails = 100;
  return options;
}

void CheckHistories(const char* text, const world_options& base) {
  const int runs = RunsPerProperty();
  BOOST_TEST(rc::check(text, [&base, runs] {
    const auto history = *rc::gen::container<std::vector<step>>(GenStep());
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (int run = 0; run < runs; ++run) {
      world_options options = base;
      options.seed = seed + static_cast<uint64_t>(run);
      const std::string broken = Play(history, options);
      if (!broken.empty())
        RC_FAIL(broken + " with world seed " + std::to_string(options.seed));
    }
  }));
}

BOOST_AUTO_TEST_CASE(PromisesHoldOverHistoriesOfFaults) {
  world_options options;
  CheckHistories("placement keeps its promises", options);
}

BOOST_AUTO_TEST_CASE(PromisesHoldOverFaultsAndLossyLinks) {
  world_options options;
  options.message_lost = 100;
  options.message_doubled = 100;
  options.message_late = 100;
  options.order_lost = 100;
  options.table_answer_lost = 150;
  options.load_fails = 150;
  CheckHistories("placement keeps its promises over lossy links", options);
}

BOOST_AUTO_TEST_CASE(PromisesHoldWithSeveralReplicasAndEnginesWithoutFencing) {
  CheckHistories("placement keeps its promises without fencing",
                 WithoutFencing());
}

// Found by RC_PARAMS=seed=11: the owner's last decider was superseded by one
// that gave the model back, so that nobody decided about the replica any more.
BOOST_AUTO_TEST_CASE(ReplicaOfASupersededDeciderIsUnloaded) {
  const std::vector<step> history = {
      {fault::reclaim_vm, 34, 56, 9327, 360},
      {fault::demand, 11, 12, 8402, 303},
      {fault::drain_node, 63, 42, 299, 1616},
      {fault::reclaim_vm, 49, 7, 8391, 939},
      {fault::kill_node, 10, 48, 2369, 1020},
      {fault::leave_vm, 45, 59, 3650, 372},
      {fault::demand, 42, 68, 6466, 264},
      {fault::demand, 50, 47, 8923, 2207},
      {fault::leave_vm, 27, 19, 1063, 1459},
      {fault::demand, 17, 73, 6221, 1612},
      {fault::reclaim_vm, 68, 31, 8984, 995},
      {fault::demand, 34, 27, 2495, 48},
      {fault::demand, 74, 62, 5025, 1780},
      {fault::demand, 36, 42, 3536, 1432},
      {fault::pause_node, 28, 12, 3386, 2151},
      {fault::demand, 15, 25, 4623, 291},
      {fault::reclaim_vm, 41, 15, 5234, 79},
      {fault::kill_node, 73, 65, 467, 201},
      {fault::pause_node, 28, 0, 2706, 690},
      {fault::demand, 20, 9, 3088, 2228},
      {fault::leave_vm, 0, 66, 7673, 5},
      {fault::demand, 47, 58, 5787, 1429},
      {fault::drain_node, 51, 58, 3264, 62},
      {fault::kill_engine, 46, 52, 167, 924},
      {fault::leave_vm, 54, 11, 1343, 1458},
      {fault::reclaim_vm, 14, 33, 2099, 2008},
  };
  world_options options = WithoutFencing();
  options.seed = 121019257899437;
  BOOST_TEST(Play(history, options) == "");
}

}  // namespace
}  // namespace jasminepath::decision
