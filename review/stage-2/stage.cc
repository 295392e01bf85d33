#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "jasminepath/config/json_value.h"

extern char** environ;

namespace jasminepath::review {
namespace {

constexpr char kNodeProgram[] = "target/bin/jasminepathd";
constexpr char kKey[] = "i9n73hh2b9wu3fexd9dn";
constexpr duration kCheckIn = Milliseconds(1200);
// All servers have all models on their disks.
constexpr duration kDiskLoad = Milliseconds(440);
constexpr duration kProbeInterval = Seconds(1);
constexpr int kMissesToLeave = 2;

// The route is pattern-access of the small site.
constexpr char kSite[] = R"({"version":5,
 "routes":[{"name":"access","host":"ficu95.example","pathPrefix":"/lohu930/",
  "kind":"streaming","timeoutMs":13000,"targetLatencyMs":2000,"service":"loom",
  "maxAttempts":2,"priority":1,"resumable":true,"gapAimMs":500}],
 "services":[{"name":"loom","healthPath":"/healthz","engine":{"slots":64,
  "weightsMb":230000,"adapterSlots":8,"loadsPerS":1.6,"models":[
  {"name":"m1","weightsMb":72700,"loadS":6,"diskS":0.44,"warmS":0.32,
   "adapters":0,"adapterMb":66},
  {"name":"m2","weightsMb":72700,"loadS":6,"diskS":0.44,"warmS":0.32,
   "adapters":0,"adapterMb":66}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],
  "unit":"token_rate","plainTokens":200,"ratePerS":10000000,
  "burst":10000000}]})";

int FreePort(const std::string& ip, int pairs) {
  for (int tries = 0; tries < 200; ++tries) {
    const int port = 20000 + 4 * ((getpid() * 31 + std::rand()) % 3000);
    bool is_free = true;
    for (int i = 0; i < pairs && is_free; ++i) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port + i));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        is_free = is_free && ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                                    sizeof(address)) == 0;
        ::close(fd);
      }
    }
    if (is_free)
      return port;
  }
  std::cerr << "no free port\n";
  std::exit(kCouldNotRun);
}

// Another part of the loopback range for each process, so that cases can run at
// the same time.
std::string LoopbackPrefix() {
  const int pid = ::getpid();
  return "127." + std::to_string(16 + pid % 100) + "." +
         std::to_string(pid / 100 % 250) + ".";
}

std::string Header(const http::request& message, std::string_view name) {
  return std::string(message.headers.ValueOf(name));
}

}  // namespace

record::record() : began_(boot_clock::now()) {}

int64_t record::ElapsedMs() const {
  return ToMilliseconds(boot_clock::now() - began_);
}

void record::Line(const std::string& text) {
  if (is_closed_)
    return;
  std::printf("%6lld %s\n", static_cast<long long>(ElapsedMs()), text.c_str());
  std::fflush(stdout);
}

node_process::node_process(record& out,
                           int number,
                           std::string zone,
                           const std::string& store_address,
                           const std::string& folder)
    : record_(out),
      name_("edge-" + zone + "-" + std::to_string(number)),
      zone_(std::move(zone)),
      ip_(LoopbackPrefix() + std::to_string(number)),
      settings_file_(folder + "/" + name_ + ".toml"),
      log_file_(folder + "/" + name_ + ".log"),
      store_address_(store_address) {
  front_port_ = FreePort(ip_, 1);
  ready_port_ = FreePort(ip_, 1);
  first_free_port_ = FreePort(ip_, 2);
  std::ofstream settings(settings_file_);
  settings << "node = \"" << name_ << "\"\nrole = \"node\"\n"
           << "machineClass = \"edge\"\nserves = [\"edge\"]\nip = \"" << ip_
           << "\"\nzone = \"" << zone_ << "\"\nregion = \"mids\"\n"
           << "portRange = [" << first_free_port_ << "," << first_free_port_ + 1
           << "]\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\n"
           << "entry = \"vip\"\nheartbeatMs = 1200\n"
           << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
              "\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\","
              "\"quota\",\"platform\"]\n"
           << "[listen]\nfront = \"" << front() << "\"\nready = \"" << ready()
           << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
              "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
           << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
              "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
              "lossSlackMs = 200\nconfigMs = 2000\ndowngradeSlackMs = 250\n"
              "outerMs = 5000\nretryRatio = 0.2\nbudgetWindowS = 10\n"
              "budgetSlack = 56\nquotaWindowS = 8\nquotaOver = 0.1\n"
              "quotaSlack = 110000\nrecoverS = 12\npassMs = 120\n"
              "requireFencing = true\nleaseMs = 3000\nthawSlackMs = 300\n"
           << "[provider]\naddress = \"" << store_address_
           << "\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n"
              "txMs = 3.0\npartWritesPerS = 300\nrowBytes = 65536\n"
              "across = true\nhistoryS = 20\n";
}

