// ORDER: all nodes are killed while the servers of a service are replaced by
// those of another software version.

#include <iostream>

#include "stage.h"

using namespace jasminepath;
using namespace jasminepath::review;

int main() {
  constexpr int64_t kEvents = 40;
  constexpr duration kInterval = Milliseconds(250);
  constexpr int kStreams = 72;
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
  for (int i = 0; i < kStreams; ++i)
    all.AddClient(kEvents);
  all.RunFor(Milliseconds(500));
  // One of nine is replaced; the new one starts first. The old one does not
  // report that it drains: its entry is removed, and it serves on.
  if (HasTrouble("release"))
    all.AddServer("mids-a", "42", kEvents, kInterval);
  all.RunFor(Milliseconds(500));
  if (HasTrouble("release"))
    former.Unregister();
  all.RunFor(Milliseconds(500));
  all.RunFor(Milliseconds(700));
  if (HasTrouble("kill")) {
    for (const auto& node : all.nodes)
      node->Kill();
    all.RunFor(Seconds(1));
    for (const auto& node : all.nodes)
      node->Start();
  }
  all.RunUntil(
      [&all] {
        for (const auto& client : all.clients) {
          if (!client->is_done())
            return false;
        }
        return true;
      },
      Seconds(20));
  int begun = 0, complete = 0, resumed = 0, gone_on = 0, mixed = 0;
  for (const auto& client : all.clients) {
    begun += client->has_begun();
    complete += client->is_complete();
    resumed += client->has_resumed();
    gone_on += client->has_gone_on();
    mixed += client->versions().size() > 1;
  }
  const auto at_former = static_cast<int>(former.begun().size());
  all.out.Line("sent to the former version " + std::to_string(at_former));
  all.out.Line("streams begun " + std::to_string(begun) + ", complete " +
               std::to_string(complete) + ", taken up " +
               std::to_string(resumed) + ", gone on " +
               std::to_string(gone_on) + ", with events of two versions " +
               std::to_string(mixed));
  if (begun < kStreams || at_former < 4 ||
      (HasTrouble("kill") && resumed < kStreams / 2))
    return kCouldNotRun;
  return mixed > 2 ? kBroken : kHeld;
}
