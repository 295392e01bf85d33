// The part of decision_state that handles membership, facts and shares.

#include <algorithm>
#include <string_view>
#include <utility>

#include "decision_state.h"
#include "endpoint_poller.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/config/team_key_codec.h"
#include "jasminepath/mesh/link_set.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/report/event_log.h"
#include "node_metrics.h"
#include "node_view.h"
#include "platform_gateway.h"
#include "platform_throttle.h"
#include "row_codec.h"

namespace jasminepath::node {
namespace {

using platform::platform_error;

decision::write_outcome EndOf(const commit_rows::outcome& outcome) {
  if (!outcome) {
    return outcome.error() == platform_error::outcome_lost
               ? decision::write_outcome::lost
               : decision::write_outcome::unreachable;
  }
  return outcome.value().committed ? decision::write_outcome::committed
                                   : decision::write_outcome::conflict;
}

revision VersionOf(const commit_rows::outcome& outcome) {
  return outcome && outcome.value().committed ? outcome.value().version
                                              : revision();
}

std::vector<polled_endpoint> EnginesOf(const config::configuration& source) {
  std::vector<polled_endpoint> engines;
  for (const config::service& service : source.services) {
    if (service.kind != config::service_kind::model)
      continue;
    for (const config::endpoint& endpoint : service.endpoints)
      engines.push_back({endpoint.id, endpoint.address});
  }
  return engines;
}

}  // namespace

void decision_state::OnMessage(const instance_id& from,
                               const decision::fleet_message& message,
                               time_point now) {
  QueueFleetActions(fleet_.OnFleetMessage(from, message, now));
}

void decision_state::Execute(decision::send_fleet_message& action, time_point) {
  dependencies_.links.Send({action.peer.instance, action.peer.address},
                           mesh::node_message(std::move(action.message)));
}

void decision_state::Execute(decision::set_links& action, time_point) {
  std::vector<mesh::link_peer> peers;
  for (const decision::peer_link& peer : action.peers)
    peers.push_back({peer.instance, peer.address});
  dependencies_.links.SetLinks(peers);
}

void decision_state::Execute(decision::redial_link& action, time_point) {
  dependencies_.log.Write(log_level::warning, "link_redialled",
                          {{"peer", action.peer.instance.value()},
                           {"address", action.peer.address}});
  dependencies_.links.Redial({action.peer.instance, action.peer.address});
}

void decision_state::Execute(decision::poll_facts& action, time_point) {
  Submit({{platform_purpose::fact_poll, "", {}, action.since},
          read_rows{platform::kFactPrefix, action.since}});
}

void decision_state::Execute(decision::poll_instances& action, time_point) {
  Submit({{platform_purpose::instance_poll, "", {}, action.since},
          read_rows{platform::kInstancePrefix, action.since}});
}

void decision_state::Execute(decision::poll_vms&, time_point) {
  Submit({{platform_purpose::vm_poll, "", {}, {}}, list_vms{}});
}

void decision_state::Execute(decision::write_instance& action, time_point) {
  const std::string row = platform::InstanceRow(action.record.id);
  Submit({{platform_purpose::instance_write,
           action.record.id.value(),
           {},
           action.expected},
          commit_rows{{{{row, action.expected}},
                       {{row, EncodeInstance(action.record)}}}}});
}

void decision_state::Execute(decision::remove_instance& action, time_point) {
  const std::string row = platform::InstanceRow(action.instance);
  Submit({{platform_purpose::instance_write,
           action.instance.value(),
           {},
           action.expected},
          commit_rows{{{{row, action.expected}}, {{row, std::nullopt}}}}});
}

void decision_state::Execute(decision::commit_share& action, time_point) {
  const std::string row = platform::ShareRow(action.team);
  Submit({{platform_purpose::share_commit,
           action.team.value(),
           {},
           action.expected},
          commit_rows{{{{row, action.expected}},
                       {{row, EncodeShare(action.record)}}}}});
}

void decision_state::Execute(decision::read_share& action, time_point) {
  Submit({{platform_purpose::share_read, action.team.value(), {}, {}},
          read_rows{platform::ShareRow(action.team), revision()}});
}

void decision_state::Execute(decision::apply_fact& action, time_point now) {
  const std::string_view key = action.changed.key;
  if (key == platform::kConfigurationKey)
    ApplyConfiguration(action.changed, now);
  else if (key.starts_with(platform::kTeamKeyPrefix))
    ApplyTeamKey(action.changed, now);
  else if (key.starts_with(platform::kQuarantinePrefix))
    ApplyQuarantine(action.changed, now);
}

void decision_state::ApplyConfiguration(const decision::fact& fact,
                                        time_point now) {
  if (fact.deleted)
    return;
  auto parsed = config::ConfigurationFromJson(fact.value, fact.version);
  if (!parsed) {
    // The operator's tool validates a configuration before committing it. If a
    // row still does not parse, the configuration in force stays unchanged.
    dependencies_.log.Write(
        log_level::error, "configuration_unreadable",
        {{"version", fact.version.count()},
         {"fault", config::ToString(parsed.error().front())}});
    return;
  }
  configuration_ =
      std::make_shared<const config::configuration>(std::move(parsed.value()));
  dependencies_.view.SetConfiguration(configuration_);
  dependencies_.metrics.SetObjectives(configuration_->objectives);
  dependencies_.poller.SetEndpoints(EnginesOf(*configuration_));
  router_.OnConfiguration(configuration_, now);
  QueueFleetActions(fleet_.OnConfiguration(configuration_, now));
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnConfiguration(configuration_, now, actions);
  });
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnConfiguration(configuration_, now, actions);
  });
  dependencies_.log.Write(log_level::info, "configuration_in_force",
                          {{"version", fact.version.count()}});
}