node_process::~node_process() {
  Kill();
}

void node_process::Start() {
  const std::string variable = "JASMINEPATH_SETTINGS=" + settings_file_;
  std::vector<char*> variables;
  for (char** each = environ; *each != nullptr; ++each)
    variables.push_back(*each);
  variables.push_back(const_cast<char*>(variable.c_str()));
  variables.push_back(nullptr);
  const int log = ::open(log_file_.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = ::fork();
  if (pid_ == 0) {
    // The node ends with the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of the stand-ins are not the node's.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execle(kNodeProgram, kNodeProgram, "--platform",
             static_cast<char*>(nullptr), variables.data());
    ::_exit(127);
  }
  ::close(log);
  if (pid_ < 0) {
    std::cerr << "cannot start " << kNodeProgram << "\n";
    std::exit(kCouldNotRun);
  }
  record_.Line("start " + name_ + " pid " + std::to_string(pid_));
}

void node_process::Kill() {
  if (pid_ <= 0)
    return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  record_.Line("killed " + name_);
  pid_ = 0;
}

void node_process::Terminate() {
  if (pid_ <= 0)
    return;
  ::kill(pid_, SIGTERM);
  record_.Line("SIGTERM to " + name_);
}

bool node_process::HasEnded() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    record_.Line(name_ + " has ended");
    pid_ = 0;
  }
  return pid_ <= 0;
}

stream_server::stream_server(record& out,
                             http::event_loop& loop,
                             platform_adapter::store_standin& store,
                             std::string id,
                             std::string zone,
                             std::string version,
                             int64_t events,
                             duration interval)
    : record_(out),
      loop_(loop),
      store_(store),
      id_(std::move(id)),
      zone_(std::move(zone)),
      version_(std::move(version)),
      events_(events),
      interval_(interval),
      check_in_(loop),
      load_end_(loop) {
  // Not the address from which connections go out, so that nothing else takes
  // the port while the server is down.
  const std::string ip = LoopbackPrefix() + "200";
  Listen(ip + ":0");
  address_ = ip + ":" + std::to_string(server_->port());
}

void stream_server::Listen(const std::string& address) {
  server_ = std::make_unique<http::server>(
      loop_, [this](const http::request& message,
                    const std::shared_ptr<http::exchange>& reply) {
        Handle(message, reply);
      });
  if (!server_->Listen(address)) {
    std::cerr << "a server cannot listen\n";
    std::exit(kCouldNotRun);
  }
  http::server_limits limits;
  limits.idle_timeout = Seconds(60);
  server_->SetLimits(limits);
}

std::string stream_server::ModelsJson() const {
  std::string list;
  for (const std::string& model : models_)
    list += std::string(list.empty() ? "" : ",") + R"({"name":")" + model +
            R"(","version":1,"adapters":[]})";
  return R"("stage":"colocated","models":[)" + list +
         R"(],"atHand":{"inMemory":[],"onDisk":["m1","m2"]},"born":)" +
         std::to_string(born_ms_);
}

