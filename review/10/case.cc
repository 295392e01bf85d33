// LOST: streams of a service with two software versions are refused when their
// clients take them up again at a node that has started since they began.

#include <algorithm>
#include <iostream>

#include "stage.h"

using namespace jasminepath;
using namespace jasminepath::review;

namespace {

// The bounds of the small site.
constexpr duration kGrace = Seconds(8);
constexpr duration kContact = Seconds(3);
constexpr duration kRestartDelay = Milliseconds(500);
// Time between the two stops.
constexpr duration kStopGap = Seconds(2);

// Waits for the end of a node that was told to stop and starts it again.
void StartAgain(stage& all, node_process& node) {
  if (!all.RunUntil([&node] { return node.HasEnded(); }, kGrace))
    node.Kill();
  all.RunFor(kRestartDelay);
  node.Start();
}

}  // namespace

int main() {
  constexpr int64_t kEvents = 25;
  constexpr duration kInterval = Milliseconds(480);
  constexpr int kStreams = 32;
  constexpr int kNewStreams = 24;
  // LOST counts from this many streams.
  constexpr int kCounted = 12;
  stage all;
  // The versions serve side by side all the time.
  for (const char* zone : {"mids-a", "mids-b", "mids-c"}) {
    for (const char* version : {"41", "42"})
      all.AddServer(zone, version, kEvents, kInterval);
  }
  if (!all.StartNodes()) {
    std::cerr << "the nodes did not get ready\n";
    return kCouldNotRun;
  }
  // The two nodes of the zone are stopped and started in turn.
  all.client_zone = "mids-c";
  node_process& first = *all.nodes[6];
  node_process& second = *all.nodes[7];
  // Between two probes of the balancer, so that the first node has left the
  // rotation when the second one is stopped.
  all.RunFor(Milliseconds(500));
  const time_point began = boot_clock::now();
  if (HasTrouble("first"))
    first.Terminate();
  all.RunUntil([&] { return !first.in_rotation; }, Milliseconds(1700));
  for (int i = 0; i < kStreams; ++i)
    all.AddClient(kEvents);
  all.RunFor(began + kStopGap - boot_clock::now());
  if (HasTrouble("second"))
    second.Terminate();
  if (HasTrouble("first"))
    StartAgain(all, first);
  const time_point first_started = boot_clock::now();
  if (HasTrouble("second"))
    StartAgain(all, second);
  else
    all.RunFor(kGrace);
  const bool is_in_touch = boot_clock::now() - first_started > kContact;
  std::vector<stream_client*> later;
  for (int i = 0; i < kNewStreams; ++i) {
    later.push_back(&all.AddClient(kEvents));
    all.RunFor(Milliseconds(40));
  }
  all.RunUntil(
      [&all] {
        return std::all_of(
            all.clients.begin(), all.clients.end(),
            [](const auto& client) { return client->is_done(); });
      },
      Seconds(20));
  int begun = 0, taken_up = 0, gone_on = 0, complete = 0, mixed = 0;
  for (const auto& client : all.clients) {
    begun += client->has_begun();
    complete += client->is_complete();
    mixed += client->versions().size() > 1;
    const bool is_at_first = client->resumed_at().contains(&first);
    taken_up += is_at_first;
    gone_on += is_at_first && client->has_gone_on();
  }
  const auto new_begun =
      std::count_if(later.begin(), later.end(),
                    [](const auto* client) { return client->has_begun(); });
  all.out.Line("streams begun " + std::to_string(begun) + ", complete " +
               std::to_string(complete) + ", with events of two versions " +
               std::to_string(mixed) + "; taken up at " + first.name() + " " +
               std::to_string(taken_up) + ", gone on " +
               std::to_string(gone_on) + "; new streams " +
               std::to_string(kNewStreams) + ", begun " +
               std::to_string(new_begun));
  if (begun < kStreams || !is_in_touch ||
      (HasTrouble("second") && taken_up < kCounted))
    return kCouldNotRun;
  const bool is_lost =
      taken_up >= kCounted &&
      2 * gone_on * kNewStreams < taken_up * static_cast<int>(new_begun);
  return is_lost ? kBroken : kHeld;
}
