// A small deployment for the scripts of the review: the project's nodes as
// separate processes, and stand-ins for the platform's store, the servers, the
// operator and the clients in this process.
#ifndef REVIEW_STAGE_3_STAGE_H_
#define REVIEW_STAGE_3_STAGE_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fstream>
#include <memory>

#include "wire.h"

namespace stage {

// The exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// The bounds of the site file of threadwell-jp that the scripts use.
inline constexpr int64_t kContactMs = 3000;
inline constexpr int64_t kConfigMs = 2000;
inline constexpr int64_t kOuterMs = 5000;
inline constexpr int64_t kDrainMs = 2000;
inline constexpr int64_t kHeartbeatMs = 1200;
inline constexpr int64_t kGraceS = 8;
inline constexpr int64_t kLeaseMs = 3000;

// Writes lines with the time to record.txt.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    out_ << NowMs() << " " << text << "\n";
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct row {
  std::string value;  // As sent, in base64.
  int64_t version = 0;
  bool removed = false;
};

using row_key = std::pair<std::string, std::string>;  // Table and key.
using row_map = std::map<row_key, row>;

// The platform's store. It keeps copies of its state, from which it can come
// back in a drill: versions go back and are given out again, a read from a
// version that it doesn't have gets 410, and Store-Era rises by one.
class store {
 public:
  explicit store(record& log)
      : log_(log),
        listener_("127.0.0.1", [this](channel& c, const http_message& m) {
          return Handle(c, m);
        }) {
    std::thread([this] {
      while (true) {
        {
          const std::lock_guard lock(mutex_);
          copies_.push_back({NowMs(), rows_, version_});
          if (copies_.size() > 300)
            copies_.pop_front();
        }
        SleepMs(100);
      }
    }).detach();
  }

  std::string address() const { return listener_.address(); }

  // Writes or removes a row as the operator or a server does. Returns the
  // version that the store acknowledged, or nullopt while it is away.
  std::optional<int64_t> Put(const std::string& table,
                             const std::string& key,
                             const std::string& value) {
    return Change(table, key, {ToBase64(value), 0, false});
  }
  std::optional<int64_t> Remove(const std::string& table,
                                const std::string& key) {
    return Change(table, key, {"", 0, true});
  }
  std::optional<std::string> Value(const std::string& table,
                                   const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    if (found == rows_.end() || found->second.removed)
      return std::nullopt;
    return FromBase64(found->second.value);
  }
  int64_t version() {
    const std::lock_guard lock(mutex_);
    return version_;
  }

  // The drill: the store is away for `away_ms` and comes back from the copy
  // made `age_ms` before it went. Returns the versions before and after.
  std::pair<int64_t, int64_t> Drill(int64_t away_ms, int64_t age_ms) {
    copy back;
    int64_t before = 0;
    {
      const std::lock_guard lock(mutex_);
      is_away_ = true;
      before = version_;
      for (const copy& each : copies_) {
        if (each.made_at <= NowMs() - age_ms)
          back = each;
      }
    }
    changed_.notify_all();
    log_.Line("store away at version " + std::to_string(before));
    SleepMs(away_ms);
    {
      const std::lock_guard lock(mutex_);
      rows_ = back.rows;
      version_ = back.version;
      is_away_ = false;
      ++era_;
      copies_.clear();
    }
    log_.Line("store back at version " + std::to_string(back.version) +
              " of a copy " + std::to_string(age_ms) + " ms old, Store-Era 2");
    return {before, back.version};
  }

  int64_t refused_calls() {
    const std::lock_guard lock(mutex_);
    return refused_;
  }

 private:
  struct copy {
    int64_t made_at = 0;
    row_map rows;
    int64_t version = 0;
  };

  static constexpr int64_t kCallMs = 4;
  static constexpr int64_t kReadsPerS = 2000;
  static constexpr int64_t kWritesPerS = 400;