void stream_server::Register() {
  if (!is_registered_)
    record_.Line("entry of " + id_ + " with version " + version_);
  is_registered_ = true;
  store_.Put("servers", id_,
             R"({"service":"loom","address":")" + address_ + R"(","zone":")" +
                 zone_ + R"(","version":")" + version_ +
                 R"(","slots":64,"state":"ready","coldRemainingMs":0,"seq":)" +
                 std::to_string(++seq_) + "," + ModelsJson() + "}");
  check_in_.Start(kCheckIn, [this] { Register(); });
}

void stream_server::Crash() {
  record_.Line(id_ + " crashes");
  check_in_.Cancel();
  load_end_.Cancel();
  is_registered_ = false;
  runs_.clear();
  server_.reset();
  models_.clear();
  orders_ = fence_ = seq_ = 0;
  is_busy_ = false;
}

void stream_server::Restart() {
  record_.Line(id_ + " starts again");
  born_ms_ += 1000;
  Listen(address_);
  Register();
}

void stream_server::Unregister() {
  check_in_.Cancel();
  is_registered_ = false;
  record_.Line("entry of " + id_ + " removed; it serves on");
  store_.Remove("servers", id_);
}

void stream_server::Handle(const http::request& message,
                           const std::shared_ptr<http::exchange>& reply) {
  const std::string expected = Header(message, "Expect-Instance");
  if (!expected.empty() && expected != id_)
    return reply->Respond({421, {{"Instance-Id", id_}, {"Not-Run", "1"}}}, "");
  if (message.target == "/healthz")
    return reply->Respond({200, {{"Instance-Id", id_}}}, "");
  if (message.target == "/report")
    return reply->Respond(
        {200, {{"Content-Type", "application/json"}}},
        "{" + ModelsJson() + R"(,"busy":)" + (is_busy_ ? "true" : "false") +
            R"(,"seq":)" + std::to_string(orders_) +
            R"(,"queued":0,"active":)" + std::to_string(runs_.size()) +
            R"(,"kvUsed":0,"kvTotal":263704,"handles":0})");
  if (message.target == "/order")
    return HandleOrder(message, reply);
  if (!models_.contains(Header(message, "Model"))) {
    record_.Line("run " + Header(message, "Attempt-Id") + " at " + id_ +
                 " refused: model not loaded");
    return reply->Respond({421,
                           {{"Instance-Id", id_},
                            {"Not-Run", "1"},
                            {"Attempt-Id", Header(message, "Attempt-Id")}}},
                          "");
  }
  const uint64_t key = ++last_run_;
  run& begun = runs_[key];
  begun.request = Header(message, "Attempt-Id");
  const std::string last = Header(message, "Last-Event-Id");
  begun.next = last.empty() ? 1 : std::stoll(last) + 1;
  begun.reply = reply;
  begun.timer = std::make_unique<http::timer>(loop_);
  begun_.push_back(begun.request);
  record_.Line("run " + begun.request + " at " + id_ + " (version " + version_ +
               ") from event " + std::to_string(begun.next) + ", body of " +
               std::to_string(message.body.size()) + " bytes");
  reply->OnClientDisconnect([this, key] {
    record_.Line("run " + runs_[key].request + " at " + id_ + " dropped");
    runs_.erase(key);
  });
  reply->Start({200,
                {{"Attempt-Id", begun.request},
                 {"Server-Seal", id_ + "." + version_},
                 {"Content-Type", "text/event-stream"}}});
  begun.timer->Start(Milliseconds(50), [this, key] { SendEvent(key); });
}

