#include "jasminepath/node/node_app.h"

#include <Poco/Exception.h>
#include <sys/resource.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <random>
#include <thread>
#include <utility>

#include "admin_api.h"
#include "caller_api.h"
#include "decision_loop.h"
#include "endpoint_poller.h"
#include "http_server.h"
#include "jasminepath/base/random.h"
#include "jasminepath/config/json_value.h"
#include "jasminepath/mesh/link_set.h"
#include "jasminepath/report/event_log.h"
#include "node_event.h"
#include "node_metrics.h"
#include "node_view.h"
#include "order_sender.h"
#include "platform_gateway.h"
#include "platform_throttle.h"

namespace jasminepath::node {
namespace {

constexpr std::size_t kEventRingCapacity = 16384;
constexpr std::size_t kMeshRingCapacity = 8192;
constexpr std::size_t kOrderQueueCapacity = 256;
constexpr duration kOrderTimeout = Seconds(2);
constexpr duration kRingFullRetryInterval = Milliseconds(1);
constexpr duration kMeshPollInterval = Milliseconds(500);
// How long the callers of a node that was stopped at once, and of one that has
// finished a planned stop, have to take their answers.
constexpr duration kCloseTimeout = Seconds(2);
constexpr duration kDrainedCloseTimeout = Seconds(30);
constexpr int64_t kMaxAdminConnections = 64;
constexpr std::size_t kInstanceSuffixBytes = 6;
// Descriptors for everything except callers' connections.
constexpr int64_t kReservedDescriptors = 512;
// A call needs descriptors for its caller's connection, a connection to an
// endpoint, and a wake-up event.
constexpr int64_t kDescriptorsPerConnection = 3;

using config::json_value;

random_engine SystemSeededEngine() {
  std::random_device source;
  std::seed_seq seed{source(), source(), source(), source()};
  return random_engine(seed);
}

instance_id MakeInstanceId(const vm_id& vm) {
  return instance_id(vm.value() + "-" + SecureRandomHex(kInstanceSuffixBytes));
}

// Raises the soft limit of open descriptors to the hard limit. Returns false if
// the hard limit is lower than `needed`.
bool RaiseDescriptorLimit(int64_t needed) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return false;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<int64_t>(limit.rlim_cur) >= needed;
}

inbound_limits MakeInboundLimits(const config::node_limits& limits) {
  inbound_limits converted;
  converted.max_header_bytes = limits.max_header_bytes;
  converted.max_body_bytes = limits.max_body_bytes;
  converted.body_timeout = limits.body_timeout;
  converted.model.default_max_tokens = tokens(limits.default_max_tokens);
  return converted;
}

http_server_settings CallerServerSettings(
    const config::node_settings& settings) {
  http_server_settings server;
  server.listen = settings.caller_listen;
  server.max_connections = settings.limits.max_connections;
  server.max_requests = settings.limits.worker_threads;
  server.header_timeout = settings.limits.header_timeout;
  server.read_timeout = settings.limits.body_timeout;
  server.idle_timeout = settings.limits.idle_timeout;
  if (settings.tls)
    server.tls =
        tls_files{settings.tls->certificate_file, settings.tls->key_file};
  return server;
}

http_server_settings AdminServerSettings(
    const config::node_settings& settings) {
  http_server_settings server;
  server.listen = settings.admin_listen;
  server.max_connections = kMaxAdminConnections;
  server.max_requests = kMaxAdminConnections;
  return server;
}

}  // namespace

class node_app::implementation {
 public:
  explicit implementation(const config::node_settings& settings)
      : settings_(settings),
        self_id_(MakeInstanceId(settings.vm)),
        log_(settings.log_file.value_or(""),
             std::string(config::ToString(settings.level)),
             self_id_.value()),
        events_(kEventRingCapacity),
        mesh_events_(kMeshRingCapacity),
        throttle_(SystemSeededEngine(), boot_clock::now()),
        metrics_(self_id_) {}

  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  ~implementation() {
    events_.Close();
    mesh_events_.Close();
    if (mesh_thread_.joinable())
      mesh_thread_.join();
  }

  // Throws Poco::Exception if an address cannot be bound.
  result<void, start_error> Start() {
    auto links = mesh::link_set::MakeLinkSet(self_id_, settings_.mesh_listen,
                                             mesh_events_);
    if (!links)
      return start_error{"mesh_listen: cannot listen on " +
                         settings_.mesh_listen};
    links_.emplace(std::move(links.value()));
    StartWorkers();
    StartServers();
    StartLoop();
    WritePortFile();
    return success();
  }

  run_end Run() {
    const loop_end end = loop_->Run();
    const bool is_planned = end == loop_end::drained;
    caller_server_->Stop(is_planned ? kDrainedCloseTimeout : kCloseTimeout,
                         [&] { return is_planned && is_end_requested_; });
    caller_api_->LogOpenRequestsAsCut();
    log_.Write(log_level::info, "node_stopped",
               {{"end", static_cast<int64_t>(end)}});
    switch (end) {
      case loop_end::drained:
        return run_end::drained;
      case loop_end::fenced:
        return run_end::fenced;
      case loop_end::aborted:
        return run_end::aborted;
    }
    return run_end::aborted;
  }

  std::string caller_address() const { return caller_server_->address(); }
  std::string admin_address() const { return admin_server_->address(); }

  void RequestStop() {
    if (is_stop_requested_.exchange(true)) {
      is_end_requested_ = true;
      loop_->Stop();
      return;
    }
    view_.SetDraining();
    caller_server_->BeginDrain();
    Deliver(drain_requested{});
  }

