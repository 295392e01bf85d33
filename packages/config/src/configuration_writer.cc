#include "configuration_writer.h"

#include <utility>

namespace jasminepath::config {

namespace {

json_value WriteText(const std::string& text) {
  return json_value(text);
}

json_value WriteSize(bytes size) {
  return json_value(size.count());
}

json_value WriteTokens(tokens count) {
  return json_value(count.count());
}

json_value WriteDuration(duration value) {
  return json_value(ToMilliseconds(value));
}

template <typename Item, typename Write>
json_value WriteList(const std::vector<Item>& items, Write write) {
  json_value::array list;
  for (const Item& item : items)
    list.push_back(write(item));
  return json_value(std::move(list));
}

json_value WriteTeam(const team& value) {
  return json_value(json_value::object{
      {"id", WriteText(value.id.value())},
      {"rate_per_second", WriteTokens(value.rate_per_second)},
      {"burst", WriteTokens(value.burst)},
      {"weight", json_value(value.weight)}});
}

json_value WriteObjective(const objective& value) {
  return json_value(
      json_value::object{{"team", WriteText(value.team.value())},
                         {"service", WriteText(value.service.value())},
                         {"target", json_value(value.target)},
                         {"first_byte_ms", WriteDuration(value.first_byte)}});
}

json_value WriteWeights(const site_weights& value) {
  return json_value(json_value::object{
      {"cold_start_second", json_value(value.cold_start_second)},
      {"idle_accelerator_hour", json_value(value.idle_accelerator_hour)}});
}

json_value WriteWeightStore(const weight_store& value) {
  return json_value(json_value::object{
      {"full_speed_loads", json_value(value.full_speed_loads)},
      {"full_speed_adapter_loads", json_value(value.full_speed_adapter_loads)},
      {"loads_per_second", json_value(value.loads_per_second)}});
}

json_value WriteEndpoint(const endpoint& value) {
  return json_value(json_value::object{
      {"id", WriteText(value.id.value())},
      {"vm", WriteText(value.vm.value())},
      {"zone", WriteText(value.zone.value())},
      {"address", WriteText(value.address)},
      {"memory_bytes", WriteSize(value.memory)},
      {"accelerators", json_value(value.accelerators)},
      {"honours_fencing", json_value(value.honours_fencing)}});
}

json_value WriteAdapter(const adapter& value) {
  return json_value(json_value::object{{"id", WriteText(value.id.value())},
                                       {"size_bytes", WriteSize(value.size)}});
}

json_value WriteModel(const model& value) {
  return json_value(json_value::object{
      {"id", WriteText(value.id.value())},
      {"version", WriteText(value.version)},
      {"weights_bytes", WriteSize(value.weights)},
      {"cache_reserve_bytes", WriteSize(value.cache_reserve)},
      {"remote_load_ms", WriteDuration(value.remote_load)},
      {"disk_load_ms", WriteDuration(value.disk_load)},
      {"memory_load_ms", WriteDuration(value.memory_load)},
      {"max_replicas", json_value(value.max_replicas)},
      {"adapters", WriteList(value.adapters, WriteAdapter)}});
}

json_value WriteRoute(const route& value) {
  return json_value(
      json_value::object{{"method", WriteText(value.method)},
                         {"path_prefix", WriteText(value.path_prefix)},
                         {"idempotent", json_value(value.idempotent)},
                         {"open", json_value(value.open)},
                         {"cost", WriteTokens(value.cost)},
                         {"deadline_ms", WriteDuration(value.deadline)}});
}

json_value WriteService(const service& value) {
  const auto write_team = [](const team_id& id) {
    return WriteText(id.value());
  };
  const bool is_model = value.kind == service_kind::model;
  return json_value(json_value::object{
      {"id", WriteText(value.id.value())},
      {"kind", WriteText(is_model ? "model" : "plain")},
      {"teams", WriteList(value.teams, write_team)},
      {"deadline_ms", WriteDuration(value.deadline)},
      {"endpoint_concurrency", json_value(value.endpoint_concurrency)},
      {"queue_limit", json_value(value.queue_limit)},
      {"priority", json_value(value.priority)},
      {"endpoints", WriteList(value.endpoints, WriteEndpoint)},
      {"models", WriteList(value.models, WriteModel)},
      {"routes", WriteList(value.routes, WriteRoute)}});
}

}  // namespace

json_value WriteConfiguration(const configuration& value) {
  return json_value(json_value::object{
      {"site", WriteText(value.site)},
      {"teams", WriteList(value.teams, WriteTeam)},
      {"objectives", WriteList(value.objectives, WriteObjective)},
      {"weights", WriteWeights(value.weights)},
      {"weight_store", WriteWeightStore(value.store)},
      {"services", WriteList(value.services, WriteService)}});
}

}  // namespace jasminepath::config