void stream_server::HandleOrder(const http::request& message,
                                const std::shared_ptr<http::exchange>& reply) {
  const auto parsed = config::ParseJson(message.body);
  if (!parsed)
    return reply->Respond({400, {}}, "");
  const config::json_value& order = parsed.value();
  const std::string model = order.StringOr("model", "");
  const bool is_load = order.StringOr("operation", "") == "model_load";
  const int64_t fence = order.IntegerOr("fenceToken", -1);
  int status = 202;
  if (fence < fence_)
    status = 412;
  else if (is_busy_ || order.IntegerOr("expectedRev", orders_) != orders_)
    status = 409;
  else if (models_.contains(model) == is_load)
    status = 200;
  record_.Line("order at " + id_ + " (version " + version_ +
               "): " + message.body + " -> " + std::to_string(status));
  fence_ = std::max(fence_, fence);
  reply->Respond({status, {}}, "");
  if (status != 202)
    return;
  ++orders_;
  is_busy_ = true;
  load_end_.Start(kDiskLoad, [this, model, is_load] {
    is_busy_ = false;
    if (is_load)
      models_.insert(model);
    else
      models_.erase(model);
    record_.Line(id_ + (is_load ? " has loaded " : " has unloaded ") + model);
    Register();
  });
}

void stream_server::SendEvent(uint64_t key) {
  run& current = runs_[key];
  if (current.next > events_) {
    record_.Line("run " + current.request + " at " + id_ + " ended");
    current.reply->Finish();
    runs_.erase(key);
    return;
  }
  const std::string number = std::to_string(current.next++);
  current.reply->Write("id: " + number + "\ndata: " + version_ + "\n\n");
  current.timer->Start(interval_, [this, key] { SendEvent(key); });
}

stream_client::stream_client(stage& owner,
                             int number,
                             int64_t events,
                             std::string model)
    : stage_(owner),
      number_(number),
      events_(events),
      model_(std::move(model)),
      timer_(std::make_unique<http::timer>(owner.loop)),
      gap_timer_(std::make_unique<http::timer>(owner.loop)) {}

stream_client::~stream_client() = default;

void stream_client::Start() {
  began_at_ = boot_clock::now();
  Attempt();
}

void stream_client::Attempt() {
  const duration left =
      began_at_ + Milliseconds(stage::kTimeBudgetMs) - boot_clock::now();
  if (left < Milliseconds(200))
    return End(false);
  node_ = stage_.Choose(number_, attempts_, node_);
  if (first_node_ == nullptr)
    first_node_ = node_;
  ++attempts_;
  attempt_id_ = "c" + std::to_string(number_) + "a" + std::to_string(attempts_);
  if (first_attempt_.empty())
    first_attempt_ = attempt_id_;
  http::request message;
  message.method = "POST";
  message.target = "/lohu930/2f";
  message.headers = {
      {"Host", "ficu95.example"},
      {"Attempt-Id", attempt_id_},
      {"Model", model_},
      {"Token-Count", "60,20"},
      {"Prompt-Prefix", "5c1e07a2:40," + std::to_string(number_) + ":20"},
      {"Deadline-Ms", std::to_string(ToMilliseconds(left))},
      {"X-Api-Key", kKey}};
  const bool resumes = last_event_ > 0;
  if (resumes) {
    has_resumed_ = true;
    message.headers.Add("Last-Event-Id", std::to_string(last_event_));
    message.headers.Add("Resumes", first_attempt_);
  } else {
    first_attempt_ = attempt_id_;
  }
  message.body = "pattern " + std::to_string(number_);
  stage_.out.Line("sent " + attempt_id_ + " to " + node_->name() +
                  (resumes ? " after event " + std::to_string(last_event_) +
                                 ", resumes " + first_attempt_
                           : std::string()));
  status_ = 0;
  retry_after_ = duration::zero();
  splitter_.Reset();
  client_ = std::make_unique<http::client>(
      stage_.loop, http::ParseEndpoint(node_->front()).value());
  http::call_options options;
  options.connect_timeout = Seconds(1);
  options.head_timeout = left;
  options.max_idle_time = duration::zero();
  call_ = client_->Send(http::Serialize(message), false, options, *this);
  WatchGap();
}

