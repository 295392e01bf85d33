#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "placement/placement_world.h"

namespace jasminepath::decision {
namespace {

// Number of histories in one run of the test program.
constexpr int kDefaultRuns = 600;
constexpr int kPropertyRuns = 100;
constexpr duration kFaultTime = Seconds(25);
constexpr duration kRecoveryTime = Seconds(150);
// Long enough for every idle replica to be unloaded.
constexpr duration kIdleTime = Seconds(90);

// Event that a history applies to the simulated site.
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

// One step of a history: time passes for `pause_ms`, then the event occurs.
// `target` selects the node or VM and `model` the model, each modulo the number
// of them in the site.
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

rc::Gen<step> ArbitraryStep() {
  // Demand is as likely as all faults together.
  const int faults = static_cast<int>(fault::count);
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 2 * faults - 1),
                     rc::gen::inRange(0, 100), rc::gen::inRange(0, 100),
                     rc::gen::inRange(100, 15000), rc::gen::inRange(0, 3000)),
      [faults](const std::tuple<int, int, int, int, int>& raw) {
        step result;
        const int kind = std::get<0>(raw);
        result.kind = kind < faults ? static_cast<fault>(kind) : fault::demand;
        result.target = std::get<1>(raw);
        result.model = std::get<2>(raw);
        result.length_ms = std::get<3>(raw);
        result.pause_ms = std::get<4>(raw);
        return result;
      });
}

int RunsPerProperty() {
  const char* text = std::getenv("JASMINEPATH_FUZZ_RUNS");
  const int runs = text == nullptr ? kDefaultRuns : std::atoi(text);
  return std::max(1, runs / kPropertyRuns);
}

void Apply(const step& entry,
           const world_options& options,
           bool& has_removed_vm,
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
      // At most one VM is removed, so that the models still fit into memory.
      if (std::exchange(has_removed_vm, true))
        break;
      if (entry.kind == fault::reclaim_vm)
        world.ReclaimVm(vm);
      else
        world.AnnounceVmLeaving(vm);
      break;
    case fault::table_outage:
      world.StartTableOutage(length);
      break;
    case fault::slow_loads:
      world.SlowLoads(vm, length);
      break;
    case fault::count:
      break;
  }
}

// Runs the history. Returns the violation, or an empty string.
std::string RunHistory(const std::vector<step>& history,
                       const world_options& options) {
  placement_world world(options);
  world.RunFor(Seconds(2));
  bool has_removed_vm = false;
  const time_point end = world.now() + kFaultTime;
  for (const step& entry : history) {
    if (world.now() >= end)
      break;
    world.RunFor(Milliseconds(entry.pause_ms));
    Apply(entry, options, has_removed_vm, world);
  }
  world.RunFor(Seconds(10));
  world.DisableFaults();
  for (duration waited = duration::zero(); waited < kRecoveryTime;
       waited += Seconds(5)) {
    world.RunFor(Seconds(5));
    if (!world.violation().empty())
      return world.violation();
    if (world.IsAllServed())
      break;
  }
  if (!world.IsAllServed())
    return "unserved calls: " + world.UnservedCalls();
  world.RunFor(kIdleTime);
  for (int model = 0; model < options.models; ++model) {
    if (world.ResidentCount(model) > 0)
      return "idle replica of m" + std::to_string(model) + " was not unloaded";
  }
  return world.violation();
}

world_options LossyLinkOptions() {
  world_options options;
  options.message_lost_per_mille = 100;
  options.message_duplicated_per_mille = 100;
  options.message_late_per_mille = 100;
  options.order_lost_per_mille = 100;
  options.table_answer_lost_per_mille = 150;
  options.load_failure_per_mille = 150;
  return options;
}

world_options NoFencingOptions() {
  world_options options;
  options.nodes = 4;
  options.vms = 4;
  options.max_replicas = 2;
  options.ignore_fencing_every = 1;
  options.message_lost_per_mille = 50;
  options.message_duplicated_per_mille = 100;
  options.message_late_per_mille = 150;
  options.order_lost_per_mille = 150;
  options.table_answer_lost_per_mille = 100;
  options.load_failure_per_mille = 100;
  return options;
}

