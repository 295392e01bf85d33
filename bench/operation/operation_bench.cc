// Benchmarks of configuration and service-level reports by the size of a site.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <string>

#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/report/service_level_recorder.h"

namespace jasminepath {
namespace {

constexpr int64_t kModels = 75;
constexpr int64_t kAdapters = 1400;
constexpr int64_t kZones = 24;
constexpr int64_t kEndpointsPerService = 160;
constexpr int64_t kTeams = 40;
constexpr report::unix_seconds kStart = 1'800'000'000;

// Allocated heap bytes of the process, including blocks allocated with mmap().
std::size_t HeapBytes() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

std::string NumberedName(const char* stem, int64_t number) {
  return stem + std::to_string(number);
}

config::endpoint MakeEndpoint(int64_t number) {
  config::endpoint value;
  value.id = endpoint_id(NumberedName("engine-", number));
  value.vm = vm_id(NumberedName("vm-engine-", number));
  value.zone = zone_id(NumberedName("zone-", number % kZones));
  value.address = "10." + std::to_string(number / 65536) + "." +
                  std::to_string(number / 256 % 256) + "." +
                  std::to_string(number % 256) + ":8000";
  value.memory = bytes(int64_t{160} << 30);
  value.accelerators = 2;
  value.honours_fencing = true;
  return value;
}

config::model MakeModel(int64_t number) {
  config::model value;
  value.id = model_id(NumberedName("model-", number));
  value.version = "v1";
  value.weights = bytes(int64_t{14} << 30);
  value.cache_reserve = bytes(int64_t{4} << 30);
  for (int64_t i = number; i < kAdapters; i += kModels) {
    value.adapters.push_back(
        {adapter_id(NumberedName("adapter-", i)), bytes(int64_t{128} << 20)});
  }
  return value;
}

// A site with all teams, models and adapters, and `endpoints` endpoints.
config::configuration MakeConfiguration(int64_t endpoints) {
  config::configuration site;
  site.site = "bench";
  for (int64_t i = 0; i < kTeams; ++i) {
    site.teams.push_back({team_id(NumberedName("team-", i)), tokens(100'000),
                          tokens(400'000), 1});
  }
  const int64_t services =
      (endpoints + kEndpointsPerService - 1) / kEndpointsPerService;
  for (int64_t s = 0; s < services; ++s) {
    config::service service;
    service.id = service_id(NumberedName("service-", s));
    service.kind = config::service_kind::model;
    for (int64_t i = s; i < endpoints; i += services)
      service.endpoints.push_back(MakeEndpoint(i));
    for (int64_t i = s; i < kModels; i += services)
      service.models.push_back(MakeModel(i));
    site.services.push_back(service);
  }
  return site;
}

void WriteConfiguration(benchmark::State& state) {
  const config::configuration site = MakeConfiguration(state.range(0));
  std::size_t size = 0;
  for (auto _ : state)
    size = config::ToJson(site).size();
  state.counters["row_bytes"] = static_cast<double>(size);
}
BENCHMARK(WriteConfiguration)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000)
    ->Unit(benchmark::kMillisecond);

void ReadConfiguration(benchmark::State& state) {
  const std::string json = config::ToJson(MakeConfiguration(state.range(0)));
  for (auto _ : state) {
    const auto read = config::ConfigurationFromJson(json, revision(1));
    if (!read)
      state.SkipWithError("the configuration was refused");
  }
}
BENCHMARK(ReadConfiguration)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000)
    ->Unit(benchmark::kMillisecond);

// Measures the heap bytes of a compiled configuration.
void ConfigurationMemory(benchmark::State& state) {
  const std::string json = config::ToJson(MakeConfiguration(state.range(0)));
  double held_bytes = 0;
  for (auto _ : state) {
    const auto before = HeapBytes();
    const auto read = config::ConfigurationFromJson(json, revision(1));
    held_bytes = static_cast<double>(HeapBytes() - before);
  }
  state.counters["heap_bytes"] = held_bytes;
}
BENCHMARK(ConfigurationMemory)->Arg(120)->Arg(1200)->Arg(12000)->Iterations(3);

report::recorded_call MakeCall(int64_t route) {
  report::recorded_call call;
  call.key = {team_id(NumberedName("team-", route % kTeams)),
              service_id("service-1"), NumberedName("model-", route / kTeams)};
  call.first_byte = Milliseconds(40 + route % 500);
  return call;
}

// Records one call, with the given number of routes in the window.
void RecordCall(benchmark::State& state) {
  report::service_level_recorder recorder{instance_id("run-1")};
  int64_t i = 0;
  for (auto _ : state)
    recorder.Record(MakeCall(i++ % state.range(0)), kStart);
}
BENCHMARK(RecordCall)->Arg(30)->Arg(300)->Arg(3000);

// Measures the heap bytes of the recorder after two hours in which every route
// is called in every window, and the bytes that it stores per hour.
void RecorderMemory(benchmark::State& state) {
  double held_bytes = 0;
  double stored_bytes = 0;
  for (auto _ : state) {
    const auto before = HeapBytes();
    report::service_level_recorder recorder{instance_id("run-1")};
    for (report::unix_seconds t = 0; t < 2 * report::kStoredObjectSeconds;
         t += report::kWindowSeconds) {
      for (int64_t route = 0; route < state.range(0); ++route)
        recorder.Record(MakeCall(route), kStart + t);
    }
    held_bytes = static_cast<double>(HeapBytes() - before);
    stored_bytes =
        static_cast<double>(recorder.TakeChanged().front().body.size());
  }
  state.counters["heap_bytes"] = held_bytes;
  state.counters["stored_bytes_an_hour"] = stored_bytes;
}
BENCHMARK(RecorderMemory)
    ->Arg(30)
    ->Arg(300)
    ->Arg(3000)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jasminepath

BENCHMARK_MAIN();
