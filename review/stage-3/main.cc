// stage SCENARIO FOLDER RECORD: plays one script of the review in the folder of
// the repository. FOLDER takes settings and logs. Exits with 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.

#include <cstdio>
#include <string>

#include "stage.h"

namespace stage {
namespace {

// The drill: the store is away for a moment and comes back from a copy some
// seconds old.
constexpr int64_t kAwayMs = 500;
constexpr int64_t kCopyAgeMs = 5000;
// From the store's return to the operator's next config.
constexpr int64_t kBackToConfigurationMs = 1500;
// From the holder's SIGTERM to the drill; less than the age of the copy.
constexpr int64_t kRestartToDrillMs = 4000;
// From the store's return to the loss of power, and how long nodes are down.
constexpr int64_t kBackToPowerLossMs = 2000;
constexpr int64_t kDarkMs = 1000;
// From the store's return to the next planned restart.
constexpr int64_t kBackToRestartMs = 1500;

// A request with this body crashes the model servers that run it.
constexpr char kDeadlyBody[] = "{\"pattern\":\"deadly\"}";

constexpr char kOldKey[] = "bead-key-2";
constexpr char kStableKey[] = "bead-key-1";

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Configuration(int version, bool has_old_key, bool has_new_route) {
  std::string routes =
      R"({"name":"stock","host":"shop.example","pathPrefix":"/stock/",)"
      R"("service":"till","kind":"idempotent","timeoutMs":4000,)"
      R"("targetLatencyMs":300,"priority":2,"maxAttempts":2},)"
      R"({"name":"pattern","host":"shop.example","pathPrefix":"/pattern/",)"
      R"("service":"loom","kind":"streaming","timeoutMs":4000,)"
      R"("targetLatencyMs":800,"gapAimMs":500,"priority":1,"maxAttempts":2,)"
      R"("resumable":true,"sticky":true},)"
      R"({"name":"access","host":"shop.example","pathPrefix":"/access/",)"
      R"("service":"loom","kind":"streaming","timeoutMs":13000,)"
      R"("targetLatencyMs":2000,"gapAimMs":500,"priority":1,"maxAttempts":2,)"
      R"("resumable":true,"sticky":true},)"
      R"({"name":"draft","host":"shop.example","pathPrefix":"/draft/",)"
      R"("service":"loom","kind":"streaming","timeoutMs":4000,)"
      R"("targetLatencyMs":800,"gapAimMs":500,"priority":1,"maxAttempts":1,)"
      R"("resumable":false,"sticky":true})";
  if (has_new_route)
    routes += R"(,{"name":"gift","host":"shop.example","pathPrefix":"/gift/",)"
              R"("service":"till","kind":"idempotent","timeoutMs":4000,)"
              R"("targetLatencyMs":300,"priority":2,"maxAttempts":2})";
  std::string models;
  for (int i = 0; i < 12; ++i)
    models += std::string(i > 0 ? "," : "") + R"({"name":"m)" +
              std::to_string(i) +
              R"(","weightsMb":72700,"loadS":0.4,"diskS":0.4,"warmS":0.4,)"
              R"("adapters":0,"adapterMb":66})";
  const std::string old_key =
      has_old_key ? std::string(",\"") + kOldKey + "\"" : "";
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"services":[{"name":"till","healthPath":"/healthz"},)" +
         R"({"name":"loom","healthPath":"/healthz","engine":{)" +
         R"("weightsMb":230000,"adapterSlots":8,"loadsPerS":1.6,"models":[)" +
         models +
         R"(]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)" +
         R"("headerTimeoutMs":5000,"idleTimeoutMs":15000},"tenants":[)" +
         R"({"name":"beads","apiKeys":[")" + kStableKey + "\"" + old_key +
         R"(],"ratePerS":100000,"burst":200000,"unit":"token_rate",)" +
         R"("plainTokens":10}]})";
}

