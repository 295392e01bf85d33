// Measures the cost of the fleet duties per node at several fleet sizes:
// messages and bytes per second, processor time, memory and table calls, both
// idle and while facts change. The coordinators run in virtual time over a fake
// platform; every message is encoded and decoded by the real codec. The
// processor time includes the fakes, so it is an upper bound.

#include <fmt/format.h>
#include <sys/resource.h>
#include <time.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "fleet/fleet_world.h"
#include "jasminepath/mesh/message_codec.h"

namespace jasminepath {
namespace {

constexpr int kTeams = 5;
constexpr std::size_t kFactBytes = 1024;
constexpr duration kWarmUp = Seconds(120);
constexpr duration kMeasuredTime = Seconds(60);
// 17,000 changes per day are one every 5 seconds.
constexpr duration kChangePeriod = Seconds(5);
// Ethernet, IP and TCP headers of one packet; a message and its acknowledgement
// each have them.
constexpr int64_t kHeaderBytesPerPacket = 66;
constexpr int64_t kBytesPerKilobyte = 1024;

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * kNanosecond;
}

int64_t PeakMemoryKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Counters since the start of the measurement.
struct counts {
  int64_t messages = 0;
  int64_t payload_bytes = 0;
};

// Runs the simulated fleet for kMeasuredTime and prints one line.
void Measure(decision::fleet_world& world,
             counts& counted,
             int nodes,
             bool has_changes) {
  counted = counts();
  const int64_t reads = world.reads();
  const int64_t writes = world.writes();
  const double processor = ProcessorSeconds();
  for (duration run = duration::zero(); run < kMeasuredTime;
       run += kChangePeriod) {
    if (has_changes)
      world.CommitFact(static_cast<int>(ToSeconds(run)) % 7 + 1, false, false);
    world.Run(kChangePeriod);
  }
  const double node_seconds = ToSeconds(kMeasuredTime) * nodes;
  const double used = ProcessorSeconds() - processor;
  const auto on_wire = static_cast<double>(
      counted.payload_bytes + 2 * kHeaderBytesPerPacket * counted.messages);
  fmt::print(
      "{:>5} {:>8} {:>10.1f} {:>10.0f} {:>10.0f} {:>9.3f} {:>9.2f} {:>9.2f}\n",
      nodes, has_changes ? "changes" : "idle",
      static_cast<double>(counted.messages) / node_seconds,
      static_cast<double>(counted.payload_bytes) / node_seconds,
      on_wire / node_seconds, 100 * used / node_seconds,
      static_cast<double>(world.reads() - reads) / ToSeconds(kMeasuredTime),
      static_cast<double>(world.writes() - writes) / ToSeconds(kMeasuredTime));
}

void MeasureFleet(int nodes) {
  const int64_t memory = PeakMemoryKilobytes();
  decision::fleet_world world(1, nodes, kTeams);
  counts counted;
  world.set_checks(false);
  world.set_fact_padding(kFactBytes);
  world.set_message_observer([&](const decision::send_fleet_message& sent) {
    const auto bytes =
        mesh::Encode({.from = instance_id("node-0000-0123456789abcdef"),
                      .to = sent.peer.instance,
                      .sequence = ++counted.messages,
                      .message = sent.message});
    counted.payload_bytes += static_cast<int64_t>(bytes.value().size());
    if (!mesh::Decode(bytes.value()))
      std::abort();
  });
  const double processor = ProcessorSeconds();
  for (int vm = 0; vm < nodes; ++vm)
    world.Start(vm);
  world.Run(kWarmUp);
  fmt::print(
      "{:>5} {:>8} {:>48.3f} s of processor time per node, {} reads, {} "
      "writes, ready {}, even shares {}\n",
      nodes, "start", (ProcessorSeconds() - processor) / nodes, world.reads(),
      world.writes(), world.AllReady(), world.AreSharesEven(0.5));
  Measure(world, counted, nodes, false);
  Measure(world, counted, nodes, true);
  fmt::print(
      "{:>5} {:>8} {:>10} KB per node at the peak, including the fakes\n",
      nodes, "memory", (PeakMemoryKilobytes() - memory) / nodes);
}

}  // namespace
}  // namespace jasminepath

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i)
    sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty())
    sizes = {2, 4, 8, 16, 32, 64, 128};
  fmt::print("{:>5} {:>8} {:>10} {:>10} {:>10} {:>9} {:>9} {:>9}\n", "nodes",
             "load", "msg/s", "payload/s", "wire B/s", "core %", "reads/s",
             "writes/s");
  for (const int nodes : sizes)
    jasminepath::MeasureFleet(nodes);
  return 0;
}