  std::optional<int64_t> Change(const std::string& table,
                                const std::string& key,
                                row next) {
    std::optional<int64_t> acknowledged;
    {
      const std::lock_guard lock(mutex_);
      if (is_away_)
        return std::nullopt;
      next.version = ++version_;
      rows_[{table, key}] = next;
      acknowledged = version_;
    }
    changed_.notify_all();
    return acknowledged;
  }

  // Whether a call is within the rate; called with the lock held.
  bool IsWithinRate(bool is_write) {
    const int64_t second = NowMs() / 1000;
    if (second != rate_second_) {
      rate_second_ = second;
      reads_ = writes_ = 0;
    }
    const bool within =
        is_write ? ++writes_ <= kWritesPerS : ++reads_ <= kReadsPerS;
    refused_ += within ? 0 : 1;
    return within;
  }

  std::string Era() {
    return "Content-Type: application/json\r\nStore-Era: " +
           std::to_string(era_) + "\r\n";
  }

  // The members of an answer about rows; called with the lock held.
  std::string State() {
    return "\"ver\":" + std::to_string(version_) +
           ",\"nowMs\":" + std::to_string(NowMs() + 7000000);
  }

  static std::string RowJson(const row_key& key, const row& item) {
    return "{\"table\":\"" + key.first + "\",\"part\":\"\",\"key\":\"" +
           key.second + "\",\"value\":\"" + item.value +
           "\",\"ver\":" + std::to_string(item.version) +
           (item.removed ? ",\"removed\":true}" : "}");
  }

  bool Handle(channel& to, const http_message& request) {
    SleepMs(kCallMs);
    const std::string target = request.SecondWord();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    std::string answer;
    if (is_away_)
      answer = Answer(503, "", Era());
    else if (!IsWithinRate(path == "/rows-tx"))
      answer = Answer(429, "", Era());
    else if (path == "/rows-tx")
      answer = Transact(request.body);
    else if (path == "/rows-get")
      answer = Get(target);
    else if (path == "/rows-feed")
      answer = Feed(target, lock);
    else
      answer = Answer(404, "", Era());
    lock.unlock();
    return to.Write(answer);
  }

  std::string Transact(const std::string& body) {
    const json root = json_reader(body).Value();
    std::string conflicts;
    bool is_met = true;
    for (const json& condition : root.List("expectedRev")) {
      const row_key key{condition.Text("table"), condition.Text("key")};
      const auto found = rows_.find(key);
      const bool exists = found != rows_.end() && !found->second.removed;
      const int64_t version = exists ? found->second.version : 0;
      if (exists)
        conflicts +=
            (conflicts.empty() ? "" : ",") + RowJson(key, found->second);
      is_met = is_met && condition.Number("ver").value_or(-1) == version;
    }
    if (!is_met)
      return Answer(412, "{\"rows\":[" + conflicts + "]," + State() + "}",
                    Era());
    ++version_;
    for (const json& item : root.List("writes")) {
      const row_key key{item.Text("table"), item.Text("key")};
      rows_[key] = {item.Text("value"), version_, false};
      if (key.first == "jasminepath-authority")
        log_.Line("store wrote " + key.first + " ver " +
                  std::to_string(version_) + " " +
                  FromBase64(item.Text("value")));
    }
    for (const json& item : root.List("remove"))
      rows_[{item.Text("table"), item.Text("key")}] = {"", version_, true};
    changed_.notify_all();
    return Answer(200, "{" + State() + "}", Era());
  }

  std::string Get(const std::string& target) {
    const std::string table = QueryValue(target, "table");
    const std::string from = QueryValue(target, "from");
    std::string rows;
    for (const auto& [key, item] : rows_) {
      if (key.first == table && !item.removed && key.second >= from)
        rows += (rows.empty() ? "" : ",") + RowJson(key, item);
    }
    return Answer(
        200, "{\"rows\":[" + rows + "],\"morePages\":false," + State() + "}",
        Era());
  }

