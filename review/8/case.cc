// LOST: streams that began after a release are refused when their clients take
// them up again at sound nodes.

#include <algorithm>
#include <iostream>

#include "stage.h"

using namespace jasminepath;
using namespace jasminepath::review;

int main() {
  constexpr int64_t kEvents = 30;
  constexpr duration kInterval = Milliseconds(250);
  constexpr int kStreams = 128;
  constexpr int kNewStreams = 24;
  // LOST counts from this many streams.
  constexpr int kCounted = 12;
  stage all;
  // Nine servers, of which one still has the former version.
  stream_server& former = all.AddServer("mids-a", "41", kEvents, kInterval);
  for (const char* zone : {"mids-a", "mids-a", "mids-b", "mids-b", "mids-b",
                           "mids-c", "mids-c", "mids-c"})
    all.AddServer(zone, "42", kEvents, kInterval);
  if (!all.StartNodes()) {
    std::cerr << "the nodes did not get ready\n";
    return kCouldNotRun;
  }
  // One of nine is replaced; the new one starts first. The old one does not
  // report that it drains: its entry is removed, and it serves on.
  if (HasTrouble("release"))
    all.AddServer("mids-a", "42", kEvents, kInterval);
  all.RunFor(Milliseconds(500));
  if (HasTrouble("release"))
    former.Unregister();
  all.RunFor(Milliseconds(500));
  // More than the two seconds in which all nodes know of the change.
  all.RunFor(Milliseconds(2500));
  for (int i = 0; i < kStreams; ++i)
    all.AddClient(kEvents);
  all.RunFor(Seconds(2));
  node_process& victim = *all.nodes[1];
  if (HasTrouble("kill"))
    victim.Kill();
  all.RunFor(Milliseconds(300));
  std::vector<stream_client*> later;
  for (int i = 0; i < kNewStreams; ++i) {
    later.push_back(&all.AddClient(kEvents));
    all.RunFor(Milliseconds(40));
  }
  if (HasTrouble("kill"))
    victim.Start();
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
    const bool is_at_sound_node =
        std::any_of(client->resumed_at().begin(), client->resumed_at().end(),
                    [&](const node_process* node) { return node != &victim; });
    taken_up += is_at_sound_node;
    gone_on += is_at_sound_node && client->has_gone_on();
  }
  const auto new_begun =
      std::count_if(later.begin(), later.end(),
                    [](const auto* client) { return client->has_begun(); });
  all.out.Line("streams begun " + std::to_string(begun) + ", complete " +
               std::to_string(complete) + ", with events of two versions " +
               std::to_string(mixed) + "; taken up at sound nodes " +
               std::to_string(taken_up) + ", gone on " +
               std::to_string(gone_on) + "; new streams " +
               std::to_string(kNewStreams) + ", begun " +
               std::to_string(new_begun));
  if (begun < kStreams || (HasTrouble("kill") && taken_up < kCounted))
    return kCouldNotRun;
  const bool is_lost =
      taken_up >= kCounted &&
      2 * gone_on * kNewStreams < taken_up * static_cast<int>(new_begun);
  return is_lost ? kBroken : kHeld;
}