void CheckHistories(const char* text, const world_options& base) {
  const int runs = RunsPerProperty();
  BOOST_TEST(rc::check(text, [&base, runs] {
    const auto history =
        *rc::gen::container<std::vector<step>>(ArbitraryStep());
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (int run = 0; run < runs; ++run) {
      world_options options = base;
      options.seed = seed + static_cast<uint64_t>(run);
      const std::string violation = RunHistory(history, options);
      if (!violation.empty())
        RC_FAIL(violation + " with world seed " + std::to_string(options.seed));
    }
  }));
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaults) {
  world_options options;
  CheckHistories("placement invariants hold under faults", options);
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaultsAndLossyLinks) {
  CheckHistories("placement invariants hold under faults and lossy links",
                 LossyLinkOptions());
}

BOOST_AUTO_TEST_CASE(InvariantsHoldWithSeveralReplicasAndNoFencing) {
  CheckHistories("placement invariants hold without fencing",
                 NoFencingOptions());
}

// Guards against an idle replica that is never unloaded: the last decider known
// to the owner was superseded by a decider that released the model, so that the
// replica had no decider. Found with RC_PARAMS=seed=11.
BOOST_AUTO_TEST_CASE(ReplicaOfSupersededDeciderIsUnloaded) {
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
  world_options options = NoFencingOptions();
  options.seed = 121019257899437;
  BOOST_TEST(RunHistory(history, options) == "");
}

// Guards against an idle replica that is never unloaded: the node that received
// the report of the replica still assumed a decider that had released the
// model. Found with RC_PARAMS=seed=23.
BOOST_AUTO_TEST_CASE(ReplicaWithoutDeciderIsUnloadedDespiteStaleHolder) {
  const std::vector<step> history = {
      {fault::demand, 84, 18, 10984, 85},
      {fault::demand, 29, 68, 11174, 916},
      {fault::pause_node, 35, 32, 6571, 882},
      {fault::demand, 6, 87, 604, 2284},
      {fault::pause_node, 49, 82, 9079, 320},
      {fault::demand, 61, 93, 11386, 1650},
      {fault::demand, 74, 35, 11732, 2688},
      {fault::table_outage, 68, 56, 13563, 1890},
      {fault::pause_node, 22, 60, 6543, 2149},
      {fault::table_outage, 59, 88, 719, 1317},
      {fault::demand, 42, 74, 10433, 2674},
      {fault::pause_node, 17, 94, 12130, 2546},
      {fault::drain_node, 84, 61, 1286, 2822},
      {fault::demand, 14, 26, 13037, 1397},
      {fault::demand, 61, 96, 7060, 1949},
  };
  world_options options = LossyLinkOptions();
  options.seed = 1005493125232185912;
  BOOST_TEST(RunHistory(history, options) == "");
}

// Guards against an idle replica that is never unloaded: the owner of a leaving
// VM ended, and no other node acquired the VM. Found with RC_PARAMS=seed=23.
BOOST_AUTO_TEST_CASE(IdleReplicaOnLeavingVmIsUnloaded) {
  const std::vector<step> history = {
      {fault::demand, 3, 16, 5589, 256},
      {fault::pause_node, 28, 7, 6478, 752},
      {fault::drain_node, 24, 16, 3438, 721},
      {fault::kill_node, 22, 39, 6231, 525},
      {fault::drain_node, 14, 20, 3280, 1030},
      {fault::table_outage, 0, 25, 516, 1269},
      {fault::drain_node, 5, 29, 2376, 759},
      {fault::kill_node, 38, 1, 1255, 221},
      {fault::kill_engine, 10, 5, 2115, 959},
      {fault::table_outage, 15, 42, 6414, 474},
      {fault::kill_node, 32, 28, 4749, 1106},
      {fault::pause_node, 7, 1, 1990, 1103},
      {fault::drain_node, 22, 25, 3929, 783},
      {fault::leave_vm, 20, 11, 681, 606},
      {fault::reclaim_vm, 28, 25, 5772, 674},
      {fault::pause_node, 4, 22, 2078, 305},
      {fault::drain_node, 26, 34, 5911, 1215},
      {fault::table_outage, 29, 34, 1814, 826},
      {fault::reclaim_vm, 42, 35, 1825, 266},
      {fault::kill_node, 0, 42, 6119, 920},
      {fault::leave_vm, 3, 43, 6311, 729},
      {fault::drain_node, 23, 28, 2226, 369},
      {fault::table_outage, 26, 18, 5494, 1248},
  };
  world_options options = NoFencingOptions();
  options.seed = 117971407;
  BOOST_TEST(RunHistory(history, options) == "");
}

}  // namespace
}  // namespace jasminepath::decision