  std::string Feed(const std::string& target,
                   std::unique_lock<std::mutex>& lock) {
    const std::string table = QueryValue(target, "table");
    const int64_t after =
        std::strtoll(QueryValue(target, "after").c_str(), nullptr, 10);
    const int64_t wait_ms =
        std::strtoll(QueryValue(target, "waitMs").c_str(), nullptr, 10);
    const int64_t until = NowMs() + wait_ms;
    while (true) {
      if (is_away_)
        return Answer(503, "", Era());
      if (after > version_)
        return Answer(410, "", Era());
      std::map<int64_t, std::string> changed;
      for (const auto& [key, item] : rows_) {
        if (key.first == table && item.version > after)
          changed[item.version] = RowJson(key, item);
      }
      if (!changed.empty() || NowMs() >= until) {
        std::string rows;
        for (const auto& [version, text] : changed)
          rows += (rows.empty() ? "" : ",") + text;
        return Answer(200, "{\"rows\":[" + rows + "]," + State() + "}", Era());
      }
      changed_.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
    }
  }

  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  row_map rows_;
  int64_t version_ = 100;
  int64_t era_ = 1;
  bool is_away_ = false;
  std::deque<copy> copies_;
  int64_t rate_second_ = -1;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  int64_t refused_ = 0;
  listener listener_;
};

// One run or order at a server, for the checks.
struct server_event {
  int64_t at = 0;
  std::string server;
  std::string request;  // The Attempt-Id of a run.
  std::string tenant;
  std::string holder;  // Of an order.
  int64_t fence = 0;
  int status = 0;  // The answer to the order.
};

// The status of an event that stands for a crash of the server.
inline constexpr int kCrashed = -1;

class server_log {
 public:
  void Add(server_event event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  std::vector<server_event> All() {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  std::mutex mutex_;
  std::vector<server_event> events_;
};

// A server of a plain service, or a model server that takes orders.
class server {
 public:
  struct options {
    std::string id = {};
    std::string service = {};
    std::string zone = {};
    std::string version = "1.0";
    int64_t slots = 6;
    bool is_engine = false;
    std::vector<std::string> models = {};
    std::vector<std::string> on_disk = {};
    int64_t load_ms = 400;
    int64_t work_ms = 20;
    // A request with this body crashes the server while it runs it: after the
    // first event of its answer, or before the answer's head.
    std::string deadly_body = {};
    bool crashes_before_head = false;
    int64_t down_ms = 3000;
  };

  server(options settings, store& platform, server_log& runs, record& log)
      : settings_(std::move(settings)),
        store_(platform),
        runs_(runs),
        log_(log),
        id_(settings_.id),
        models_(settings_.models.begin(), settings_.models.end()),
        on_disk_(settings_.on_disk.begin(), settings_.on_disk.end()),
        listener_("127.0.0.1", [this](channel& c, const http_message& m) {
          return Handle(c, m);
        }) {
    on_disk_.insert(models_.begin(), models_.end());
    const int64_t phase = static_cast<int64_t>(
        std::hash<std::string>()(settings_.id) % kHeartbeatMs);
    Register();
    std::thread([this, phase] {
      SleepMs(phase);
      while (true) {
        Register();
        SleepMs(kHeartbeatMs);
      }
    }).detach();
  }

  std::string id() {
    const std::lock_guard lock(mutex_);
    return id_;
  }

  // Leaves without reporting that it drains: its entry is removed, and it goes
  // on serving. Returns the version of the removal.
  std::optional<int64_t> LeaveUnannounced() {
    const std::lock_guard lock(register_mutex_);
    is_listed_ = false;
    return store_.Remove("servers", id());
  }

 private:
  void Register() {
    const std::lock_guard lock(register_mutex_);
    if (!is_listed_)
      return;
    const std::string entry = Entry();
    if (!entry.empty())
      store_.Put("servers", id(), entry);
  }

  // The process ends. Its entry lapses after three check-in intervals; the
  // server is back after some seconds with a new id, and empty.
  void Crash() {
    std::string gone;
    {
      const std::lock_guard lock(mutex_);
      if (is_down_)
        return;
      is_down_ = true;
      gone = id_;
    }
    log_.Line("crashed " + gone);
    runs_.Add({NowMs(), gone, "", "", "", 0, kCrashed});
    listener_.Close();
    std::thread([this, gone] {
      SleepMs(settings_.down_ms);
      {
        const std::lock_guard lock(mutex_);
        ++lives_;
        id_ = settings_.id + "-" + std::to_string(lives_);
        models_.clear();
        entry_count_ = orders_ = 0;
        highest_fence_ = -1;
        is_busy_ = is_down_ = false;
        log_.Line("started " + id_);
      }
      listener_.Open();
      Register();
      SleepMs(3 * kHeartbeatMs - settings_.down_ms);
      store_.Remove("servers", gone);
    }).detach();
  }

  // Unix milliseconds of the start of this life.
  int64_t Born() const { return 1796000000000 + lives_ * 10000; }

  std::string ModelsJson() {
    std::string out;
    for (const std::string& model : models_)
      out += std::string(out.empty() ? "" : ",") + "{\"name\":\"" + model +
             "\",\"version\":1,\"adapters\":[]}";
    return "[" + out + "]";
  }

  std::string AtHandJson() {
    std::string out;
    for (const std::string& model : on_disk_)
      out += std::string(out.empty() ? "" : ",") + "\"" + model + "\"";
    return "{\"inMemory\":[],\"onDisk\":[" + out + "]}";
  }

  std::string Entry() {
    const std::lock_guard lock(mutex_);
    if (is_down_)
      return "";
    ++entry_count_;
    std::string out =
        "{\"service\":\"" + settings_.service + "\",\"address\":\"" +
        listener_.address() + "\",\"zone\":\"" + settings_.zone +
        "\",\"version\":\"" + settings_.version +
        "\",\"slots\":" + std::to_string(settings_.slots) +
        ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":" +
        std::to_string(entry_count_) + ",\"born\":" + std::to_string(Born());
    if (settings_.is_engine)
      out += ",\"stage\":\"colocated\",\"models\":" + ModelsJson() +
             ",\"atHand\":" + AtHandJson();
    return out + "}";
  }

  bool Handle(channel& to, const http_message& request) {
    const std::string id = request.Header("Attempt-Id");
    const std::string instance = request.Header("Expect-Instance");
    const std::string self = this->id();
    const std::string names =
        "Attempt-Id: " + id + "\r\nInstance-Id: " + self + "\r\n";
    if (!instance.empty() && instance != self)
      return to.Write(Answer(421, "", names + "Not-Run: 1\r\n"));
    const std::string target = request.SecondWord();
    if (settings_.is_engine && target == "/order")
      return to.Write(Order(request.body));
    if (settings_.is_engine && target == "/report")
      return to.Write(Report());
    std::string model = request.Header("Model");
    model = model.substr(0, model.find('/'));
    if (settings_.is_engine) {
      const std::lock_guard lock(mutex_);
      if (!models_.contains(model))
        return to.Write(Answer(421, "", names + "Not-Run: 1\r\n"));
    }
    const std::string tenant = request.Header("Tenant");
    runs_.Add({NowMs(), self, id, tenant, "", 0, 0});
    log_.Line("ran " + id + " at " + self + " tenant=" + tenant + " " +
              request.Method() + " " + target);
    const std::string head = names + "Server-Seal: 1." + id + ".2\r\n";
    SleepMs(settings_.work_ms);
    if (!settings_.is_engine)
      return to.Write(Answer(200, "answer to " + id, head));
    const bool is_deadly =
        !settings_.deadly_body.empty() && request.body == settings_.deadly_body;
    if (is_deadly && settings_.crashes_before_head) {
      Crash();
      return false;
    }
    if (!to.Write("HTTP/1.1 200 OK\r\n" + head +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    const std::string last = request.Header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    const bool is_long = target.rfind("/access/", 0) == 0;
    for (int event = first; event <= (is_long ? 38 : 4); ++event) {
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + id + " " + std::to_string(event) +
                               " version " + settings_.version + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!to.Write(size + text + "\r\n"))
        return false;
      if (is_deadly) {
        SleepMs(30);
        Crash();
        return false;
      }
      SleepMs(is_long ? 300 : 15);
    }
    return to.Write("0\r\n\r\n");
  }

  std::string Order(const std::string& body) {
    const json root = json_reader(body).Value();
    const std::string holder = root.Text("holder");
    const std::string model = root.Text("model");
    const int64_t fence = root.Number("fenceToken").value_or(-1);
    int status = 0;
    {
      const std::lock_guard lock(mutex_);
      status = Decide(root, model, fence);
    }
    runs_.Add({NowMs(), id(), "", "", holder, fence, status});
    log_.Line("order at " + id() + " holder=" + holder + " fenceToken=" +
              std::to_string(fence) + " " + root.Text("operation") + " " +
              model + " -> " + std::to_string(status));
    return Answer(status, "{}");
  }

  // Called with the lock held.
  int Decide(const json& root, const std::string& model, int64_t fence) {
    const bool is_load = root.Text("operation") == "model_load";
    if (root.Text("holder").empty() || fence < 0 || model.empty())
      return 400;
    if (fence < highest_fence_)
      return 412;
    highest_fence_ = fence;
    if (is_busy_ || root.Number("expectedRev").value_or(orders_) != orders_)
      return 409;
    if (models_.contains(model) == is_load)
      return 200;
    ++orders_;
    is_busy_ = true;
    std::thread([this, model, is_load, life = lives_] {
      SleepMs(is_load ? settings_.load_ms : 50);
      {
        const std::lock_guard lock(mutex_);
        if (lives_ != life || is_down_)
          return;
        if (is_load) {
          models_.insert(model);
          on_disk_.insert(model);
        } else {
          models_.erase(model);
        }
        is_busy_ = false;
      }
      Register();
    }).detach();
    return 202;
  }

  std::string Report() {
    const std::lock_guard lock(mutex_);
    return Answer(
        200, "{\"stage\":\"colocated\",\"born\":" + std::to_string(Born()) +
                 ",\"models\":" + ModelsJson() +
                 ",\"busy\":" + (is_busy_ ? "true" : "false") +
                 ",\"seq\":" + std::to_string(orders_) +
                 ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":260000,"
                 "\"handles\":0,\"atHand\":" +
                 AtHandJson() + "}");
  }

  options settings_;
  store& store_;
  server_log& runs_;
  record& log_;
  std::mutex register_mutex_;
  bool is_listed_ = true;
  std::mutex mutex_;
  std::string id_;
  int64_t lives_ = 0;
  bool is_down_ = false;
  std::set<std::string> models_;
  std::set<std::string> on_disk_;
  int64_t entry_count_ = 0;
  int64_t orders_ = 0;
  int64_t highest_fence_ = -1;
  bool is_busy_ = false;
  listener listener_;
};

// The project's nodes, started with the command of the deploy file. Ended ones
// are started again after a short delay, as the platform does.
class fleet {
 public:
  static constexpr int kNodes = 8;

  fleet(const std::string& folder, const std::string& store, record& log)
      : folder_(folder), log_(log) {
    base_port_ = FreePorts();
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<node>());
      node& added = *nodes_.back();
      static const char* const kZones[] = {"mids-a", "mids-b", "mids-c"};
      added.zone = kZones[i % 3];
      added.name = "edge-" + added.zone + "-" + std::to_string(i / 3 + 1);
      added.ip = "127.0.1." + std::to_string(i + 1);
      WriteSettings(added, store);
    }
    for (const auto& each : nodes_)
      Start(*each);
    std::thread([this] { Supervise(); }).detach();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      std::thread([this, i] { Probe(*nodes_[i]); }).detach();
  }

  std::size_t size() const { return nodes_.size(); }
  const std::string& name(std::size_t i) const { return nodes_[i]->name; }
  const std::string& zone(std::size_t i) const { return nodes_[i]->zone; }
  const std::string& ip(std::size_t i) const { return nodes_[i]->ip; }
  int front_port() const { return base_port_; }
  // Two questions in a row without a 200 take a node out of rotation.
  bool IsInRotation(std::size_t i) const { return nodes_[i]->misses < 2; }
  // The start of the node's current process.
  int64_t started_at(std::size_t i) const { return nodes_[i]->started_at; }

  std::optional<std::size_t> IndexOf(const std::string& name) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->name == name)
        return i;
    }
    return std::nullopt;
  }

  bool AreAllReady() const {
    for (const auto& each : nodes_) {
      if (each->misses != 0)
        return false;
    }
    return true;
  }

  // SIGTERM now, and SIGKILL after the grace period.
  void Stop(std::size_t i) {
    const pid_t pid = nodes_[i]->pid;
    log_.Line("SIGTERM to " + nodes_[i]->name);
    kill(pid, SIGTERM);
    std::thread([this, i, pid] {
      SleepMs(kGraceS * 1000);
      if (nodes_[i]->pid == pid)
        kill(pid, SIGKILL);
    }).detach();
  }

  // SIGKILL to all at once; they are started again after `dark_ms`.
  void KillAll(int64_t dark_ms) {
    restart_delay_ms_ = dark_ms;
    log_.Line("SIGKILL to all nodes");
    for (const auto& each : nodes_) {
      const pid_t pid = each->pid;
      if (pid > 0)
        kill(pid, SIGKILL);
    }
  }

  void End() {
    is_ending_ = true;
    for (const auto& each : nodes_) {
      const pid_t pid = each->pid;
      if (pid > 0)
        kill(pid, SIGKILL);
    }
    for (int i = 0; i < 40; ++i) {
      bool any = false;
      for (const auto& each : nodes_)
        any = any || each->pid > 0;
      if (!any)
        return;
      SleepMs(50);
    }
  }

 private:
  struct node {
    std::string name;
    std::string zone;
    std::string ip;
    std::atomic<pid_t> pid{0};
    std::atomic<int64_t> started_at{0};
    std::atomic<int> misses{2};
  };

  static bool IsFree(const std::string& ip, int port) {
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
      const sockaddr_in address = AddressOf(ip, port);
      const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
      close(fd);
      if (!free)
        return false;
    }
    return true;
  }

  // Ports of a node: callers, readiness, control, and two between nodes.
  static constexpr int kPortsPerNode = 5;

  static int FreePorts() {
    int base = 12000 + static_cast<int>(getpid()) * 31 % 15000;
    while (true) {
      bool free = true;
      for (int i = 0; i < kNodes && free; ++i) {
        for (int port = base; port < base + kPortsPerNode && free; ++port)
          free = IsFree("127.0.1." + std::to_string(i + 1), port);
      }
      if (free)
        return base;
      base += kPortsPerNode;
    }
  }

  std::string SettingsFile(const node& of) const {
    return folder_ + "/" + of.name + ".toml";
  }

  void WriteSettings(const node& of, const std::string& store) const {
    const auto at = [&](const std::string& ip, int offset) {
      return "\"" + ip + ":" + std::to_string(base_port_ + offset) + "\"";
    };
    std::ofstream out(SettingsFile(of));
    out << "node = \"" << of.name << "\"\nrole = \"node\"\n"
        << "machineClass = \"edge\"\nserves = [\"edge\"]\nip = \"" << of.ip
        << "\"\nzone = \"" << of.zone << "\"\nregion = \"mids\"\nportRange = ["
        << base_port_ + 3 << "," << base_port_ + 4 << "]\nseeds = ["
        << at("127.0.1.1", 2) << "," << at("127.0.1.2", 2) << ","
        << at("127.0.1.3", 2)
        << "]\nbootstrap = true\ninTolerance = false\n"
           "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = "
        << kHeartbeatMs
        << "\n[zones]\nmids-a = \"mids\"\nmids-b = \"mids\"\n"
           "mids-c = \"mids\"\n[listen]\nfront = "
        << at(of.ip, 0) << "\nready = " << at(of.ip, 1)
        << "\ncontrol = " << at(of.ip, 2)
        << "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
           "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
           "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
           "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = "
        << kContactMs << "\nackMs = 4000\ncatchUpS = 4\ndrainMs = " << kDrainMs
        << "\ngraceS = " << kGraceS
        << "\nlossSlackMs = 200\nconfigMs = " << kConfigMs
        << "\ndowngradeSlackMs = 250\nouterMs = " << kOuterMs
        << "\nstrictRevoke = false\nrevokeMs = 5000\nretryRatio = 0.2\n"
           "budgetWindowS = 10\nbudgetSlack = 56\nquotaWindowS = 8\n"
           "quotaOver = 0.1\nquotaSlack = 110000\nrecoverS = 12\n"
           "passMs = 120\nagainS = 0\nrequireFencing = true\nleaseMs = "
        << kLeaseMs
        << "\nthawSlackMs = 300\nceilingWindowS = 5\nceilingOver = 1.1\n"
           "[provider]\naddress = \""
        << store
        << "\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n"
           "txMs = 3.0\npartWritesPerS = 300\nrowBytes = 65536\n"
           "across = true\nhistoryS = 20\nblobBytes = 8388608\n"
           "blobMs = 25.0\nblobMbPerS = 80.0\n";
  }

  void Start(node& of) {
    const std::string settings = SettingsFile(of);
    const std::string log = folder_ + "/" + of.name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      close_range(3, ~0U, 0);
      setenv("JASMINEPATH_SETTINGS", settings.c_str(), 1);
      execl("target/bin/jasminepathd", "target/bin/jasminepathd", "--platform",
            nullptr);
      _exit(127);
    }
    of.started_at = NowMs();
    of.pid = pid;
    log_.Line("started " + of.name);
  }

  // The thread that starts processes again lives as long as this process, so
  // that their death signal comes with its end only.
  void Supervise() {
    std::map<node*, int64_t> due;
    while (true) {
      int status = 0;
      const pid_t ended = waitpid(-1, &status, WNOHANG);
      for (const auto& each : nodes_) {
        if (ended <= 0 || each->pid != ended)
          continue;
        each->pid = 0;
        log_.Line("ended " + each->name + " status " +
                  std::to_string(WIFEXITED(status) ? WEXITSTATUS(status)
                                                   : -WTERMSIG(status)));
        due[each.get()] = NowMs() + restart_delay_ms_;
      }
      for (auto next = due.begin(); next != due.end() && !is_ending_;) {
        if (NowMs() < next->second) {
          ++next;
          continue;
        }
        Start(*next->first);
        next = due.erase(next);
      }
      if (ended <= 0)
        SleepMs(20);
    }
  }

  void Probe(node& of) {
    while (!is_ending_) {
      const int64_t began = NowMs();
      bool ready = false;
      const int fd = Connect(of.ip, base_port_ + 1);
      if (fd >= 0) {
        channel to(fd);
        http_message answer;
        ready = to.Write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                to.Read(answer, NowMs() + 1000) && answer.SecondWord() == "200";
      }
      of.misses = ready ? 0 : of.misses + 1;
      SleepMs(began + 1000 - NowMs());
    }
  }

  std::string folder_;
  record& log_;
  int base_port_ = 0;
  std::vector<std::unique_ptr<node>> nodes_;
  std::atomic<int64_t> restart_delay_ms_{300};
  std::atomic<bool> is_ending_{false};
};

