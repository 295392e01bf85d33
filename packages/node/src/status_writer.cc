#include "status_writer.h"

#include <utility>

#include "jasminepath/base/refusal.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::node {
namespace {

using config::json_member;
using config::json_value;

json_member Text(const char* name, std::string value) {
  return {name, json_value(std::move(value))};
}

json_member Number(const char* name, int64_t value) {
  return {name, json_value(value)};
}

json_member Flag(const char* name, bool value) {
  return {name, json_value(value)};
}

// An array member with one entry for each element of `source`.
template <typename Source, typename Convert>
json_member List(const char* name, const Source& source, Convert convert) {
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

json_value IdValue(const model_id& id) {
  return json_value(id.value());
}

json_value Instance(const decision::instance_view& view) {
  return json_value(json_value::object{
      Text("instance", view.record.id.value()),
      Text("vm", view.record.vm.value()),
      Text("zone", view.record.zone.value()), Text("state", NameOf(view.state)),
      Text("admin_address", view.record.admin_address)});
}

json_value Vm(const decision::vm_placement_status& vm) {
  return json_value(json_value::object{
      Text("vm", vm.vm.value()), Text("owner", vm.owner.value()),
      Number("epoch", vm.number.count()), Flag("held", vm.is_held),
      Flag("active", vm.is_active), Number("charged_bytes", vm.charged.count()),
      Number("capacity_bytes", vm.capacity.count()),
      List("models", vm.models, IdValue)});
}

json_value Replica(const decision::replica_status& replica) {
  return json_value(json_value::object{
      Text("vm", replica.vm.value()),
      Text("endpoint", replica.endpoint.value()),
      Flag("promised", replica.has_accepted_epoch),
      Text("state", NameOf(replica.state)), Text("version", replica.version)});
}

json_value Model(const decision::model_placement_status& model) {
  return json_value(json_value::object{
      Text("model", model.model.value()),
      Text("decider", model.decider.value()),
      Number("epoch", model.number.count()), Flag("held", model.is_held),
      Number("decided", model.decided), Number("waiting", model.waiting),
      Number("running", model.running),
      List("replicas", model.replicas, Replica)});
}

json_value Endpoint(const decision::endpoint_routing_status& endpoint) {
  return json_value(json_value::object{
      Text("endpoint", endpoint.endpoint.value()),
      Text("rotation", NameOf(endpoint.rotation)),
      Number("outstanding", endpoint.outstanding),
      Number("load", endpoint.load), List("ready", endpoint.ready, IdValue)});
}

json_value Refusals(const decision::refusal_count& entry) {
  return json_value(
      json_value::object{Text("code", std::string(ToString(entry.code))),
                         Number("count", entry.count)});
}

json_value Team(const decision::team_admission& team) {
  return json_value(json_value::object{
      Text("team", team.team.value()), Number("admitted", team.admitted),
      Number("answered", team.answered),
      Number("used_tokens", team.used.count()),
      Number("available_tokens", team.available.count()),
      List("refusals", team.refusals, Refusals)});
}

json_value Share(const share_view& share) {
  return json_value(json_value::object{Text("team", share.team.value()),
                                       Number("ppm", share.ppm)});
}

json_value Links(const mesh::link_counters& links) {
  return json_value(json_value::object{
      Number("sent", links.sent), Number("sent_bytes", links.sent_bytes),
      Number("send_dropped", links.send_dropped),
      Number("received", links.received),
      Number("received_bytes", links.received_bytes),
      Number("ring_dropped", links.ring_dropped),
      Number("discarded", links.discarded), Number("redials", links.redials)});
}

}  // namespace

std::string WriteStatus(const status_view& view) {
  json_value::object root;
  root.push_back(Text("instance", view.self.id.value()));
  root.push_back(Text("vm", view.self.vm.value()));
  root.push_back(Text("zone", view.self.zone.value()));
  root.push_back(Flag("ready", view.ready));
  root.push_back(Flag("draining", view.draining));
  root.push_back(Number("configuration_version", view.configuration.count()));
  root.push_back(Number("facts_through", view.facts_through.count()));
  root.push_back(Flag("platform_breaker_open", view.platform_breaker_open));
  root.push_back(Number("open_calls", view.calls.open_calls));
  root.push_back(Number("retries", view.calls.retries));
  root.push_back(Number("quarantine_records", view.calls.quarantine_records));
  root.push_back(List("instances", view.instances, Instance));
  root.push_back(List("shares", view.shares, Share));
  root.push_back(List("teams", view.calls.teams, Team));
  root.push_back(List("vms", view.placement.vms, Vm));
  root.push_back(List("models", view.placement.models, Model));
  root.push_back(List("endpoints", view.endpoints, Endpoint));
  root.push_back({"links", Links(view.links)});
  return config::WriteJson(json_value(std::move(root)));
}

}  // namespace jasminepath::node
