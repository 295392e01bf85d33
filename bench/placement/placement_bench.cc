#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jasminepath/decision/placement/placement_coordinator.h"

namespace jasminepath::decision {
namespace {

using coordinator = placement_coordinator<adaptive_timeout>;

constexpr int kModels = 75;
constexpr time_point kStart = time_point(Seconds(1000));

std::shared_ptr<config::configuration> MakeSite(int vms) {
  auto made = std::make_shared<config::configuration>();
  config::service service;
  service.id = service_id("assistant");
  service.kind = config::service_kind::model;
  for (int i = 0; i < vms; ++i) {
    config::endpoint endpoint;
    endpoint.id = endpoint_id("engine-" + std::to_string(i));
    endpoint.vm = vm_id("vm-" + std::to_string(i));
    endpoint.address = "10.0.0.1:8000";
    endpoint.memory = bytes(1000);
    endpoint.honours_fencing = true;
    service.endpoints.push_back(endpoint);
  }
  for (int i = 0; i < kModels; ++i) {
    config::model model;
    model.id = model_id("model-" + std::to_string(i));
    model.weights = bytes(100);
    service.models.push_back(model);
  }
  made->services.push_back(service);
  return made;
}

std::vector<instance_id> MakePeers(int64_t count) {
  std::vector<instance_id> peers;
  for (int64_t i = 0; i < count; ++i)
    peers.emplace_back("node-" + std::to_string(i));
  return peers;
}

// Returns a node that owns its part of the VMs.
coordinator MakeNode(int vms, int64_t peers) {
  coordinator node(instance_id("node-0"), zone_id("z"), random_engine(1),
                   placement_limits(), adaptive_timeout());
  std::vector<placement_action> actions;
  node.OnPeers(MakePeers(peers), kStart, actions);
  node.OnConfiguration(MakeSite(vms), kStart, actions);
  int64_t version = 0;
  for (const placement_action& action : std::exchange(actions, {})) {
    const auto* commit = std::get_if<commit_authority>(&action);
    if (commit == nullptr)
      continue;
    const authority_row row = {commit->write.key, commit->write.record,
                               revision(++version)};
    node.OnAuthorityCommit({commit_end::committed, row}, kStart, actions);
  }
  return node;
}

void Tick(benchmark::State& state) {
  coordinator node = MakeNode(static_cast<int>(state.range(0)), state.range(1));
  std::vector<placement_action> actions;
  for (auto _ : state) {
    actions.clear();
    node.OnTick(kStart, actions);
  }
}

void ChangePeerList(benchmark::State& state) {
  coordinator node = MakeNode(static_cast<int>(state.range(0)), state.range(1));
  const auto all = MakePeers(state.range(1));
  const auto fewer = MakePeers(state.range(1) - 1);
  std::vector<placement_action> actions;
  bool is_gone = false;
  for (auto _ : state) {
    actions.clear();
    is_gone = !is_gone;
    node.OnPeers(is_gone ? fewer : all, kStart, actions);
  }
}

void ApplyEngineStatus(benchmark::State& state) {
  const int vms = static_cast<int>(state.range(0));
  coordinator node = MakeNode(vms, state.range(1));
  std::vector<endpoint_status> statuses(static_cast<std::size_t>(vms));
  for (int i = 0; i < vms; ++i) {
    endpoint_status& status = statuses[static_cast<std::size_t>(i)];
    status.endpoint = endpoint_id("engine-" + std::to_string(i));
    status.incarnation = "1";
  }
  std::vector<placement_action> actions;
  std::size_t next = 0;
  for (auto _ : state) {
    actions.clear();
    node.OnEndpointStatus(statuses[next++ % statuses.size()], kStart, actions);
  }
}

void AtSizes(benchmark::internal::Benchmark* bench) {
  bench->ArgNames({"vms", "nodes"})
      ->Args({12, 8})
      ->Args({1000, 50})
      ->Args({12000, 470});
}

BENCHMARK(Tick)->Apply(AtSizes);
BENCHMARK(ChangePeerList)->Apply(AtSizes);
BENCHMARK(ApplyEngineStatus)->Apply(AtSizes);

}  // namespace
}  // namespace jasminepath::decision

BENCHMARK_MAIN();
