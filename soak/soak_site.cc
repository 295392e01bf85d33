#include "soak_site.h"

#include <signal.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <stdexcept>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr int kShopEndpoints = 4;
constexpr int kEngines = 3;
// Ports of one node: callers, readiness checks, and two for messages between
// nodes.
constexpr uint16_t kPortsPerNode = 4;
constexpr uint16_t kLowestPort = 20000;
constexpr uint16_t kPortRange = 10000;
// Duration of a plain request.
constexpr duration kRequestDuration = Milliseconds(15);

// Maximum number of concurrent requests of an engine, per node.
constexpr int64_t kEngineSlotsPerNode = 16;

// Returns whether all ports of a node can be bound for TCP and UDP.
bool ArePortsFree(http::event_loop& loop, uint16_t first) {
  const auto ip = boost::asio::ip::make_address("127.0.0.1");
  for (uint16_t port = first; port < first + kPortsPerNode; ++port) {
    boost::system::error_code error;
    tcp::acceptor acceptor(loop);
    acceptor.open(tcp::v4());
    acceptor.bind({ip, port}, error);
    udp::socket datagrams(loop);
    datagrams.open(udp::v4());
    if (!error)
      datagrams.bind({ip, port}, error);
    if (error)
      return false;
  }
  return true;
}

tcp::endpoint EndpointOf(const std::string& address) {
  return http::ParseEndpoint(address).value();
}

}  // namespace

soak_site::soak_site(http::event_loop& loop,
                     invariant_checker& checker,
                     const std::string& program,
                     const std::string& folder,
                     int nodes,
                     int64_t node_memory_kb)
    : loop_(loop),
      checker_(checker),
      node_memory_kb_(node_memory_kb),
      engine_slots_(kEngineSlotsPerNode * nodes),
      store_(loop) {
  for (int i = 0; i < kShopEndpoints; ++i)
    AddEndpoint("shop-" + std::to_string(i), "shop");
  for (int i = 0; i < kEngines; ++i)
    AddEndpoint("engine-" + std::to_string(i), "loom");
  ChangeConfiguration();
  for (const site_endpoint& endpoint : endpoints_)
    Publish(endpoint);
  // Spreads the ports by process, because other runs may share the machine,
  // also with the same seed.
  auto port = static_cast<uint16_t>(
      kLowestPort + static_cast<uint64_t>(::getpid()) * 97 % kPortRange);
  nodes_.resize(static_cast<std::size_t>(nodes));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    while (!ArePortsFree(loop, port))
      port = static_cast<uint16_t>(port + kPortsPerNode);
    site_node& node = nodes_[i];
    node.store_proxy =
        std::make_unique<fault_proxy>(loop, EndpointOf(store_.address()));
    const node_plan plan{"node-" + std::to_string(i), port,
                         node.store_proxy->address()};
    node.caller_proxy =
        std::make_unique<fault_proxy>(loop, EndpointOf(plan.caller_address()));
    node.process = std::make_unique<node_process>(program, folder, plan);
    node.process->Start();
    port = static_cast<uint16_t>(port + kPortsPerNode);
  }
}

std::map<std::string, team_allowance> soak_site::TeamAllowances() {
  return {{"small", {150, 600}}};
}