void decision_state::ApplyTeamKey(const decision::fact& fact, time_point now) {
  const std::string id =
      fact.key.substr(std::string_view(platform::kTeamKeyPrefix).size());
  config::team_key key;
  if (fact.deleted) {
    key.id = key_id(id);
    key.withdrawn = true;
  } else {
    const auto parsed = config::TeamKeyFromJson(fact.value);
    if (!parsed) {
      dependencies_.log.Write(log_level::error, "team_key_unreadable",
                              {{"key", id}});
      return;
    }
    key = parsed.value();
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnKeyFact(key, fact.version, now, actions);
  });
  dependencies_.log.Write(log_level::info, "team_key_in_force",
                          {{"key", id},
                           {"withdrawn", key.withdrawn ? "true" : "false"},
                           {"version", fact.version.count()}});
}

void decision_state::ApplyQuarantine(const decision::fact& fact,
                                     time_point now) {
  decision::quarantine_record record;
  if (fact.deleted) {
    record.fingerprint = decision::request_fingerprint(
        fact.key.substr(std::string_view(platform::kQuarantinePrefix).size()));
    record.state = decision::quarantine_state::cleared;
  } else {
    const auto parsed = DecodeQuarantine(fact.value);
    if (!parsed)
      return;
    record = *parsed;
  }
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnQuarantineFact(record, fact.version, now, actions);
  });
}

void decision_state::Execute(decision::instance_ended& action, time_point now) {
  dependencies_.log.Write(log_level::info, "instance_ended",
                          {{"peer", action.instance.value()}});
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnInstanceEnded(action.instance, now, actions);
  });
}

void decision_state::Execute(decision::instance_suspected& action,
                             time_point now) {
  dependencies_.log.Write(log_level::warning, "instance_suspected",
                          {{"peer", action.instance.value()}});
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnInstanceSuspected(action.instance, now, actions);
  });
}

void decision_state::Execute(decision::peers_changed& action, time_point now) {
  mesh_addresses_.clear();
  for (const decision::instance_view& view : fleet_.Instances())
    mesh_addresses_[view.record.id] = view.record.mesh_address;
  dependencies_.throttle.SetNodeCount(static_cast<int64_t>(action.live.size()),
                                      now);
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnPeers(action.live, now, actions);
  });
  std::vector<instance_id> others = action.live;
  std::erase(others, settings_.self.id);
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnPeers(std::move(others), now, actions);
  });
}

void decision_state::Execute(decision::share_changed& action, time_point now) {
  dependencies_.log.Write(log_level::debug, "share_changed",
                          {{"team", action.team.value()}, {"ppm", action.ppm}});
  ApplyToCalls([&](auto& calls, auto& actions) {
    calls.OnShare(action.team, action.ppm, now, actions);
  });
}

void decision_state::Execute(decision::readiness_changed& action,
                             time_point now) {
  dependencies_.log.Write(log_level::info, "readiness_changed",
                          {{"ready", action.ready ? "true" : "false"},
                           {"code", ToString(action.code)}});
  is_fleet_ready_ = action.ready;
  unready_reason_ = action.code;
  UpdateReadiness(now);
}

void decision_state::Execute(decision::instance_fenced&, time_point) {
  dependencies_.log.Write(log_level::error, "instance_fenced", {});
  is_fenced_ = true;
}

void decision_state::Execute(decision::drain_finished&, time_point) {
  has_fleet_drained_ = true;
}

void decision_state::OnFactPoll(const platform_reply& reply, time_point now) {
  const auto& outcome = std::get<read_rows::outcome>(reply.outcome);
  if (!outcome) {
    QueueFleetActions(fleet_.OnPollFailed(decision::poll_kind::facts, now));
    return;
  }
  std::vector<decision::fact> facts;
  for (const platform::table_row& row : outcome.value().rows)
    facts.push_back({row.key, row.value, row.version, row.deleted});
  QueueFleetActions(fleet_.OnFactRows(facts, reply.context.since,
                                      outcome.value().version, now));
}