// The deployment: 8 nodes in 3 zones, 3 servers of a plain service, and 6
// model servers.
struct deployment {
  // Model servers crash on requests with `deadly_body`, if any.
  deployment(const std::string& folder,
             const std::string& file,
             const std::string& deadly_body,
             bool crashes_before_head,
             bool has_two_versions)
      : log(file), platform(log) {
    platform.Put("op", "config", Configuration(7, true, false));
    static const char* const kZones[] = {"mids-a", "mids-b", "mids-c"};
    for (int i = 0; i < 3; ++i)
      AddServer({.id = "till-" + std::to_string(i),
                 .service = "till",
                 .zone = kZones[i]});
    for (int i = 0; i < 6; ++i)
      AddServer({.id = "loom-" + std::to_string(i),
                 .service = "loom",
                 .zone = kZones[i % 3],
                 .version = has_two_versions && i >= 3 ? "42" : "41",
                 .slots = 64,
                 .is_engine = true,
                 .models = has_two_versions
                               ? std::vector<std::string>{"m0"}
                               : std::vector<std::string>{"m" + std::to_string(
                                                                    i % 4)},
                 .deadly_body = deadly_body,
                 .crashes_before_head = crashes_before_head});
    SleepMs(1000);
    nodes = std::make_unique<fleet>(folder, platform.address(), log);
    callers = std::make_unique<clients>(*nodes, log);
  }

  void AddServer(const server::options& options) {
    servers.push_back(std::make_unique<server>(options, platform, runs, log));
  }

  bool WaitUntilReady() const {
    for (int i = 0; i < 150; ++i) {
      if (nodes->AreAllReady())
        return true;
      SleepMs(100);
    }
    return false;
  }

  // The node that the store's row names as the holder of placement, and its
  // epoch number.
  std::pair<std::string, int64_t> Holder() {
    const auto value = platform.Value("jasminepath-authority", "placement");
    if (!value)
      return {"", 0};
    const json root = json_reader(*value).Value();
    return {root.Text("holder"), root.Number("epoch").value_or(0)};
  }

  record log;
  store platform;
  server_log runs;
  std::vector<std::unique_ptr<server>> servers;
  std::unique_ptr<fleet> nodes;
  std::unique_ptr<clients> callers;
};

