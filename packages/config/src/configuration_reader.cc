#include "configuration_reader.h"

#include <array>
#include <utility>

namespace jasminepath::config {

namespace {

constexpr std::array<std::string_view, 2> kServiceKindNames = {"model",
                                                               "plain"};
constexpr std::array<std::string_view, 7> kHttpMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr int64_t kMaxTokens = 1'000'000'000'000;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxBytes = int64_t{1} << 50;
constexpr int64_t kMaxAccelerators = 1024;
constexpr int64_t kMaxReplicas = 100'000;
constexpr int64_t kMaxConcurrency = 100'000;
constexpr int64_t kMaxPriority = 9;
constexpr int64_t kMaxLoads = 1'000'000;
constexpr double kMaxPrice = 1e9;
constexpr double kMaxLoadsPerSecond = 1e6;

team ReadTeam(object_reader& reader) {
  team value;
  value.id = team_id(reader.Name("id"));
  value.rate_per_second =
      tokens(reader.RequiredInteger("rate_per_second", {1, kMaxTokens}));
  value.burst = tokens(reader.RequiredInteger("burst", {1, kMaxTokens}));
  value.weight = reader.Integer("weight", value.weight, {1, kMaxWeight});
  return value;
}

objective ReadObjective(object_reader& reader) {
  objective value;
  value.team = team_id(reader.Name("team"));
  value.service = service_id(reader.Name("service"));
  value.target = reader.Number("target", value.target, 1.0);
  if (value.target <= 0 || value.target >= 1) {
    reader.Report("target", "leaves no error budget or no objective",
                  "write a number above 0 and below 1");
  }
  value.first_byte = reader.Duration("first_byte_ms", value.first_byte);
  return value;
}

site_weights ReadWeights(object_reader& reader) {
  site_weights value;
  value.cold_start_second =
      reader.Number("cold_start_second", value.cold_start_second, kMaxPrice);
  value.idle_accelerator_hour = reader.Number(
      "idle_accelerator_hour", value.idle_accelerator_hour, kMaxPrice);
  return value;
}

weight_store ReadWeightStore(object_reader& reader) {
  weight_store value;
  value.full_speed_loads = reader.Integer(
      "full_speed_loads", value.full_speed_loads, {1, kMaxLoads});
  value.full_speed_adapter_loads =
      reader.Integer("full_speed_adapter_loads", value.full_speed_adapter_loads,
                     {1, kMaxLoads});
  value.loads_per_second = reader.Number(
      "loads_per_second", value.loads_per_second, kMaxLoadsPerSecond);
  if (value.loads_per_second <= 0) {
    reader.Report("loads_per_second", "allows no load",
                  "write a number above 0");
  }
  return value;
}

endpoint ReadEndpoint(object_reader& reader) {
  endpoint value;
  value.id = endpoint_id(reader.Name("id"));
  value.vm = vm_id(reader.Name("vm"));
  value.zone = zone_id(reader.Name("zone"));
  value.address = reader.Address("address");
  value.memory = reader.Size("memory_bytes", value.memory, {0, kMaxBytes});
  value.accelerators =
      reader.Integer("accelerators", value.accelerators, {0, kMaxAccelerators});
  value.honours_fencing = reader.Bool("honours_fencing", value.honours_fencing);
  return value;
}

adapter ReadAdapter(object_reader& reader) {
  adapter value;
  value.id = adapter_id(reader.Name("id"));
  value.size = bytes(reader.RequiredInteger("size_bytes", {1, kMaxBytes}));
  return value;
}

model ReadModel(object_reader& reader) {
  model value;
  value.id = model_id(reader.Name("id"));
  value.version = reader.Name("version");
  value.weights =
      bytes(reader.RequiredInteger("weights_bytes", {1, kMaxBytes}));
  value.cache_reserve =
      reader.Size("cache_reserve_bytes", value.cache_reserve, {0, kMaxBytes});
  value.remote_load = reader.Duration("remote_load_ms", value.remote_load);
  value.disk_load = reader.Duration("disk_load_ms", value.disk_load);
  value.memory_load = reader.Duration("memory_load_ms", value.memory_load);
  value.max_replicas =
      reader.Integer("max_replicas", value.max_replicas, {1, kMaxReplicas});
  reader.Objects("adapters", [&](object_reader& item) {
    value.adapters.push_back(ReadAdapter(item));
  });
  return value;
}

std::string ReadPathPrefix(object_reader& reader) {
  constexpr std::string_view kField = "path_prefix";
  std::string prefix = reader.String(kField);
  const bool has_valid_characters =
      prefix.find_first_of(" \t\r\n?#") == std::string::npos;
  if (!prefix.empty() && (prefix.front() != '/' || !has_valid_characters)) {
    reader.Report(kField, "is not a valid path: \"" + prefix + "\"",
                  "start it with '/' and leave out spaces, '?' and '#'");
  }
  return prefix;
}

route ReadRoute(object_reader& reader) {
  route value;
  const std::size_t method = reader.Choice(
      "method", {kHttpMethods.begin(), kHttpMethods.end()}, std::nullopt);
  value.method = std::string(kHttpMethods[method]);
  value.path_prefix = ReadPathPrefix(reader);
  value.idempotent = reader.Bool("idempotent", value.idempotent);
  value.open = reader.Bool("open", value.open);
  value.cost =
      tokens(reader.Integer("cost", value.cost.count(), {0, kMaxTokens}));
  value.deadline = reader.Duration("deadline_ms", value.deadline);
  return value;
}

}  // namespace

void ReadSiteFields(object_reader& reader, configuration& output) {
  output.site = reader.Name("site");
  reader.Objects("teams", [&](object_reader& item) {
    output.teams.push_back(ReadTeam(item));
  });
  reader.Objects("objectives", [&](object_reader& item) {
    output.objectives.push_back(ReadObjective(item));
  });
  reader.Object("weights", [&](object_reader& member) {
    output.weights = ReadWeights(member);
  });
  reader.Object("weight_store", [&](object_reader& member) {
    output.store = ReadWeightStore(member);
  });
}

service ReadService(object_reader& reader) {
  service value;
  value.id = service_id(reader.Name("id"));
  value.kind = static_cast<service_kind>(reader.Choice(
      "kind", {kServiceKindNames.begin(), kServiceKindNames.end()},
      std::nullopt));
  for (std::string& name : reader.Names("teams"))
    value.teams.emplace_back(std::move(name));
  reader.Objects("endpoints", [&](object_reader& item) {
    value.endpoints.push_back(ReadEndpoint(item));
  });
  reader.Objects("models", [&](object_reader& item) {
    value.models.push_back(ReadModel(item));
  });
  value.deadline = reader.Duration("deadline_ms", value.deadline);
  value.endpoint_concurrency = reader.Integer(
      "endpoint_concurrency", value.endpoint_concurrency, {1, kMaxConcurrency});
  value.queue_limit =
      reader.Integer("queue_limit", value.queue_limit, {1, kMaxConcurrency});
  value.priority =
      reader.Integer("priority", value.priority, {0, kMaxPriority});
  reader.Objects("routes", [&](object_reader& item) {
    value.routes.push_back(ReadRoute(item));
  });
  return value;
}

}  // namespace jasminepath::config
