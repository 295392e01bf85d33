// A machine of the system gets SIGTERM while clients read streams on channels
// that they keep. A stream that began before the SIGTERM ends more than 3 s
// after it, without `Connection: close`, and its client sends its next request
// on the same channel. LOST: the node reads it, passes it on to a server and
// closes the channel without a complete answer.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../harness/standins.h"

namespace {

using namespace review;

constexpr int64_t kGraceMs = 8000;
constexpr int64_t kBudgetMs = 12000;
constexpr int kClients = 16;
// Pause between the end of an answer and the client's next request.
constexpr int64_t kThinkMs = 15;

constexpr char kSite[] = R"({"version":5,"routes":[
 {"name":"bead-chat","host":"beads.example","pathPrefix":"/chat/",
  "service":"loom","kind":"streaming","timeoutMs":12000,
  "targetLatencyMs":600,"gapAimMs":500,"maxAttempts":1,"priority":0,
  "resumable":false,"sticky":true}],
 "services":[{"name":"loom","healthPath":"/healthz","maxConns":370,
  "engine":{"weightsMb":230000,"adapterSlots":8,"loadsPerS":1.6,"models":[
   {"name":"m1","weightsMb":65100,"loadS":6.0,"warmS":0.3,"diskS":0.39,
    "adapters":0,"adapterMb":12}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":5000,"idleTimeoutMs":30000},
 "tenants":[{"name":"care-homes","apiKeys":["key1"],"plainTokens":200,
  "ratePerS":1000000,"burst":1000000,"priority":0}]})";

struct sent_request {
  std::string id;
  std::string node;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  int status = 0;
  channel::end how = channel::end::closed_early;
  // Position in its channel; 0: the first request.
  int order = 0;
};

std::mutex sent_mutex;
std::vector<sent_request> all_sent;

}  // namespace

// `argv[1]` is the path of record.txt.
int main(int argc, char** argv) {
  const bool trouble = HasTrouble();
  record log(argc > 1 ? argv[1] : "review/2/record.txt");
  temporary_folder folder;
  store platform(log);
  run_list runs;
  std::vector<std::unique_ptr<server>> servers;
  for (const std::string name : {"i-a1", "i-a2", "i-a3"}) {
    servers.push_back(
        std::make_unique<server>(server::options{.id = name,
                                                 .service = "loom",
                                                 .zone = "mids-a",
                                                 .models = {"m1"},
                                                 .events = 42,
                                                 .event_ms = 150},
                                 runs, log));
    platform.Put("servers", name, servers.back()->Entry());
  }
  platform.Put("op", "config", kSite);
  std::vector<std::unique_ptr<node>> nodes;
  for (const std::string name : {"edge-1", "edge-2", "edge-3"}) {
    nodes.push_back(
        std::make_unique<node>(node::options{.name = name,
                                             .ip = "127.0.0.1",
                                             .zone = "mids-a",
                                             .store = platform.address(),
                                             .folder = folder.path()}));
    nodes.back()->Start();
  }
  for (const auto& item : nodes) {
    if (!item->WaitUntilReady(10000)) {
      log.Write("could not run: " + item->name() + " is not ready");
      EndScript(nodes, folder, 2);
    }
  }
  SleepMs(4000);

  std::atomic<int64_t> stopped_at{-1};
  std::atomic<bool> over{false};
  std::atomic<int> next_id{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      SleepMs(client * 370);
      std::unique_ptr<channel> kept;
      std::string used;
      int order = 0;
      while (!over) {
        if (!kept) {
          // The platform sends new channels to machines that are ready.
          const std::size_t at =
              stopped_at < 0 ? 0 : 1 + static_cast<std::size_t>(client % 2);
          kept = Connect(nodes[at]->ip(), nodes[at]->front());
          used = nodes[at]->name();
          order = 0;
          if (!kept) {
            SleepMs(100);
            continue;
          }
        }
        sent_request item;
        item.id = "q" + std::to_string(++next_id);
        item.node = used;
        item.order = order++;
        kept->Send(
            "POST /chat/a HTTP/1.1\r\nHost: beads.example\r\n"
            "Attempt-Id: " +
            item.id +
            "\r\nModel: m1\r\nToken-Count: 826,294\r\n"
            "Prompt-Prefix: aa:198,b" +
            std::to_string(client) +
            ":628\r\nDeadline-Ms: 12000\r\nX-Api-Key: key1\r\n"
            "Content-Length: 4\r\n\r\nbody");
        item.sent_ms = NowMs();
        const auto answer = kept->ReadAnswer(kBudgetMs);
        item.ended_ms = NowMs();
        item.status = answer.status;
        item.how = answer.how;
        {
          const std::lock_guard lock(sent_mutex);
          all_sent.push_back(item);
        }
        if (answer.how != channel::end::complete || answer.closes)
          kept.reset();
        SleepMs(kThinkMs);
      }
    });
  }
  SleepMs(10000);
  const int64_t term_at = NowMs();
  if (trouble) {
    log.Write("SIGTERM to edge-1");
    stopped_at = term_at;
    nodes[0]->Signal(SIGTERM);
    // The platform's SIGKILL after graceS.
    nodes[0]->WaitForEnd(kGraceMs);
    log.Write("edge-1 has ended");
  } else {
    SleepMs(kGraceMs);
  }
  SleepMs(1500);
  over = true;
  for (std::thread& client : clients)
    client.join();

  int lost = 0;
  int excused = 0;
  int complete = 0;
  for (const sent_request& item : all_sent) {
    const auto at_servers = runs.Of(item.id);
    const bool passed_on = !at_servers.empty();
    const bool whole = item.how == channel::end::complete;
    complete += whole ? 1 : 0;
    std::string verdict = whole ? "complete" : "no complete answer";
    if (!whole && trouble && item.node == "edge-1" &&
        item.ended_ms <= term_at + kGraceMs + 1000 &&
        item.ended_ms - item.sent_ms < kBudgetMs) {
      const bool worked_late =
          passed_on &&
          (at_servers.back().ended_ms == 0 ||
           at_servers.back().ended_ms >= term_at + kGraceMs - kGraceMs / 6);
      if (item.sent_ms <= term_at + 3000 && worked_late) {
        ++excused;
        verdict += ", excused: sent within 3 s of the SIGTERM";
      } else if (passed_on) {
        ++lost;
        verdict += ", LOST";
      }
    }
    log.Write("request " + item.id + " to " + item.node + ", number " +
              std::to_string(item.order + 1) + " of its channel, sent " +
              std::to_string(item.sent_ms - term_at) +
              " ms from the SIGTERM, ended at " +
              std::to_string(item.ended_ms - term_at) + " ms, status " +
              std::to_string(item.status) + ", runs " +
              std::to_string(at_servers.size()) + ": " + verdict);
  }
  const std::string summary = std::to_string(all_sent.size()) + " requests, " +
                              std::to_string(complete) + " complete, " +
                              std::to_string(excused) + " cut and excused, " +
                              std::to_string(lost) + " LOST";
  log.Write(summary);
  std::cout << summary << std::endl;
  EndScript(nodes, folder, complete == 0 ? 2 : lost > 0 ? 1 : 0);
}
