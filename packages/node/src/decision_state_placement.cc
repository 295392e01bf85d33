// The part of decision_state that handles placement.

#include <utility>

#include "decision_state.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/report/event_log.h"
#include "order_sender.h"
#include "platform_gateway.h"
#include "row_codec.h"

namespace jasminepath::node {
namespace {

using decision::authority_key;
using decision::authority_kind;
using platform::platform_error;

std::string RowOf(const authority_key& key) {
  return key.kind == authority_kind::vm
             ? platform::VmAuthorityRow(vm_id(key.id))
             : platform::ModelAuthorityRow(model_id(key.id));
}

platform_purpose CommitPurpose(authority_kind kind) {
  return kind == authority_kind::vm ? platform_purpose::vm_authority_commit
                                    : platform_purpose::model_authority_commit;
}

platform_purpose ReadPurpose(authority_kind kind) {
  return kind == authority_kind::vm ? platform_purpose::vm_authority_read
                                    : platform_purpose::model_authority_read;
}

decision::authority_row RowFrom(const authority_key& key,
                                const platform::table_row& row) {
  decision::authority_row converted;
  converted.key = key;
  if (row.deleted || row.version == revision())
    return converted;
  converted.version = row.version;
  converted.record = DecodeAuthority(row.value);
  return converted;
}

}  // namespace

void decision_state::OnMessage(const instance_id& from,
                               const decision::placement_message& message,
                               time_point now) {
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnPlacementMessage(from, message, now, actions);
  });
}

void decision_state::Execute(decision::commit_authority& action, time_point) {
  const decision::authority_write& write = action.write;
  const std::string row = RowOf(write.key);
  pending_authorities_[write.key] = write.record;
  Submit({{CommitPurpose(write.key.kind), write.key.id, {}, {}},
          commit_rows{{{{row, write.expected}},
                       {{row, EncodeAuthority(write.record)}}}}});
}

void decision_state::Execute(decision::read_authority& action, time_point) {
  Submit({{ReadPurpose(action.key.kind), action.key.id, {}, {}},
          read_rows{RowOf(action.key), revision()}});
}

void decision_state::Execute(decision::send_placement_message& action,
                             time_point) {
  SendTo(action.to, std::move(action.message));
}

void decision_state::Execute(decision::send_order& action, time_point now) {
  dependencies_.log.Write(log_level::info, "order_sent",
                          {{"order", action.order.id},
                           {"endpoint", action.endpoint.value()},
                           {"kind", static_cast<int64_t>(action.order.kind)},
                           {"model", action.order.model.value()},
                           {"epoch", action.order.number.count()}});
  const std::string id = action.order.id;
  if (dependencies_.orders.TrySubmit(std::move(action)))
    return;
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnOrderOutcome({id, decision::order_end::failed}, now, actions);
  });
}

void decision_state::Execute(decision::load_estimate& action, time_point now) {
  router_.OnLoadEstimate(action.model, action.estimate, now);
  NotifyRoutesChanged(now);
}

void decision_state::Execute(decision::replica_ready& action, time_point now) {
  dependencies_.log.Write(
      log_level::info, "replica_ready",
      {{"model", action.model.value()}, {"endpoint", action.endpoint.value()}});
  router_.OnReplicaReady(action.model, action.endpoint, now);
  NotifyRoutesChanged(now);
}

void decision_state::OnAuthorityCommit(authority_kind kind,
                                       const platform_reply& reply,
                                       time_point now) {
  const authority_key key{kind, reply.context.subject};
  const auto& outcome = std::get<commit_rows::outcome>(reply.outcome);
  decision::authority_outcome converted;
  converted.row.key = key;
  if (!outcome) {
    converted.end = outcome.error() == platform_error::outcome_lost
                        ? decision::commit_end::unknown
                        : decision::commit_end::not_sent;
  } else if (outcome.value().committed) {
    converted.end = decision::commit_end::committed;
    converted.row.record = pending_authorities_[key];
    converted.row.version = outcome.value().version;
  } else {
    converted.end = decision::commit_end::conflict;
    if (!outcome.value().conflicts.empty())
      converted.row = RowFrom(key, outcome.value().conflicts.front());
  }
  pending_authorities_.erase(key);
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnAuthorityCommit(converted, now, actions);
  });
}

void decision_state::OnAuthorityRead(authority_kind kind,
                                     const platform_reply& reply,
                                     time_point now) {
  const authority_key key{kind, reply.context.subject};
  const auto& outcome = std::get<read_rows::outcome>(reply.outcome);
  if (!outcome) {
    ApplyToPlacement([&](auto& placement, auto& actions) {
      placement.OnAuthorityReadFailed(key, now, actions);
    });
    return;
  }
  decision::authority_row row;
  row.key = key;
  for (const platform::table_row& found : outcome.value().rows) {
    if (found.key == RowOf(key))
      row = RowFrom(key, found);
  }
  ApplyToPlacement([&](auto& placement, auto& actions) {
    placement.OnAuthorityRow(row, now, actions);
  });
}

}  // namespace jasminepath::node
