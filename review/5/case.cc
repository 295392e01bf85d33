// The node that reads the table of servers for its zone is killed, and a server
// leaves within the next second: its row is removed, and it goes on serving for
// a while. The table had not changed for longer than the store's history, so
// the node that takes over reads the whole table instead of its changes. DRAIN:
// it doesn't tell its zone what has gone, and another node, which nothing has
// happened to, goes on sending requests to the server that has left.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../harness/standins.h"

namespace {

using namespace review;

constexpr int64_t kDrainMs = 2000;
// The server goes on for "a little longer (at times many seconds)".
constexpr int64_t kLingerMs = 6000;
constexpr int kServers = 8;
constexpr int kClients = 32;
// Longer than the store's `historyS` of 20.
constexpr int64_t kQuietMs = 26000;

constexpr char kSite[] = R"({"version":5,"routes":[
 {"name":"stock-look","host":"beads.example","pathPrefix":"/stock/",
  "service":"till","kind":"idempotent","timeoutMs":2000,
  "targetLatencyMs":300,"maxAttempts":2,"priority":2},
 {"name":"order-place","host":"beads.example","pathPrefix":"/order/",
  "service":"till","kind":"non_idempotent","timeoutMs":2000,
  "targetLatencyMs":300,"maxAttempts":1,"priority":2}],
 "services":[{"name":"till","healthPath":"/healthz","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":5000,"idleTimeoutMs":30000},
 "tenants":[{"name":"care-homes","apiKeys":["key1"],"plainTokens":200,
  "ratePerS":1000000,"burst":1000000,"priority":0}]})";

struct sent_request {
  std::string id;
  std::string node;
  int64_t sent_ms = 0;
  int status = 0;
  bool whole = false;
  bool order = false;
};

std::mutex sent_mutex;
std::vector<sent_request> all_sent;

}  // namespace

// `argv[1]` is the path of record.txt.
int main(int argc, char** argv) {
  const bool trouble = HasTrouble();
  record log(argc > 1 ? argv[1] : "review/5/record.txt");
  temporary_folder folder;
  store platform(log);
  run_list runs;
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<server>(
        server::options{.id = "i-t" + std::to_string(i),
                        .service = "till",
                        .zone = "mids-a",
                        .slots = 6,
                        .work_ms = 500},
        runs, log));
    platform.Put("servers", servers.back()->chosen().id,
                 servers.back()->Entry());
  }
  platform.Put("op", "config", kSite);
  std::vector<std::unique_ptr<node>> nodes;
  // As on the sheet: 8 machines in 3 zones.
  const std::vector<std::string> zones = {"mids-a", "mids-a", "mids-a",
                                          "mids-b", "mids-b", "mids-b",
                                          "mids-c", "mids-c"};
  for (std::size_t i = 0; i < zones.size(); ++i) {
    nodes.push_back(std::make_unique<node>(
        node::options{.name = "edge-" + zones[i] + "-" + std::to_string(i + 1),
                      .ip = "127.0.0.1",
                      .zone = zones[i],
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
  SleepMs(kQuietMs);

  std::atomic<bool> over{false};
  std::mutex killed_mutex;
  std::set<std::string> killed;
  const auto is_killed = [&](const std::string& name) {
    const std::lock_guard lock(killed_mutex);
    return killed.contains(name);
  };
  std::atomic<int> next_id{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      SleepMs(client * 11);
      std::unique_ptr<channel> kept;
      std::string used;
      for (int i = 0; !over; ++i) {
        if (!kept) {
          std::size_t at = static_cast<std::size_t>(client) % nodes.size();
          while (is_killed(nodes[at]->name()))
            at = (at + 1) % nodes.size();
          const node& chosen = *nodes[at];
          kept = Connect(chosen.ip(), chosen.front());
          used = chosen.name();
        }
        if (!kept) {
          SleepMs(100);
          continue;
        }
        sent_request item;
        item.id = "s" + std::to_string(++next_id);
        item.node = used;
        item.order = i % 4 != 0;
        item.sent_ms = NowMs();
        kept->Send(std::string(item.order ? "POST /order/a" : "GET /stock/a") +
                   " HTTP/1.1\r\nHost: beads.example\r\nAttempt-Id: " +
                   item.id + "\r\nDeadline-Ms: 4000\r\nX-Api-Key: key1\r\n" +
                   (item.order ? "Content-Length: 0\r\n\r\n" : "\r\n"));
        const auto answer = kept->ReadAnswer(4000);
        item.status = answer.status;
        item.whole = answer.how == channel::end::complete;
        if (!item.whole || answer.closes)
          kept.reset();
        {
          const std::lock_guard lock(sent_mutex);
          all_sent.push_back(item);
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(2000);
  if (trouble) {
    std::vector<node*> readers;
    for (const auto& item : nodes) {
      if (item->ReadsServers())
        readers.push_back(item.get());
    }
    if (readers.size() != 3) {
      log.Write("could not run: the readers of the zones are not settled");
      EndScript(nodes, folder, 2);
    }
    for (node* reader : readers) {
      const std::lock_guard lock(killed_mutex);
      killed.insert(reader->name());
    }
    for (node* reader : readers)
      reader->Signal(SIGKILL);
    for (node* reader : readers) {
      reader->WaitForEnd(1000);
      log.Write(reader->name() + " is killed");
    }
  }
  SleepMs(400);
  server& leaving = *servers[3];
  platform.Remove("servers", leaving.chosen().id);
  const int64_t removed_at = NowMs();
  log.Write("the row of " + leaving.chosen().id + " is removed");
  SleepMs(1400);
  if (trouble) {
    for (const auto& item : nodes) {
      if (is_killed(item->name()))
        item->Start();
    }
    log.Write("the killed nodes are started again");
  }
  while (NowMs() < removed_at + kDrainMs + kLingerMs)
    SleepMs(10);
  leaving.Leave();
  log.Write(leaving.chosen().id + " has exited");
  SleepMs(4000);
  over = true;
  for (std::thread& client : clients)
    client.join();

  int late = 0;
  int lost_orders = 0;
  int answered = 0;
  for (const sent_request& item : all_sent) {
    const bool fine = item.whole && item.status == 200;
    answered += fine ? 1 : 0;
    std::string line = "request " + item.id + " to " + item.node + " sent " +
                       std::to_string(item.sent_ms - removed_at) +
                       " ms from the removal: status " +
                       std::to_string(item.status);
    bool is_late = false;
    for (const run& at : runs.Of(item.id)) {
      line += ", ran at " + at.server + " from " +
              std::to_string(at.began_ms - removed_at) + " ms";
      is_late = is_late || (at.server == leaving.chosen().id &&
                            !killed.contains(item.node) &&
                            at.began_ms > removed_at + kDrainMs);
    }
    late += is_late ? 1 : 0;
    const bool lost = is_late && item.order && !fine;
    lost_orders += lost ? 1 : 0;
    log.Write(line + (is_late ? ", later than drainMs after the ack" : "") +
              (lost ? ", order lost" : ""));
  }
  const std::string summary =
      std::to_string(all_sent.size()) + " requests, " +
      std::to_string(answered) + " answered; " + std::to_string(late) +
      " reached the server that had left later than drainMs, " +
      std::to_string(lost_orders) + " of them orders without an answer of it";
  log.Write(summary);
  std::cout << summary << std::endl;
  EndScript(nodes, folder, answered == 0 ? 2 : late > 0 ? 1 : 0);
}