int Finish(deployment& site, int code, const std::string& verdict) {
  site.callers->End();
  site.log.Line("verdict " + verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  site.nodes->End();
  return code;
}

call_options StockLook(const std::string& what,
                       const std::string& path,
                       const std::string& key) {
  call_options call;
  call.what = what;
  call.path = path;
  call.key = key;
  return call;
}

// A configuration that the store acknowledges after the drill takes a key away
// and adds a route.
int PlayConfiguration(deployment& site) {
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    site.callers->Start(
        i, 200, [] { return StockLook("stable", "/stock/a", kStableKey); });
    site.callers->Start(
        i, 250, [] { return StockLook("old-key", "/stock/b", kOldKey); });
    site.callers->Start(
        i, 250, [] { return StockLook("new-route", "/gift/c", kStableKey); });
  }
  SleepMs(10000);
  if (HasTrouble())
    site.platform.Drill(kAwayMs, kCopyAgeMs);
  else
    SleepMs(kAwayMs);
  const int64_t back_at = NowMs();
  SleepMs(kBackToConfigurationMs);
  const auto acknowledged =
      site.platform.Put("op", "config", Configuration(9, false, true));
  const int64_t acknowledged_at = NowMs();
  if (!acknowledged)
    return Finish(site, kCouldNotRun, "the store did not take the config");
  site.log.Line("store acknowledged config 9 at version " +
                std::to_string(*acknowledged));
  // The store is stable for longer than contactMs, and the bound of config is
  // over even if it is stretched by outerMs.
  const int64_t judged_from =
      std::max(acknowledged_at + kConfigMs + kOuterMs, back_at + kContactMs) +
      500;
  SleepMs(judged_from + 12000 - NowMs());
  int64_t stable = 0;
  int64_t stable_served = 0;
  int64_t old_key = 0;
  int64_t old_key_served = 0;
  int64_t new_route = 0;
  int64_t new_route_refused = 0;
  std::set<std::size_t> stale_nodes;
  for (const call_result& call : site.callers->All()) {
    if (call.sent_at < judged_from || call.status == 0)
      continue;
    if (call.what == "stable") {
      ++stable;
      stable_served += call.status == 200 ? 1 : 0;
    } else if (call.what == "old-key") {
      ++old_key;
      if (call.status == 200) {
        ++old_key_served;
        stale_nodes.insert(call.node);
      }
    } else {
      ++new_route;
      if (call.status == 404) {
        ++new_route_refused;
        stale_nodes.insert(call.node);
      }
    }
  }
  std::string verdict =
      "requests sent " + std::to_string(judged_from - acknowledged_at) +
      " ms or more after the ack of the config: " +
      std::to_string(old_key_served) + " of " + std::to_string(old_key) +
      " with the dropped key were run, " + std::to_string(new_route_refused) +
      " of " + std::to_string(new_route) + " on the added route got 404, at " +
      std::to_string(stale_nodes.size()) + " of 8 nodes; " +
      std::to_string(stable_served) + " of " + std::to_string(stable) +
      " others were served; the store refused " +
      std::to_string(site.platform.refused_calls()) + " calls with 429";
  if (stable_served < 100 || old_key < 100 || new_route < 100)
    return Finish(site, kCouldNotRun, "too few requests: " + verdict);
  const bool broken = old_key_served + new_route_refused > 0;
  return Finish(site, broken ? kBroken : kHeld,
                (broken ? "CONFIG broken: " : "CONFIG held: ") + verdict);
}

// Counts, for each server and epoch number, the holders whose orders it took.
std::string FindSharedEpochs(deployment& site, bool* broken) {
  std::map<std::pair<std::string, int64_t>, std::set<std::string>> holders;
  std::map<int64_t, int64_t> orders;
  for (const server_event& event : site.runs.All()) {
    if (event.holder.empty() || event.status == 412)
      continue;
    holders[{event.server, event.fence}].insert(event.holder);
    ++orders[event.fence];
  }
  std::string out;
  for (const auto& [key, names] : holders) {
    if (names.size() < 2)
      continue;
    *broken = true;
    out += " " + key.first + " took orders with epoch number " +
           std::to_string(key.second) + " from";
    for (const std::string& name : names)
      out += " " + name;
    out += ";";
  }
  out += " orders by epoch number:";
  for (const auto& [fence, count] : orders)
    out += " " + std::to_string(fence) + ": " + std::to_string(count);
  return out;
}

// Restarts the node that holds placement as planned work; the successor holds
// it then.
bool RestartHolder(deployment& site) {
  const auto index = site.nodes->IndexOf(site.Holder().first);
  if (!index)
    return false;
  site.nodes->Stop(*index);
  return true;
}

std::string ZoneOf(const deployment& site, const std::string& node) {
  const auto index = site.nodes->IndexOf(node);
  return index ? site.nodes->zone(*index) : "";
}

