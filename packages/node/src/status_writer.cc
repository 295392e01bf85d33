#include "status_writer.h"

#include <utility>

#include "jasminepath/base/refusal.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::node {
namespace {

using config::json_member;
using config::json_value;

json_member TextMember(const char* name, std::string value) {
  return {name, json_value(std::move(value))};
}

json_member NumberMember(const char* name, int64_t value) {
  return {name, json_value(value)};
}

json_member FlagMember(const char* name, bool value) {
  return {name, json_value(value)};
}

// Returns an array member with one entry for each element of `source`.
template <typename Source, typename Convert>
json_member ListMember(const char* name,
                       const Source& source,
                       Convert convert) {
  json_value::array entries;
  for (const auto& element : source)
    entries.push_back(convert(element));
  return {name, json_value(std::move(entries))};
}

const char* NameOf(decision::instance_state state) {
  switch (state) {
    case decision::instance_state::alive:
      return "alive";
    case decision::instance_state::suspected:
      return "suspected";
    case decision::instance_state::ended:
      return "ended";
  }
  return "ended";
}

const char* NameOf(decision::replica_state state) {
  switch (state) {
    case decision::replica_state::absent:
      return "absent";
    case decision::replica_state::loading:
      return "loading";
    case decision::replica_state::resident:
      return "resident";
    case decision::replica_state::leaving:
      return "leaving";
  }
  return "absent";
}

const char* NameOf(decision::endpoint_rotation rotation) {
  switch (rotation) {
    case decision::endpoint_rotation::in_use:
      return "in_use";
    case decision::endpoint_rotation::ejected:
      return "ejected";
    case decision::endpoint_rotation::probing:
      return "probing";
    case decision::endpoint_rotation::leaving:
      return "leaving";
  }
  return "leaving";
}

json_value IdToJson(const model_id& id) {
  return json_value(id.value());
}

json_value InstanceToJson(const decision::instance_view& view) {
  return json_value(json_value::object{
      TextMember("instance", view.record.id.value()),
      TextMember("vm", view.record.vm.value()),
      TextMember("zone", view.record.zone.value()),
      TextMember("state", NameOf(view.state)),
      TextMember("admin_address", view.record.admin_address)});
}

json_value VmToJson(const decision::vm_placement_status& vm) {
  return json_value(json_value::object{
      TextMember("vm", vm.vm.value()), TextMember("owner", vm.owner.value()),
      NumberMember("epoch", vm.number.count()), FlagMember("held", vm.is_held),
      FlagMember("active", vm.is_active),
      NumberMember("charged_bytes", vm.charged.count()),
      NumberMember("capacity_bytes", vm.capacity.count()),
      ListMember("models", vm.models, IdToJson)});
}

json_value ReplicaToJson(const decision::replica_status& replica) {
  return json_value(
      json_value::object{TextMember("vm", replica.vm.value()),
                         TextMember("endpoint", replica.endpoint.value()),
                         FlagMember("promised", replica.has_accepted_epoch),
                         TextMember("state", NameOf(replica.state)),
                         TextMember("version", replica.version)});
}

json_value ModelToJson(const decision::model_placement_status& model) {
  return json_value(json_value::object{
      TextMember("model", model.model.value()),
      TextMember("decider", model.decider.value()),
      NumberMember("epoch", model.number.count()),
      FlagMember("held", model.is_held), NumberMember("decided", model.decided),
      NumberMember("waiting", model.waiting),
      NumberMember("running", model.running),
      ListMember("replicas", model.replicas, ReplicaToJson)});
}

json_value EndpointToJson(const decision::endpoint_routing_status& endpoint) {
  return json_value(
      json_value::object{TextMember("endpoint", endpoint.endpoint.value()),
                         TextMember("rotation", NameOf(endpoint.rotation)),
                         NumberMember("outstanding", endpoint.outstanding),
                         NumberMember("load", endpoint.load),
                         ListMember("ready", endpoint.ready, IdToJson)});
}

json_value RefusalCountToJson(const decision::refusal_count& entry) {
  return json_value(
      json_value::object{TextMember("code", std::string(ToString(entry.code))),
                         NumberMember("count", entry.count)});
}

json_value TeamToJson(const decision::team_admission& team) {
  return json_value(json_value::object{
      TextMember("team", team.team.value()),
      NumberMember("admitted", team.admitted),
      NumberMember("answered", team.answered),
      NumberMember("used_tokens", team.used.count()),
      NumberMember("available_tokens", team.available.count()),
      ListMember("refusals", team.refusals, RefusalCountToJson)});
}

json_value ShareToJson(const share_view& share) {
  return json_value(json_value::object{TextMember("team", share.team.value()),
                                       NumberMember("ppm", share.ppm)});
}

json_value LinksToJson(const mesh::link_counters& links) {
  return json_value(
      json_value::object{NumberMember("sent", links.sent),
                         NumberMember("sent_bytes", links.sent_bytes),
                         NumberMember("send_dropped", links.send_dropped),
                         NumberMember("received", links.received),
                         NumberMember("received_bytes", links.received_bytes),
                         NumberMember("ring_dropped", links.ring_dropped),
                         NumberMember("discarded", links.discarded),
                         NumberMember("redials", links.redials)});
}

}  // namespace

std::string WriteStatus(const status_view& view) {
  json_value::object root;
  root.push_back(TextMember("instance", view.self.id.value()));
  root.push_back(TextMember("vm", view.self.vm.value()));
  root.push_back(TextMember("zone", view.self.zone.value()));
  root.push_back(FlagMember("ready", view.is_ready));
  root.push_back(FlagMember("draining", view.is_draining));
  root.push_back(
      NumberMember("configuration_version", view.configuration.count()));
  root.push_back(NumberMember("facts_through", view.facts_through.count()));
  root.push_back(
      FlagMember("platform_breaker_open", view.is_platform_breaker_open));
  root.push_back(NumberMember("open_calls", view.calls.open_calls));
  root.push_back(NumberMember("retries", view.calls.retries));
  root.push_back(
      NumberMember("quarantine_records", view.calls.quarantine_records));
  root.push_back(ListMember("instances", view.instances, InstanceToJson));
  root.push_back(ListMember("shares", view.shares, ShareToJson));
  root.push_back(ListMember("teams", view.calls.teams, TeamToJson));
  root.push_back(ListMember("vms", view.placement.vms, VmToJson));
  root.push_back(ListMember("models", view.placement.models, ModelToJson));
  root.push_back(ListMember("endpoints", view.endpoints, EndpointToJson));
  root.push_back({"links", LinksToJson(view.links)});
  return config::WriteJson(json_value(std::move(root)));
}

}  // namespace jasminepath::node