void soak_site::AddEndpoint(const std::string& id, const std::string& service) {
  site_endpoint added;
  added.service = service;
  added.standin =
      std::make_unique<platform_adapter::endpoint_standin>(loop_, id);
  added.proxy = std::make_unique<fault_proxy>(
      loop_, EndpointOf(added.standin->own_address()));
  added.standin->advertised_address = added.proxy->address();
  added.standin->service_time = kRequestDuration;
  const std::size_t index = endpoints_.size();
  added.standin->on_accepted = [this, index, id] {
    const auto& draining_at = endpoints_[index].draining_at;
    if (draining_at && boot_clock::now() - *draining_at > kDrainBound &&
        WasUndisturbed(*draining_at))
      checker_.AddViolation("draining endpoints receive no new requests", id);
  };
  added.standin->on_run = [this, id](const http::request& message) {
    checker_.OnRun(id, message, boot_clock::now());
  };
  added.standin->on_run_end = [this, id](const std::string& request,
                                         platform_adapter::run_end how) {
    checker_.OnRunEnd(id, request, how, boot_clock::now());
  };
  if (service == "loom") {
    added.standin->slots = engine_slots_;
    added.standin->shape_of_stream = [this](const http::request& message) {
      return checker_.StreamOf(message.headers.ValueOf("Attempt-Id"));
    };
    added.standin->copies = {"m1", "m2", "m3", "m4"};
    added.standin->models = {"m" + std::to_string(index % 3 + 1)};
    added.standin->on_order = [this, id](const std::string& holder,
                                         int64_t fencing) {
      checker_.OnOrder(id, holder, fencing);
    };
    added.standin->on_change = [this, index, id] {
      const site_endpoint& changed = endpoints_[index];
      checker_.OnResidency(id, changed.standin->models.size(),
                           changed.standin->adapters.size());
      if (changed.is_listed && !changed.draining_at)
        Publish(changed);
    };
  }
  endpoints_.push_back(std::move(added));
}

std::string soak_site::RotatingKey(int64_t version) const {
  return "passing" + std::to_string(version);
}

std::string soak_site::Configuration() const {
  const std::string number = std::to_string(version_);
  std::string routes =
      R"({"name":"order","host":"h","pathPrefix":"/order/","kind":"non_idempotent",
  "timeoutMs":4000,"targetLatencyMs":300,"service":"shop","maxAttempts":2},
 {"name":"look","host":"h","pathPrefix":"/look/","kind":"idempotent",
  "timeoutMs":4000,"targetLatencyMs":300,"service":"shop","maxAttempts":2},
 {"name":"write","host":"h","pathPrefix":"/write/","kind":"streaming",
  "timeoutMs":12000,"targetLatencyMs":2000,"service":"loom","maxAttempts":2,
  "resumable":true,"gapAimMs":500},
 {"name":"chat","host":"h","pathPrefix":"/chat/","kind":"streaming",
  "timeoutMs":12000,"targetLatencyMs":2000,"service":"loom","maxAttempts":1,
  "resumable":false,"gapAimMs":500},)";
  routes += R"({"name":"v)" + number + R"(","host":"h","pathPrefix":"/v)" +
            number + R"(/","kind":"idempotent","timeoutMs":4000,
  "targetLatencyMs":300,"service":"shop","maxAttempts":2})";
  std::string models;
  for (const char* model : {"m1", "m2", "m3", "m4"})
    models += std::string(models.empty() ? "" : ",") + R"({"name":")" + model +
              R"(","weightsMb":100,"adapterMb":1,"loadS":0.5,"diskS":0.1})";
  const auto team = [](const std::string& name, const std::string& key,
                       const team_allowance& allowance) {
    return R"({"name":")" + name + R"(","apiKeys":[")" + key +
           R"("],"plainTokens":10,"ratePerS":)" +
           std::to_string(static_cast<int64_t>(allowance.rate_per_second)) +
           R"(,"burst":)" +
           std::to_string(static_cast<int64_t>(allowance.burst)) + "}";
  };
  const team_allowance ample{100000, 100000};
  return R"({"version":)" + number + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"shop"},{"name":"loom","engine":{"slots":)" +
         std::to_string(engine_slots_) + R"(,
  "weightsMb":205,"adapterSlots":4,"loadsPerS":5,"models":[)" +
         models +
         R"(]}}],"limits":{"maxHeaderBytes":8000,"maxBodyBytes":8000,
  "headerTimeoutMs":3000,"idleTimeoutMs":9000},"tenants":[)" +
         team("beads", "key1", ample) + "," +
         team("small", "key2", TeamAllowances().at("small")) + "," +
         team("passing", RotatingKey(version_), ample) + "]}";
}

void soak_site::ChangeConfiguration() {
  ++version_;
  store_.Put("op", "config", Configuration());
  changed_at_ = boot_clock::now();
}

