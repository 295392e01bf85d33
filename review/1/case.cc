// Servers in trouble: a few answers of the streaming route have a proper head
// and then line feeds without end, as PROTOCOL.md's letter names them ("bytes
// that are no answer may also come without end, in a head or a body, until the
// caller closes"). CONFIG: the node that passes such an answer on leaves the
// requests of all its other clients without an answer beyond their timeoutMs.

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

constexpr int64_t kTimeoutMs = 2000;
constexpr int64_t kSlackMs = 500;
constexpr int64_t kBudgetMs = 4000;
constexpr int kShopClients = 24;
constexpr int kReaders = 120;
// One in so many answers is spoiled, for so long.
constexpr int kAnswersPerEndless = 20;
constexpr int64_t kSpoilMs = 5000;
constexpr int64_t kCalmMs = 12000;
constexpr int64_t kTroubleMs = 15000;

constexpr char kSite[] = R"({"version":5,"routes":[
 {"name":"pattern-access","host":"beads.example","pathPrefix":"/pattern/",
  "service":"loom","kind":"streaming","timeoutMs":13000,
  "targetLatencyMs":2000,"gapAimMs":500,"maxAttempts":2,"priority":1,
  "resumable":true,"sticky":true},
 {"name":"stock-look","host":"beads.example","pathPrefix":"/stock/",
  "service":"till","kind":"idempotent","timeoutMs":2000,
  "targetLatencyMs":300,"maxAttempts":2,"priority":2},
 {"name":"order-place","host":"beads.example","pathPrefix":"/order/",
  "service":"till","kind":"non_idempotent","timeoutMs":2000,
  "targetLatencyMs":300,"maxAttempts":1,"priority":2}],
 "services":[{"name":"till","healthPath":"/healthz","maxConns":110},
  {"name":"loom","healthPath":"/healthz","maxConns":370,
  "engine":{"weightsMb":230000,"adapterSlots":8,"loadsPerS":1.6,"models":[
   {"name":"m1","weightsMb":65100,"loadS":6.0,"warmS":0.3,"diskS":0.39,
    "adapters":0,"adapterMb":12}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":5000,"idleTimeoutMs":30000},
 "tenants":[{"name":"care-homes","apiKeys":["key1"],"plainTokens":200,
  "ratePerS":1000000,"burst":1000000,"priority":0}]})";

struct shop_request {
  std::string id;
  std::string node;
  std::string route;
  int64_t sent_ms = 0;
  // -1: no answer within the client's time budget.
  int64_t answered_after_ms = -1;
  int status = 0;
};

std::mutex sent_mutex;
std::vector<shop_request> shop_requests;

std::string Request(const std::string& start,
                    const std::string& id,
                    int64_t budget_ms,
                    const std::string& more) {
  return start + " HTTP/1.1\r\nHost: beads.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(budget_ms) +
         "\r\nX-Api-Key: key1\r\n" + more + "\r\n";
}

}  // namespace

// `argv[1]` is the path of record.txt.
int main(int argc, char** argv) {
  const bool trouble = HasTrouble();
  record log(argc > 1 ? argv[1] : "review/1/record.txt");
  temporary_folder folder;
  store platform(log);
  run_list runs;
  std::atomic<int64_t> spoils_until{-1};
  std::atomic<int> answers_in_trouble{0};
  std::atomic<int> endless_sent{0};
  std::vector<std::unique_ptr<server>> servers;
  for (const std::string name : {"i-a1", "i-a2", "i-a3"}) {
    servers.push_back(
        std::make_unique<server>(server::options{.id = name,
                                                 .service = "loom",
                                                 .zone = "mids-a",
                                                 .models = {"m1"},
                                                 .events = 7,
                                                 .event_ms = 150},
                                 runs, log));
    // One of the three servers (0.33 of them) spoils answers.
    if (name == "i-a1") {
      server* spoiling = servers.back().get();
      spoiling->answer = [&, spoiling](channel& connection,
                                       const message& request) {
        if (NowMs() >= spoils_until ||
            ++answers_in_trouble % kAnswersPerEndless != 0)
          return spoiling->AnswerStream(connection, request);
        ++endless_sent;
        log.Write("endless answer to " + request.Header("Attempt-Id"));
        // Without a length: the body ends with its channel.
        if (!connection.Send("HTTP/1.1 200 OK\r\n" +
                             spoiling->SealedHead(request) +
                             "Content-Type: text/event-stream\r\n"
                             "Connection: close\r\n\r\n"))
          return false;
        for (int i = 1; i <= 3; ++i) {
          SleepMs(150);
          if (!connection.Send("id: " + std::to_string(i) + "\ndata: piece " +
                               std::to_string(i) + "\n\n"))
            return false;
        }
        const std::string piece(4096, '\n');
        int64_t bytes = 0;
        while (connection.Send(piece))
          bytes += 4096;
        log.Write("the caller closed the endless answer to " +
                  request.Header("Attempt-Id") + " after " +
                  std::to_string(bytes) + " bytes");
        return false;
      };
    }
    platform.Put("servers", name, servers.back()->Entry());
  }
  for (const std::string name : {"i-t1", "i-t2", "i-t3"}) {
    servers.push_back(
        std::make_unique<server>(server::options{.id = name,
                                                 .service = "till",
                                                 .zone = "mids-a",
                                                 .slots = 6,
                                                 .work_ms = 60},
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

  std::atomic<bool> over{false};
  std::atomic<int> next_id{0};
  std::vector<std::thread> clients;
  // Readers of patterns, a third of them at each node.
  for (int client = 0; client < kReaders; ++client) {
    clients.emplace_back([&, client] {
      SleepMs(client * 20);
      const node& at = *nodes[static_cast<std::size_t>(client) % 3];
      while (!over) {
        const auto kept = Connect(at.ip(), at.front());
        const std::string id = "p" + std::to_string(++next_id);
        if (kept && kept->Send(Request("POST /pattern/a", id, 13000,
                                       "Model: m1\r\nToken-Count: 9190,49\r\n"
                                       "Prompt-Prefix: aa:6300,b" +
                                           std::to_string(client) +
                                           ":2890\r\nContent-Length: 0\r\n")))
          kept->ReadAnswer(13000);
        SleepMs(100);
      }
    });
  }
  for (int client = 0; client < kShopClients; ++client) {
    clients.emplace_back([&, client] {
      SleepMs(client * 40);
      const node& at = *nodes[static_cast<std::size_t>(client) % 3];
      const bool looks = client % 2 == 0;
      std::unique_ptr<channel> kept;
      while (!over) {
        if (!kept)
          kept = Connect(at.ip(), at.front());
        if (!kept) {
          SleepMs(100);
          continue;
        }
        shop_request item;
        item.id = "s" + std::to_string(++next_id);
        item.node = at.name();
        item.route = looks ? "stock-look" : "order-place";
        item.sent_ms = NowMs();
        kept->Send(Request(looks ? "GET /stock/a" : "POST /order/a", item.id,
                           kBudgetMs, looks ? "" : "Content-Length: 0\r\n"));
        const auto answer = kept->ReadAnswer(kBudgetMs);
        if (answer.how == channel::end::complete) {
          item.answered_after_ms = NowMs() - item.sent_ms;
          item.status = answer.status;
        }
        if (answer.how != channel::end::complete || answer.closes)
          kept.reset();
        {
          const std::lock_guard lock(sent_mutex);
          shop_requests.push_back(item);
        }
        SleepMs(400);
      }
    });
  }
  SleepMs(kCalmMs);
  const int64_t trouble_at = NowMs();
  log.Write("the trouble begins");
  if (trouble)
    spoils_until = NowMs() + kSpoilMs;
  SleepMs(kTroubleMs);
  over = true;
  for (std::thread& client : clients)
    client.join();

  int late = 0;
  int very_late = 0;
  int in_trouble = 0;
  std::vector<int64_t> times;
  for (const shop_request& item : shop_requests) {
    const bool is_late =
        item.answered_after_ms < 0 || item.answered_after_ms > kTimeoutMs;
    const bool is_very_late = item.answered_after_ms < 0 ||
                              item.answered_after_ms > kTimeoutMs + kSlackMs;
    late += is_late ? 1 : 0;
    very_late += is_very_late ? 1 : 0;
    in_trouble += item.sent_ms >= trouble_at ? 1 : 0;
    if (item.answered_after_ms >= 0)
      times.push_back(item.answered_after_ms);
    log.Write("request " + item.id + " (" + item.route + ") to " + item.node +
              " sent " + std::to_string(item.sent_ms - trouble_at) +
              " ms from the trouble, answered after " +
              std::to_string(item.answered_after_ms) + " ms with " +
              std::to_string(item.status) +
              (is_very_late ? ", no answer 0.5 s after timeoutMs"
               : is_late    ? ", unanswered at timeoutMs"
                            : ""));
  }
  // CONFIG as RULES.md has it under "Config": eight or more of the requests
  // that last longer than timeoutMs, and over a quarter of them.
  const bool broken = very_late >= 8 && 4 * very_late > late;
  const std::string summary =
      std::to_string(shop_requests.size()) + " shop requests (" +
      std::to_string(in_trouble) + " since the trouble began), " +
      std::to_string(late) + " unanswered at timeoutMs, " +
      std::to_string(very_late) + " of them 0.5 s later; " +
      std::to_string(endless_sent) + " endless answers of " +
      std::to_string(answers_in_trouble) + " of their server in 5 s: CONFIG " +
      (broken ? "broken" : "held");
  log.Write(summary);
  std::cout << summary << std::endl;
  const bool ran = !times.empty() && (!trouble || endless_sent > 0);
  EndScript(nodes, folder, !ran ? 2 : broken ? 1 : 0);
}