void stream_client::WatchGap() {
  gap_timer_->Start(stage::kLongestGap, [this] {
    call_.reset();
    stage_.out.Line("client " + std::to_string(number_) + " abandons " +
                    attempt_id_ + " after a gap of " +
                    std::to_string(ToMilliseconds(stage::kLongestGap)) + " ms");
    RetryAfter(Milliseconds(20));
  });
}

bool stream_client::OnHead(const http::response_head& head) {
  status_ = head.status;
  const std::string_view wait = head.headers.ValueOf("Retry-After");
  if (!wait.empty())
    retry_after_ = Milliseconds(
        static_cast<int64_t>(1000 * std::atof(std::string(wait).c_str())));
  if (last_event_ > 0)
    resumed_at_.insert(node_);
  stage_.out.Line("answer to " + attempt_id_ + ": status " +
                  std::to_string(head.status) + " from " + node_->name());
  return true;
}

void stream_client::OnBody(std::string_view piece) {
  if (status_ != 200 || !splitter_.Append(piece))
    return;
  while (const auto event = splitter_.Next()) {
    WatchGap();
    const int64_t index = event->index.value_or(-1);
    is_out_of_order_ = is_out_of_order_ || index != last_event_ + 1;
    if (has_resumed_ && !has_gone_on_) {
      has_gone_on_ = true;
      stage_.out.Line("client " + std::to_string(number_) +
                      " goes on with event " + std::to_string(index));
    }
    if (last_event_ == 0)
      first_attempt_ = attempt_id_;
    last_event_ = index;
    const std::size_t data = event->raw.find("data: ") + 6;
    const std::string version =
        event->raw.substr(data, event->raw.find('\n', data) - data);
    if (versions_.empty() || versions_.back() != version) {
      versions_.push_back(version);
      stage_.out.Line("client " + std::to_string(number_) + " event " +
                      std::to_string(index) + " is of version " + version);
    }
  }
}

void stream_client::OnEnd() {
  call_.reset();
  if (status_ == 200 && last_event_ == events_)
    return End(true);
  // Not run: the client comes back when it is told to, at the earliest.
  if (status_ == 503 || status_ == 429)
    return RetryAfter(retry_after_);
  RetryAfter(duration::zero());
}

void stream_client::OnFailure(http::call_failure failure) {
  call_.reset();
  stage_.out.Line("channel of " + attempt_id_ +
                  " broken: " + std::string(http::NameOf(failure)));
  RetryAfter(failure == http::call_failure::not_sent ? Milliseconds(1000)
                                                     : Milliseconds(20));
}

void stream_client::RetryAfter(duration delay) {
  gap_timer_->Cancel();
  if (attempts_ > stage::kRetries)
    return End(false);
  timer_->Start(delay, [this] { Attempt(); });
}

void stream_client::End(bool is_complete) {
  gap_timer_->Cancel();
  is_done_ = true;
  is_complete_ = is_complete;
  stage_.out.Line(
      "client " + std::to_string(number_) +
      (is_complete ? " complete"
                   : " gave up after event " + std::to_string(last_event_)));
}

stage::stage() : store(loop), probe_timer_(loop) {
  std::srand(static_cast<unsigned>(getpid()));
  char folder[] = "/tmp/review-stage-XXXXXX";
  if (::mkdtemp(folder) == nullptr)
    std::exit(kCouldNotRun);
  folder_ = folder;
  store.Put("op", "config", kSite);
  const std::vector<std::string> zones = {"mids-a", "mids-a", "mids-a",
                                          "mids-b", "mids-b", "mids-b",
                                          "mids-c", "mids-c"};
  for (std::size_t i = 0; i < zones.size(); ++i)
    nodes.push_back(std::make_unique<node_process>(
        out, static_cast<int>(i) + 1, zones[i], store.address(), folder_));
}