void soak_site::NoteDisturbance(time_point end) {
  disturbed_until_ = std::max(disturbed_until_, end);
}

bool soak_site::WasUndisturbed(time_point since) const {
  return since - kSettlingTime > disturbed_until_;
}

bool soak_site::Stop(site_node& node) {
  if (node.stopping_since || !node.process->HandlesSignals())
    return false;
  node.is_end_expected = true;
  node.stopping_since = node.stopped_at = boot_clock::now();
  node.process->Signal(SIGTERM);
  return true;
}

void soak_site::Reload(site_node& node) {
  if (!node.process->HandlesSignals())
    return;
  node.reloaded_at = boot_clock::now();
  node.process->Signal(SIGHUP);
}

call_conditions soak_site::ConditionsOf(const site_node& node,
                                        time_point sent_at,
                                        bool is_first_on_connection) const {
  call_conditions out;
  out.node = node.process->plan().name;
  out.is_first_on_connection = is_first_on_connection;
  out.is_undisturbed = WasUndisturbed(sent_at);
  if (node.stopped_at &&
      boot_clock::now() - *node.stopped_at <= kStopBound + Seconds(1))
    out.stopped_at = node.stopped_at;
  if (node.reloaded_at && *node.reloaded_at > sent_at - kConfigurationBound)
    out.reloaded_at = node.reloaded_at;
  if (changed_at_ > sent_at - kConfigurationBound)
    out.reconfigured_at = changed_at_;
  return out;
}

void soak_site::Publish(const site_endpoint& endpoint) {
  store_.Put(
      "servers", endpoint.standin->id(),
      endpoint.standin->Entry(endpoint.service,
                              endpoint.draining_at ? "draining" : "ready"));
}

void soak_site::RewriteConfiguration() {
  store_.Put("op", "config", Configuration());
}

void soak_site::RewriteEntry(const site_endpoint& endpoint) {
  if (endpoint.is_listed)
    return Publish(endpoint);
  store_.Remove("servers", endpoint.standin->id());
}

void soak_site::Drain(site_endpoint& endpoint) {
  endpoint.draining_at = boot_clock::now();
  Publish(endpoint);
}

void soak_site::Unlist(site_endpoint& endpoint) {
  endpoint.is_listed = false;
  store_.Remove("servers", endpoint.standin->id());
}

void soak_site::Crash(site_endpoint& endpoint) {
  endpoint.standin->Restart();
  endpoint.proxy->ResetOpenConnections();
  endpoint.proxy->RefuseNewConnections();
}

void soak_site::Relist(site_endpoint& endpoint) {
  endpoint.standin->Restart();
  endpoint.proxy->ResetOpenConnections();
  endpoint.draining_at.reset();
  endpoint.is_listed = true;
  Publish(endpoint);
}

void soak_site::Supervise() {
  const time_point now = boot_clock::now();
  for (site_node& node : nodes_) {
    const std::string& name = node.process->plan().name;
    const auto code = node.process->TakeExitCode();
    if (code && !node.is_end_expected)
      checker_.AddViolation(
          "processes end only when told to",
          name + " exited with code " + std::to_string(*code));
    if (code && node.stopping_since && *code != 0 &&
        WasUndisturbed(*node.stopping_since))
      checker_.AddViolation(
          "planned stops exit with code 0",
          name + " exited with code " + std::to_string(*code));
    if (node.stopping_since && node.process->IsRunning() &&
        now - *node.stopping_since > kStopBound) {
      if (WasUndisturbed(*node.stopping_since))
        checker_.AddViolation("planned stops end in time", name);
      node.process->Signal(SIGKILL);
    }
    if (node.process->PeakMemoryKb() > node_memory_kb_)
      checker_.AddViolation("nodes stay within their memory limit", name);
    if (node.process->IsRunning())
      continue;
    node.is_end_expected = false;
    node.stopping_since.reset();
    ++node.incarnation;
    node.process->Start();
  }
}

}  // namespace jasminepath::soak