// The node that holds placement is restarted, its successor gives orders, and
// the store comes back from a copy made before that.
int PlayHolders(deployment& site) {
  std::atomic<int>& next = *new std::atomic<int>(0);
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    site.callers->Start(i, 400, [&next] {
      call_options call;
      call.what = "pattern";
      call.method = "POST";
      call.path = "/pattern/p";
      call.key = kStableKey;
      // Demand moves on among the models all the time.
      call.model = "m" + std::to_string(next++ / 6 % 12);
      return call;
    });
  }
  SleepMs(6000);
  const auto first = site.Holder();
  if (!RestartHolder(site))
    return Finish(site, kCouldNotRun, "no holder");
  SleepMs(kRestartToDrillMs);
  const auto second = site.Holder();
  site.log.Line("holder " + second.first + " epoch number " +
                std::to_string(second.second));
  if (second.second != first.second + 1 || second.first == first.first)
    return Finish(site, kCouldNotRun, "no successor of " + first.first);
  if (HasTrouble())
    site.platform.Drill(kAwayMs, kCopyAgeMs);
  else
    SleepMs(kAwayMs);
  SleepMs(kBackToRestartMs);
  // The restarts go on, if need be: a successor in another zone than the first
  // node would be the first to take the row again.
  const auto index = site.nodes->IndexOf(second.first);
  if (index && ZoneOf(site, second.first) != ZoneOf(site, first.first))
    site.nodes->Stop(*index);
  SleepMs(14000);
  bool broken = false;
  const std::string verdict = FindSharedEpochs(site, &broken);
  return Finish(site, broken ? kBroken : kHeld,
                (broken ? "ONE broken:" : "ONE held:") + verdict);
}

call_options DeadlyRequest() {
  call_options deadly;
  deadly.what = "deadly";
  deadly.method = "POST";
  deadly.path = "/draft/d";
  deadly.key = kStableKey;
  deadly.model = "m0";
  deadly.body = kDeadlyBody;
  deadly.last_part = "dead1e55";
  return deadly;
}

struct deadly_count {
  // Requests that crash servers: sent, and those sent later than contactMs
  // after the third crash that reached a server.
  int64_t sent = 0;
  int64_t late = 0;
  // All others, and those that had run and got no whole answer.
  int64_t sound = 0;
  int64_t sound_lost = 0;
  std::string text;
};

deadly_count CountDeadly(deployment& site) {
  std::vector<int64_t> crashes;
  std::set<std::string> ran;
  for (const server_event& event : site.runs.All()) {
    if (event.status == kCrashed)
      crashes.push_back(event.at);
    if (!event.request.empty())
      ran.insert(event.request);
  }
  const int64_t judged_from =
      crashes.size() < 3 ? NowMs() : crashes[2] + kContactMs;
  deadly_count count;
  for (const call_result& call : site.callers->All()) {
    if (call.what == "sound") {
      ++count.sound;
      count.sound_lost += call.status != 200 && ran.contains(call.id) ? 1 : 0;
      continue;
    }
    ++count.sent;
    count.late += call.sent_at > judged_from && ran.contains(call.id) ? 1 : 0;
  }
  count.text = "the request was sent " + std::to_string(count.sent) +
               " times and crashed " + std::to_string(crashes.size()) +
               " servers; " + std::to_string(count.late) +
               " retries sent more than contactMs after the third crash "
               "reached a server; of " +
               std::to_string(count.sound) + " other requests " +
               std::to_string(count.sound_lost) +
               " had run and got no whole answer";
  return count;
}

// One request crashes each server that runs it, after the first event of its
// answer, and comes again at any machine.
int PlayDeadly(deployment& site) {
  std::atomic<int>& next = *new std::atomic<int>(0);
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    site.callers->Start(i, 300, [&next] {
      call_options call;
      call.what = "sound";
      call.method = "POST";
      call.path = "/draft/s";
      call.key = kStableKey;
      call.model = "m" + std::to_string(next++ % 4);
      return call;
    });
  }
  SleepMs(4000);
  const call_options deadly = DeadlyRequest();
  for (std::size_t i = 0; i < 24; ++i) {
    site.callers->Once(i % site.nodes->size(), deadly);
    SleepMs(1200);
  }
  SleepMs(3000);
  const deadly_count count = CountDeadly(site);
  if (count.sent < 20 || count.sound < 300)
    return Finish(site, kCouldNotRun, "too few requests: " + count.text);
  const bool broken = count.late > 3;
  return Finish(site, broken ? kBroken : kHeld,
                (broken ? "BUDGET broken: " : "BUDGET held: ") + count.text);
}