void decision_state::OnInstancePoll(const platform_reply& reply,
                                    time_point now) {
  const auto& outcome = std::get<read_rows::outcome>(reply.outcome);
  if (!outcome) {
    QueueFleetActions(fleet_.OnPollFailed(decision::poll_kind::instances, now));
    return;
  }
  const std::size_t prefix = std::string_view(platform::kInstancePrefix).size();
  std::vector<decision::instance_row> rows;
  for (const platform::table_row& row : outcome.value().rows) {
    const auto record = DecodeInstance(row.value);
    if (!row.deleted && !record)
      continue;
    rows.push_back({row.key.substr(prefix),
                    record.value_or(decision::instance_record{}), row.version,
                    row.deleted});
  }
  QueueFleetActions(fleet_.OnInstanceRows(rows, reply.context.since,
                                          outcome.value().version, now));
}

void decision_state::OnVmPoll(const platform_reply& reply, time_point now) {
  const auto& outcome = std::get<list_vms::outcome>(reply.outcome);
  if (!outcome) {
    QueueFleetActions(fleet_.OnPollFailed(decision::poll_kind::vms, now));
    return;
  }
  std::vector<decision::fleet_vm> listed;
  std::vector<vm_id> live;
  std::vector<vm_id> leaving;
  for (const platform::listed_vm& vm : outcome.value()) {
    const bool leaves = vm.state == platform::vm_state::leaving;
    listed.push_back({vm.id, leaves});
    (leaves ? leaving : live).push_back(vm.id);
  }
  QueueFleetActions(fleet_.OnVmList(listed, now));
  router_.OnVmList(leaving, live, now);
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnVmList(live, leaving, now, actions);
  });
  NotifyRoutesChanged(now);
}

void decision_state::OnInstanceWrite(const platform_reply& reply,
                                     time_point now) {
  const auto& outcome = std::get<commit_rows::outcome>(reply.outcome);
  QueueFleetActions(fleet_.OnInstanceWritten(
      instance_id(reply.context.subject), reply.context.since, EndOf(outcome),
      VersionOf(outcome), now));
}

void decision_state::OnShareCommit(const platform_reply& reply,
                                   time_point now) {
  const auto& outcome = std::get<commit_rows::outcome>(reply.outcome);
  QueueFleetActions(fleet_.OnShareCommitted(team_id(reply.context.subject),
                                            reply.context.since, EndOf(outcome),
                                            VersionOf(outcome), now));
}

void decision_state::OnShareRead(const platform_reply& reply, time_point now) {
  const team_id team(reply.context.subject);
  const auto& outcome = std::get<read_rows::outcome>(reply.outcome);
  if (!outcome) {
    QueueFleetActions(fleet_.OnShareReadFailed(team, now));
    return;
  }
  decision::share_record record;
  revision version;
  for (const platform::table_row& row : outcome.value().rows) {
    if (row.key != platform::ShareRow(team) || row.deleted)
      continue;
    const auto decoded = DecodeShare(row.value);
    if (!decoded) {
      QueueFleetActions(fleet_.OnShareReadFailed(team, now));
      return;
    }
    record = *decoded;
    version = row.version;
  }
  QueueFleetActions(fleet_.OnShareRow(team, record, version, now));
}

void decision_state::OnWindowSaved(const platform_reply& reply) {
  if (!std::get<put_object::outcome>(reply.outcome))
    dependencies_.metrics.MarkUnstored(reply.context.subject);
}

void decision_state::OnEvent(platform_reply& event, time_point now) {
  using decision::authority_kind;
  switch (event.context.purpose) {
    case platform_purpose::fact_poll:
      return OnFactPoll(event, now);
    case platform_purpose::instance_poll:
      return OnInstancePoll(event, now);
    case platform_purpose::vm_poll:
      return OnVmPoll(event, now);
    case platform_purpose::instance_write:
      return OnInstanceWrite(event, now);
    case platform_purpose::share_commit:
      return OnShareCommit(event, now);
    case platform_purpose::share_read:
      return OnShareRead(event, now);
    case platform_purpose::claim_commit:
      return OnClaimCommit(event, now);
    case platform_purpose::claim_read:
      return OnClaimRead(event, now);
    case platform_purpose::quarantine_commit:
      return OnQuarantineCommit(event, now);
    case platform_purpose::vm_authority_commit:
      return OnAuthorityCommit(authority_kind::vm, event, now);
    case platform_purpose::vm_authority_read:
      return OnAuthorityRead(authority_kind::vm, event, now);
    case platform_purpose::model_authority_commit:
      return OnAuthorityCommit(authority_kind::model, event, now);
    case platform_purpose::model_authority_read:
      return OnAuthorityRead(authority_kind::model, event, now);
    case platform_purpose::answer_record:
      return OnAnswerRecord(event, now);
    case platform_purpose::answer_read:
      return OnAnswerRead(event, now);
    case platform_purpose::window_save:
      return OnWindowSaved(event);
  }
}

}  // namespace jasminepath::node
