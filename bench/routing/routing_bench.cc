#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/decision/routing/router.h"

namespace jasminepath::decision {
namespace {

constexpr int kMaxModels = 75;
constexpr int kModelsPerEndpoint = 4;

// Limits the number of models by the number of endpoints, so that each model
// has at least one replica.
int ModelCount(int endpoints) {
  return std::min(kMaxModels, 2 * endpoints);
}

endpoint_status MakeStatus(int endpoint, int models) {
  endpoint_status status;
  status.endpoint = endpoint_id("engine-" + std::to_string(endpoint));
  status.incarnation = "1";
  for (int k = 0; k < kModelsPerEndpoint; ++k) {
    const int model = (endpoint * kModelsPerEndpoint + k) % models;
    status.models.push_back({model_id("model-" + std::to_string(model)),
                             "1",
                             resident_state::resident,
                             {},
                             bytes()});
  }
  return status;
}

std::shared_ptr<config::configuration> MakeSite(int endpoints) {
  auto made = std::make_shared<config::configuration>();
  config::service service;
  service.id = service_id("assistant");
  service.kind = config::service_kind::model;
  service.endpoint_concurrency = 32;
  for (int i = 0; i < endpoints; ++i) {
    config::endpoint endpoint;
    endpoint.id = endpoint_id("engine-" + std::to_string(i));
    endpoint.vm = vm_id("vm-" + std::to_string(i));
    endpoint.zone = zone_id("zone-" + std::to_string(i % 3));
    endpoint.address = "10.0.0.1:8000";
    service.endpoints.push_back(endpoint);
  }
  for (int i = 0; i < ModelCount(endpoints); ++i) {
    config::model model;
    model.id = model_id("model-" + std::to_string(i));
    service.models.push_back(model);
  }
  made->services.push_back(service);
  return made;
}

std::unique_ptr<router> MakeRouter(int endpoints, time_point now) {
  auto made = std::make_unique<router>(zone_id("zone-0"), random_engine(1),
                                       routing_limits());
  made->OnConfiguration(MakeSite(endpoints), now);
  const int models = ModelCount(endpoints);
  for (int i = 0; i < endpoints; ++i)
    made->OnEndpointStatus(MakeStatus(i, models), now);
  return made;
}

std::vector<routing_query> MakeQueries(int models,
                                       int64_t prefixes,
                                       time_point now) {
  std::vector<routing_query> queries;
  for (int i = 0; i < 1024; ++i) {
    routing_query query;
    query.service = service_id("assistant");
    query.model = model_id("model-" + std::to_string(i % models));
    query.deadline = now + Seconds(30);
    if (prefixes > 0)
      query.prefix_hash = 1 + static_cast<uint64_t>(i % prefixes);
    queries.push_back(query);
  }
  return queries;
}

// Makes one complete routing decision: pick, dispatch and end of an attempt.
void RouteOneCall(benchmark::State& state) {
  time_point now(Seconds(1000));
  const int endpoints = static_cast<int>(state.range(0));
  const auto under_test = MakeRouter(endpoints, now);
  const auto queries = MakeQueries(ModelCount(endpoints), state.range(1), now);
  std::size_t next = 0;
  for (auto _ : state) {
    const routing_query& query = queries[next++ % queries.size()];
    const routing_choice choice = under_test->Pick(query, now);
    benchmark::DoNotOptimize(choice);
    if (choice.verdict != routing_verdict::picked) {
      state.SkipWithError("no endpoint was picked");
      break;
    }
    under_test->OnDispatched(choice.endpoint, query, now);
    under_test->OnFinished(choice.endpoint, query, attempt_end::answered, now);
    now += std::chrono::microseconds(15);
  }
}
BENCHMARK(RouteOneCall)
    ->ArgNames({"endpoints", "prefixes"})
    ->ArgsProduct({{12, 1000, 12000}, {0, 500}});

// Applies the status of one engine.
void ApplyStatus(benchmark::State& state) {
  time_point now(Seconds(1000));
  const int endpoints = static_cast<int>(state.range(0));
  const auto under_test = MakeRouter(endpoints, now);
  std::vector<endpoint_status> statuses;
  for (int i = 0; i < endpoints; ++i)
    statuses.push_back(MakeStatus(i, ModelCount(endpoints)));
  std::size_t next = 0;
  for (auto _ : state) {
    under_test->OnEndpointStatus(statuses[next++ % statuses.size()], now);
    now += std::chrono::microseconds(100);
  }
}
BENCHMARK(ApplyStatus)->ArgName("endpoints")->Arg(12)->Arg(1000)->Arg(12000);

}  // namespace
}  // namespace jasminepath::decision

BENCHMARK_MAIN();