// A request that crashes servers before they answer comes again at one node,
// which refuses it after the third crash and is then restarted, twice.
int PlayForgotten(deployment& site) {
  std::atomic<int>& next = *new std::atomic<int>(0);
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    site.callers->Start(i, 300, [&next] {
      call_options call;
      call.what = "sound";
      call.method = "POST";
      call.path = "/draft/s";
      call.key = kStableKey;
      call.model = "m" + std::to_string(next++ % 4);
      return call;
    });
  }
  SleepMs(4000);
  constexpr std::size_t kNode = 0;
  const call_options deadly = DeadlyRequest();
  // Sends the request while the node is in touch: it has run for longer than
  // contactMs and was not told to stop.
  const auto send_for = [&](int64_t ms) {
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      if (site.nodes->IsInRotation(kNode) &&
          NowMs() - site.nodes->started_at(kNode) > kContactMs + 200)
        site.callers->Once(kNode, deadly);
      SleepMs(1200);
    }
  };
  send_for(14000);
  for (int restarts = 0; restarts < 2; ++restarts) {
    if (HasTrouble()) {
      SleepMs(1000);
      site.nodes->Stop(kNode);
      SleepMs(6000);
    }
    send_for(14000);
  }
  SleepMs(3000);
  const deadly_count count = CountDeadly(site);
  if (count.sent < 15 || count.sound < 300)
    return Finish(site, kCouldNotRun, "too few requests: " + count.text);
  const bool broken = count.late > 3;
  return Finish(site, broken ? kBroken : kHeld,
                (broken ? "BUDGET broken: " : "BUDGET held: ") + count.text);
}

// Number of the last whole event in a stream's bytes, 0 if there is none.
int LastEvent(const std::string& body) {
  int last = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    if (body.find("\n\n", at) != std::string::npos)
      last = std::atoi(body.c_str() + at + 4);
  }
  return last;
}

// The software version of the server that wrote the events.
std::string VersionIn(const std::string& body) {
  const std::size_t at = body.find(" version ");
  return at == std::string::npos ? "" : body.substr(at + 1, 10);
}