// One request and its answer.
struct call_result {
  std::string id;
  int64_t sent_at = 0;
  std::size_t node = 0;
  std::string what;  // The caller's name for this kind of request.
  int status = 0;    // 0: no complete answer.
};

struct call_options {
  std::string what;
  std::string method = "GET";
  std::string path;
  std::string key;
  std::string model;
  // The last part of the prompt; if empty, one of its own.
  std::string last_part;
  std::string body = "{}";
  // Further header lines.
  std::string headers;
  int64_t wait_ms = 4000;
};

// Clients that keep a channel open to one node and send a request at a time.
class clients {
 public:
  clients(fleet& nodes, record& log) : nodes_(nodes), log_(log) {}

  // Starts a client that sends what `next` returns to the node, each
  // `pause_ms`, until End().
  void Start(std::size_t node,
             int64_t pause_ms,
             std::function<call_options()> next) {
    std::thread([this, node, pause_ms, next = std::move(next)] {
      std::unique_ptr<channel> kept;
      while (!is_ending_) {
        SleepMs(pause_ms);
        if (!kept && !nodes_.IsInRotation(node))
          continue;
        Call(node, next(), kept);
      }
    }).detach();
  }

  // Sends one request on a new channel and returns what has arrived of its
  // answer. Fills in the id and the status.
  http_message Ask(std::size_t node,
                   const call_options& options,
                   call_result& result) {
    std::unique_ptr<channel> own;
    http_message answer;
    Call(node, options, own, &result, &answer);
    return answer;
  }