stage::~stage() {
  clients.clear();
  out.Close();
  nodes.clear();
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::system(("rm -rf " + folder_).c_str());
  else
    std::cerr << "logs: " << folder_ << "\n";
}

bool stage::StartNodes() {
  for (const auto& node : nodes)
    node->Start();
  Probe();
  const bool are_ready = RunUntil(
      [this] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [](const auto& node) { return node->in_rotation; });
      },
      Seconds(15));
  // Peers meet within a few digests.
  RunFor(Seconds(2));
  return are_ready;
}

void stage::RunFor(duration time) {
  RunUntil([] { return false; }, time);
}

bool stage::RunUntil(const std::function<bool()>& condition, duration limit) {
  const time_point end = boot_clock::now() + limit;
  while (!condition()) {
    if (boot_clock::now() >= end)
      return false;
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

stream_server& stage::AddServer(const std::string& zone,
                                const std::string& version,
                                int64_t events,
                                duration interval,
                                const std::string& id) {
  const std::string made =
      "i-" + version + "-" + std::to_string(servers.size());
  servers.push_back(
      std::make_unique<stream_server>(out, loop, store, id.empty() ? made : id,
                                      zone, version, events, interval));
  servers.back()->Register();
  return *servers.back();
}

stream_client& stage::AddClient(int64_t events, const std::string& model) {
  clients.push_back(std::make_unique<stream_client>(
      *this, static_cast<int>(clients.size()), events, model));
  clients.back()->Start();
  return *clients.back();
}

std::vector<node_process*> stage::UsableIn(const std::string& zone) const {
  std::vector<node_process*> known;
  std::vector<node_process*> rotating;
  for (const auto& node : nodes) {
    if (node->zone() != zone)
      continue;
    known.push_back(node.get());
    if (node->in_rotation)
      rotating.push_back(node.get());
  }
  const bool is_minority = 2 * rotating.size() < known.size();
  return is_minority && !rotating.empty() ? known : rotating;
}

// The clients are spread over the zones, or are in one. Retries reach other
// nodes, if there are any.
node_process* stage::Choose(int client,
                            int attempt,
                            const node_process* except) {
  std::vector<node_process*> usable = UsableIn(client_zone);
  if (usable.size() > 1)
    std::erase(usable, except);
  if (!usable.empty())
    return usable[static_cast<std::size_t>(client + attempt * 3) %
                  usable.size()];
  for (const auto& node : nodes) {
    if (node->in_rotation && node.get() != except)
      usable.push_back(node.get());
  }
  if (usable.empty()) {
    for (const auto& node : nodes)
      usable.push_back(node.get());
  }
  return usable[static_cast<std::size_t>(client + attempt * 3) % usable.size()];
}

void stage::Probe() {
  for (const auto& each : nodes) {
    node_process& node = *each;
    node.probe_client = std::make_unique<http::client>(
        loop, http::ParseEndpoint(node.ready()).value());
    node.probe = std::make_unique<http::buffered_call>(
        loop, *node.probe_client,
        http::request{"GET", "/readyz", {{"Host", "ready"}}, ""},
        Milliseconds(900), 4096,
        [this, &node](const http::response* answer, http::call_failure) {
          OnProbed(node, answer != nullptr && answer->head.status == 200);
        });
  }
  probe_timer_.Start(kProbeInterval, [this] { Probe(); });
}

void stage::OnProbed(node_process& node, bool is_ready) {
  node.misses = is_ready ? 0 : node.misses + 1;
  const bool before = node.in_rotation;
  if (is_ready)
    node.in_rotation = true;
  else if (node.misses >= kMissesToLeave)
    node.in_rotation = false;
  if (before != node.in_rotation)
    out.Line(node.name() + (before ? " leaves" : " enters") + " the rotation");
}

bool HasTrouble(const std::string& name) {
  const char* value = std::getenv("TROUBLE");
  const std::string text = value != nullptr ? value : "1";
  return text == "1" || text.empty() || text == name;
}

}  // namespace jasminepath::review