// Streams begin at two software versions. The store comes back from a copy made
// before that; 2 s later all nodes lose power.
int PlayStreams(deployment& site) {
  constexpr int kStreams = 32;
  constexpr int kTries = 3;
  std::atomic<int>& taken_up = *new std::atomic<int>(0);
  std::atomic<int>& gone_on = *new std::atomic<int>(0);
  std::atomic<int>& mixed = *new std::atomic<int>(0);
  std::atomic<int>& whole = *new std::atomic<int>(0);
  std::atomic<int>& begun = *new std::atomic<int>(0);
  std::atomic<int>& tried = *new std::atomic<int>(0);
  std::atomic<int64_t>& take_up_at = *new std::atomic<int64_t>(0);
  call_options stream;
  stream.what = "stream";
  stream.method = "POST";
  stream.path = "/access/s";
  stream.key = kStableKey;
  stream.model = "m0";
  stream.wait_ms = 13000;
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    site.callers->Start(i, 300, [] {
      call_options call;
      call.what = "sound";
      call.method = "POST";
      call.path = "/draft/s";
      call.key = kStableKey;
      call.model = "m0";
      return call;
    });
  }
  SleepMs(5000);
  for (int i = 0; i < kStreams; ++i) {
    std::thread([&, stream, i] {
      call_result first;
      const std::size_t nodes = site.nodes->size();
      const int64_t began = NowMs();
      const http_message answer =
          site.callers->Ask(static_cast<std::size_t>(i) % nodes, stream, first);
      const int last = LastEvent(answer.body);
      if (last >= 38) {
        ++whole;
        return;
      }
      if (last == 0)
        return;
      while (take_up_at == 0 || NowMs() < take_up_at)
        SleepMs(20);
      ++taken_up;
      // Another node of the client's zone.
      for (int k = 1; k <= kTries; ++k) {
        call_options again = stream;
        again.what = "taken-up";
        again.wait_ms = began + stream.wait_ms - NowMs();
        again.headers = "Last-Event-Id: " + std::to_string(last) +
                        "\r\nResumes: " + first.id + "\r\n";
        call_result next;
        const http_message rest = site.callers->Ask(
            (static_cast<std::size_t>(i) + static_cast<std::size_t>(k) * 3) %
                nodes,
            again, next);
        if (LastEvent(rest.body) > last) {
          site.log.Line("stream " + first.id + " " + VersionIn(answer.body) +
                        " went on as " + next.id + " " + VersionIn(rest.body));
          if (VersionIn(answer.body) != VersionIn(rest.body))
            ++mixed;
          ++gone_on;
          return;
        }
        SleepMs(static_cast<int64_t>(
            1000 * std::atof(rest.Header("Retry-After").c_str())));
      }
    }).detach();
    SleepMs(60);
  }
  SleepMs(500);
  if (HasTrouble())
    site.platform.Drill(kAwayMs, kCopyAgeMs);
  else
    SleepMs(kAwayMs);
  SleepMs(kBackToPowerLossMs);
  site.nodes->KillAll(kDarkMs);
  // All nodes have run, and the store has been stable, for over contactMs.
  SleepMs(kDarkMs + kContactMs + 500);
  take_up_at = NowMs();
  for (std::size_t i = 0; i < site.nodes->size(); ++i) {
    if (NowMs() - site.nodes->started_at(i) <= kContactMs)
      return Finish(site, kCouldNotRun, "a node started late");
  }
  for (int i = 0; i < 24; ++i) {
    std::thread([&, stream, i] {
      call_options fresh = stream;
      fresh.what = "new";
      fresh.wait_ms = 3000;
      call_result result;
      ++tried;
      const http_message answer = site.callers->Ask(
          static_cast<std::size_t>(i) % site.nodes->size(), fresh, result);
      if (LastEvent(answer.body) > 0)
        ++begun;
    }).detach();
    SleepMs(60);
  }
  SleepMs(6000);
  const std::string verdict =
      "of " + std::to_string(taken_up) + " streams taken up " +
      std::to_string(gone_on) + " went on (" + std::to_string(mixed) +
      " at another version), of " + std::to_string(tried) + " new ones " +
      std::to_string(begun) + " began";
  if (taken_up < 12 || begun < 12 || !site.nodes->AreAllReady())
    return Finish(site, kCouldNotRun, "too few streams: " + verdict);
  // The share that goes on is under half of the share of new ones.
  const bool broken = 2 * gone_on * tried < begun * taken_up;
  return Finish(site, broken ? kBroken : kHeld,
                (broken ? "LOST broken: " : "LOST held: ") + verdict);
}

int Play(const std::string& scenario,
         const std::string& folder,
         const std::string& file) {
  // Never destroyed, because threads of stand-ins and clients go on.
  const bool is_forgotten = scenario == "forgotten";
  const bool has_deadly =
      is_forgotten || (scenario == "deadly" && HasTrouble());
  deployment& site =
      *new deployment(folder, file, has_deadly ? kDeadlyBody : "", is_forgotten,
                      scenario == "streams");
  if (!site.WaitUntilReady())
    return Finish(site, kCouldNotRun, "the nodes were not ready in 15 s");
  site.log.Line("all nodes ready");
  if (scenario == "configuration")
    return PlayConfiguration(site);
  if (scenario == "deadly")
    return PlayDeadly(site);
  if (scenario == "forgotten")
    return PlayForgotten(site);
  if (scenario == "streams")
    return PlayStreams(site);
  if (scenario == "holders")
    return PlayHolders(site);
  return Finish(site, kCouldNotRun, "no such scenario");
}

}  // namespace
}  // namespace stage

int main(int argc, char** argv) {
  if (argc != 4)
    return stage::kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  const int code = stage::Play(argv[1], argv[2], argv[3]);
  // Threads of stand-ins and clients still run.
  std::fflush(nullptr);
  _exit(code);
}