  // Sends one request on a new channel.
  void Once(std::size_t node, const call_options& options) {
    std::thread([this, node, options] {
      std::unique_ptr<channel> own;
      Call(node, options, own);
    }).detach();
  }

  void End() { is_ending_ = true; }

  std::vector<call_result> All() {
    const std::lock_guard lock(mutex_);
    return results_;
  }

 private:
  void Call(std::size_t node,
            const call_options& options,
            std::unique_ptr<channel>& kept,
            call_result* copy_result = nullptr,
            http_message* copy_answer = nullptr) {
    if (!kept) {
      const int fd = Connect(nodes_.ip(node), nodes_.front_port());
      if (fd < 0)
        return;
      kept = std::make_unique<channel>(fd);
    }
    call_result result;
    char id[32];
    std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(getpid()),
                  static_cast<unsigned>(++last_id_));
    result.id = id;
    result.node = node;
    result.what = options.what;
    std::string request =
        options.method + " " + options.path +
        " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + result.id +
        "\r\nDeadline-Ms: " + std::to_string(options.wait_ms) +
        "\r\nX-Api-Key: " + options.key + "\r\n" + options.headers;
    const std::string last_part = options.last_part.empty()
                                      ? "9" + result.id.substr(8)
                                      : options.last_part;
    if (!options.model.empty())
      request += "Model: " + options.model +
                 "\r\nToken-Count: 100,20\r\nPrompt-Prefix: 5c:60," +
                 last_part + ":40\r\n";
    if (options.method == "POST")
      request += "Content-Length: " + std::to_string(options.body.size()) +
                 "\r\n\r\n" + options.body;
    else
      request += "\r\n";
    result.sent_at = NowMs();
    log_.Line("sent " + result.id + " " + options.what + " to " +
              nodes_.name(node));
    http_message answer;
    if (kept->Write(request) &&
        kept->Read(answer, NowMs() + options.wait_ms + 500))
      result.status = std::atoi(answer.SecondWord().c_str());
    log_.Line("answered " + result.id + " " + options.what + " by " +
              nodes_.name(node) + " " + std::to_string(result.status));
    if (result.status == 0 ||
        strcasecmp(answer.Header("Connection").c_str(), "close") == 0)
      kept.reset();
    if (copy_result != nullptr)
      *copy_result = result;
    if (copy_answer != nullptr)
      *copy_answer = answer;
    const std::lock_guard lock(mutex_);
    results_.push_back(std::move(result));
  }

  fleet& nodes_;
  record& log_;
  std::atomic<bool> is_ending_{false};
  std::atomic<int64_t> last_id_{0};
  std::mutex mutex_;
  std::vector<call_result> results_;
};

}  // namespace stage

#endif  // REVIEW_STAGE_3_STAGE_H_
