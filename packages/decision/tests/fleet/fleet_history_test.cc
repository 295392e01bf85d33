#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "fleet/check_histories.h"
#include "fleet/fleet_world.h"

namespace jasminepath::decision {
namespace {

constexpr int kHistoryCount = 1500;
constexpr int kVmCount = 4;
constexpr int kTeamCount = 2;
constexpr int kFactKeyCount = 3;
constexpr duration kFactPropagationTime = Seconds(4);
constexpr duration kDrainTime = Seconds(10);
// Covers the maximum lag of the VM list, the confirmation that a VM is absent,
// and the longest wait before a retry once the platform is available again.
constexpr duration kRecoveryTime = Seconds(90);

// One step of a history: the kind of the operation, the VM to which it applies,
// and the time that the fleet then runs.
struct history_step {
  uint8_t kind = 0;
  uint8_t vm = 0;
  uint16_t run_ms = 0;

  friend bool operator==(const history_step&, const history_step&) = default;
};

std::ostream& operator<<(std::ostream& out, const history_step& step) {
  return out << "{kind " << int{step.kind} << ", vm " << int{step.vm}
             << ", run_ms " << step.run_ms << '}';
}

void ApplyStep(fleet_world& world, const history_step& step) {
  const int vm = step.vm;
  switch (step.kind) {
    case 0:
      world.Start(vm);
      break;
    case 1:
      world.Kill(vm);
      break;
    case 2:
      world.Pause(vm);
      break;
    case 3:
      world.Continue(vm);
      break;
    case 4:
      world.RemoveVm(vm);
      break;
    case 5:
      world.Drain(vm);
      break;
    case 6:
      world.Isolate(vm, true, true);
      break;
    case 7:
      world.Isolate(vm, true, false);
      break;
    case 8:
      world.Isolate(vm, false, true);
      break;
    case 9:
      world.Reconnect(vm);
      break;
    case 10:
      world.faults().platform_down = true;
      break;
    case 11:
      world.faults().platform_down = false;
      break;
    case 12:
      world.faults().answer_loss = 0.3;
      break;
    case 13:
      world.faults().message_loss = 0.3;
      world.faults().message_repeat = 0.2;
      world.faults().message_delay = 0.2;
      break;
    case 14:
      world.CommitFact(vm % kFactKeyCount, false, vm % 2 == 0);
      break;
    default:
      world.CommitFact(vm % kFactKeyCount, true, vm % 2 == 0);
      break;
  }
  world.Run(Milliseconds(step.run_ms));
}

}  // namespace
}  // namespace jasminepath::decision

template <>
struct rc::Arbitrary<jasminepath::decision::history_step> {
  static Gen<jasminepath::decision::history_step> arbitrary() {
    using jasminepath::decision::history_step;
    return gen::build<history_step>(
        gen::set(&history_step::kind, gen::inRange<uint8_t>(0, 16)),
        gen::set(&history_step::vm, gen::inRange<uint8_t>(0, 12)),
        gen::set(&history_step::run_ms, gen::inRange<uint16_t>(0, 5000)));
  }
};

namespace jasminepath::decision {
namespace {

// Logs the violations and the failed condition, so that they are printed with
// the shrunk history.
bool Holds(const fleet_world& world, bool condition, const char* invariant) {
  for (const std::string& violation : world.violations())
    RC_LOG(violation);
  if (!condition)
    RC_LOG(std::string("violated: ") + invariant);
  return condition && world.violations().empty();
}

BOOST_AUTO_TEST_CASE(FleetInvariantsHoldUnderRandomFaults) {
  BOOST_TEST(CheckHistories(
      "fact versions never decrease, shares never exceed the full rate, no "
      "running instance is declared ended, and the fleet recovers",
      kHistoryCount,
      [](uint64_t seed, const std::vector<history_step>& history) {
        fleet_world world(seed, kVmCount, kTeamCount);
        for (int vm = 0; vm < kVmCount - 1; ++vm)
          world.Start(vm);
        world.Run(Seconds(5));
        for (const history_step& step : history)
          ApplyStep(world, step);
        RC_ASSERT(Holds(world, true, ""));
        world.Heal();
        world.Run(kDrainTime);
        // Restarts the processes that ended while they were draining.
        world.Heal();
        world.Start(0);
        world.Run(kRecoveryTime);
        RC_ASSERT(
            Holds(world, world.AllReady(), "all running instances are ready"));
        RC_ASSERT(Holds(world, world.AllFactsInForce(),
                        "all committed facts are in force"));
        RC_ASSERT(Holds(world, world.AreSharesEven(0.5), "shares are even"));
        world.CommitFact(0, false, false);
        world.Run(kFactPropagationTime);
        RC_ASSERT(Holds(world, world.AllFactsInForce(),
                        "a new fact is in force within the propagation time"));
      }));
}

}  // namespace
}  // namespace jasminepath::decision