 private:
  // Waits while the ring is full, because worker results must not be lost.
  void Deliver(node_event event) {
    while (!events_.TryPush(event)) {
      if (events_.closed())
        return;
      std::this_thread::sleep_for(kRingFullRetryInterval);
    }
  }

  void StartWorkers() {
    platform_.emplace(
        settings_.platform_address, throttle_,
        [this](platform_reply reply) { Deliver(std::move(reply)); });
    orders_.emplace(kOrderQueueCapacity, kOrderTimeout,
                    [this](decision::order_outcome outcome) {
                      Deliver(order_ended{std::move(outcome)});
                    });
    poller_.emplace(poll_limits{},
                    [this](node_event event) { Deliver(std::move(event)); });
    mesh_thread_ = std::thread([this] { ForwardMeshMessages(); });
  }

  void ForwardMeshMessages() {
    while (!mesh_events_.closed()) {
      if (auto envelope = mesh_events_.PopWithin(kMeshPollInterval))
        Deliver(envelope_received{std::move(*envelope)});
    }
  }

  void StartServers() {
    caller_api_.emplace(self_id_, MakeInboundLimits(settings_.limits),
                        worker_limits{}, events_, view_, log_,
                        [this] { return metrics_.MetricsPage(); });
    caller_server_.emplace(
        CallerServerSettings(settings_),
        [this](auto& request, auto& response) {
          caller_api_->Handle(request, response);
        },
        [this](auto& request, auto& response) {
          caller_api_->Refuse(request, response);
        });
    admin_api_.emplace(
        self_id_, settings_.operator_token_sha256, events_,
        [this] { return metrics_.HistogramsPage(); },
        [this] { RequestDrain(); });
    const auto answer = [this](auto& request, auto& response) {
      admin_api_->Handle(request, response);
    };
    admin_server_.emplace(AdminServerSettings(settings_), answer, answer);
  }

  // Repeated requests from operators have no effect; only a second signal ends
  // a run at once.
  void RequestDrain() {
    if (!is_stop_requested_)
      RequestStop();
  }

  void StartLoop() {
    loop_settings loop;
    loop.self.id = self_id_;
    loop.self.vm = settings_.vm;
    loop.self.zone = settings_.zone;
    loop.self.mesh_address = links_->address();
    loop.self.caller_address = caller_server_->address();
    loop.self.admin_address = admin_server_->address();
    loop.seed_peers = settings_.seed_peers;
    loop.drain.lame_duck = settings_.limits.lame_duck;
    const loop_dependencies dependencies{view_,      log_,      *links_,
                                         *platform_, throttle_, *orders_,
                                         *poller_,   metrics_};
    loop_.emplace(loop, events_, dependencies, SystemSeededEngine());
    log_.Write(log_level::info, "node_started",
               {{"vm", settings_.vm.value()},
                {"zone", settings_.zone.value()},
                {"caller", loop.self.caller_address},
                {"admin", loop.self.admin_address},
                {"mesh", loop.self.mesh_address}});
  }

  void WritePortFile() {
    if (!settings_.port_file)
      return;
    const json_value ports(
        json_value::object{{"caller", json_value(caller_server_->address())},
                           {"admin", json_value(admin_server_->address())},
                           {"mesh", json_value(links_->address())}});
    const std::string partial = *settings_.port_file + ".tmp";
    std::ofstream(partial) << config::WriteJson(ports) << "\n";
    // The rename is atomic, so that a reader never sees a partial file.
    std::rename(partial.c_str(), settings_.port_file->c_str());
  }

  const config::node_settings settings_;
  const instance_id self_id_;
  event_log log_;
  node_event_ring events_;
  bounded_ring<mesh::envelope> mesh_events_;
  node_view view_;
  platform_throttle throttle_;
  node_metrics metrics_;
  std::atomic<bool> is_stop_requested_{false};
  // Set by a second request.
  std::atomic<bool> is_end_requested_{false};
  // These members are destroyed in reverse order of declaration.
  std::optional<mesh::link_set> links_;
  std::optional<platform_gateway> platform_;
  std::optional<order_sender> orders_;
  std::optional<endpoint_poller> poller_;
  std::thread mesh_thread_;
  std::optional<decision_loop> loop_;
  std::optional<caller_api> caller_api_;
  std::optional<admin_api> admin_api_;
  std::optional<http_server> caller_server_;
  std::optional<http_server> admin_server_;
};

result<std::unique_ptr<node_app>, start_error> node_app::MakeNodeApp(
    const config::node_settings& settings) {
  const int64_t descriptors =
      kDescriptorsPerConnection * settings.limits.max_connections +
      kReservedDescriptors;
  if (!RaiseDescriptorLimit(descriptors)) {
    return start_error{
        "limits.max_connections: needs " + std::to_string(descriptors) +
        " open files, more than this process may have; lower it or raise the "
        "limit of open files"};
  }
  try {
    auto state = std::make_unique<implementation>(settings);
    const auto started = state->Start();
    if (!started)
      return started.error();
    return std::unique_ptr<node_app>(new node_app(std::move(state)));
  } catch (const Poco::Exception& error) {
    return start_error{"cannot listen or read the TLS files: " +
                       error.displayText()};
  }
}

node_app::node_app(std::unique_ptr<implementation> state)
    : implementation_(std::move(state)) {}

node_app::~node_app() = default;

std::string node_app::caller_address() const {
  return implementation_->caller_address();
}

std::string node_app::admin_address() const {
  return implementation_->admin_address();
}

run_end node_app::Run() {
  return implementation_->Run();
}

void node_app::RequestStop() {
  implementation_->RequestStop();
}

}  // namespace jasminepath::node
