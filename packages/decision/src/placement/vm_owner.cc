#include "placement/vm_owner.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

namespace {

// An adapter that was requested within this time is not evicted.
constexpr duration kAdapterUseTimeout = Seconds(10);
// An owner that is alive detects a restart of its engine and raises the fence
// again within this time.
constexpr duration kRefenceTimeout = Seconds(10);
// Twice the interval at which deciders ask about a resident replica, with a
// margin.
constexpr duration kDeciderTimeout = Seconds(35);

replica_state ToReplicaState(resident_state state) {
  switch (state) {
    case resident_state::loading:
      return replica_state::loading;
    case resident_state::unloading:
      return replica_state::leaving;
    case resident_state::resident:
      break;
  }
  return replica_state::resident;
}

}  // namespace

vm_owner::vm_owner(vm_id vm,
                   epoch number,
                   instance_id self,
                   const placement_limits& limits)
    : vm_(std::move(vm)),
      number_(number),
      self_(std::move(self)),
      limits_(limits) {}

std::vector<model_id> vm_owner::Models() const {
  std::vector<model_id> models;
  for (const auto& [model, replica] : replicas_)
    models.push_back(model);
  return models;
}

instance_id vm_owner::DeciderOf(const model_id& model, time_point now) const {
  const auto found = accepted_epochs_.find(model);
  if (found == accepted_epochs_.end() ||
      now - found->second.last_request_at > kDeciderTimeout)
    return instance_id();
  return found->second.decider;
}

std::vector<std::string> vm_owner::StoreLoads() const {
  std::vector<std::string> loads;
  for (const auto& [model, replica] : replicas_) {
    if (replica.store != store_use::none)
      loads.push_back(replica.load);
    for (const auto& [adapter, entry] : replica.adapters) {
      if (entry.store != store_use::none)
        loads.push_back(entry.load);
    }
  }
  return loads;
}

void vm_owner::Start(const owner_context& context) {
  accounting_.SetCapacity(context.vm.endpoint.memory);
  if (HonoursFencing(context)) {
    SendFence(context);
    return;
  }
  phase_ = phase::reading;
  min_status_time_ =
      context.now + limits_.order_expiry + limits_.order_settle_time;
  // The first owner of a VM does not have to wait for orders of an earlier
  // owner.
  if (number_ == epoch(1))
    min_status_time_ = context.now;
}

void vm_owner::OnStatus(const owner_context& context) {
  if (phase_ == phase::superseded)
    return;
  accounting_.SetCapacity(context.vm.endpoint.memory);
  engine_fence_ = std::max(engine_fence_, context.vm.status.fence);
  if (HonoursFencing(context) && engine_fence_ > number_) {
    Supersede(engine_fence_);
    return;
  }
  if (HasRestarted(context))
    Revalidate(context);
  const bool has_fresh_status = context.vm.observed_at > min_status_time_;
  if (phase_ == phase::reading && has_fresh_status && HasLostFence(context))
    ResendFence(context);
  else if (phase_ == phase::reading && has_fresh_status && IsValidated(context))
    Activate(context);
  if (phase_ != phase::active)
    return;
  incarnation_ = context.vm.status.incarnation;
  Reconcile(context);
}

bool vm_owner::OnOutcome(const order_outcome& outcome,
                         const owner_context& context) {
  const auto found = orders_.find(outcome.id);
  if (found == orders_.end())
    return false;
  const pending_order order = found->second;
  orders_.erase(found);
  if (phase_ == phase::superseded)
    return true;
  const bool is_old_fence =
      order.kind == order_kind::fence && outcome.id != fence_order_;
  if (is_old_fence && outcome.end != order_end::stale_epoch)
    return true;
  if (outcome.end == order_end::stale_epoch) {
    Supersede(number_);
    return true;
  }
  switch (order.kind) {
    case order_kind::fence:
      OnFenceOutcome(outcome.end, context);
      break;
    case order_kind::load_model:
      OnLoadOutcome(order, outcome.end, context);
      break;
    case order_kind::unload_model:
      OnUnloadOutcome(order, outcome.end, context);
      break;
    case order_kind::load_adapter:
    case order_kind::unload_adapter:
      OnAdapterOutcome(order, outcome.end, context);
      break;
  }
  return true;
}

void vm_owner::OnTick(const owner_context& context) {
  if (phase_ == phase::superseded)
    return;
  const bool needs_fence =
      phase_ == phase::fencing || !unconfirmed_models_.empty();
  if (needs_fence && fence_order_.empty() && context.now >= fence_retry_at_)
    SendFence(context);
  for (auto& [model, replica] : replicas_) {
    if (replica.store != store_use::waiting)
      continue;
    if (context.now - replica.store_requested_at <
        limits_.message_retry_interval)
      continue;
    replica.store_requested_at = context.now;
    RequestStoreSlot(store_load::model, replica.load, replica.urgency, context);
  }
}

void vm_owner::OnPrepare(const instance_id& from,
                         const prepare_request& request,
                         const owner_context& context) {
  if (!AcceptRequest(from, request.model, request.model_epoch, request.sequence,
                     context))
    return;
  SendReport(request.model, report_reason::answer, context);
}

void vm_owner::OnLoad(const instance_id& from,
                      const load_request& request,
                      const owner_context& context) {
  if (!AcceptRequest(from, request.model, request.model_epoch, request.sequence,
                     context))
    return;
  if (replicas_.contains(request.model)) {
    SendReport(request.model, report_reason::answer, context);
    return;
  }
  const bytes size = context.site.ReplicaSize(request.model);
  const bool known = context.site.FindModel(request.model) != nullptr;
  if (!known || context.vm.is_leaving) {
    SendReport(request.model, report_reason::failed, context);
    return;
  }
  if (!accounting_.Charge(request.model, size)) {
    SendReport(request.model, report_reason::no_memory, context);
    return;
  }
  replica_entry& replica = replicas_[request.model];
  replica.version = request.version;
  replica.source = request.source;
  replica.urgency = request.urgency;
  if (request.source == weight_source::remote) {
    replica.load = NextId("load");
    replica.store = store_use::waiting;
    replica.store_requested_at = context.now;
    RequestStoreSlot(store_load::model, replica.load, replica.urgency, context);
  } else {
    SendLoadOrder(request.model, replica, context);
  }
  SendReport(request.model, report_reason::answer, context);
}

void vm_owner::OnUnload(const instance_id& from,
                        const unload_request& request,
                        const owner_context& context) {
  if (!AcceptRequest(from, request.model, request.model_epoch, request.sequence,
                     context))
    return;
  const auto found = replicas_.find(request.model);
  if (found == replicas_.end()) {
    SendReport(request.model, report_reason::answer, context);
    return;
  }
  replica_entry& replica = found->second;
  if (replica.store == store_use::waiting) {
    RemoveReplica(request.model, report_reason::answer, context);
    return;
  }
  replica.state = replica_state::leaving;
  if (replica.unload_order.empty()) {
    endpoint_order order;
    order.kind = order_kind::unload_model;
    order.model = request.model;
    order.version = replica.version;
    replica.unload_order = SendOrder(std::move(order), context);
  }
  SendReport(request.model, report_reason::answer, context);
}

void vm_owner::OnAdapter(const adapter_request& request,
                         const owner_context& context) {
  const auto found = replicas_.find(request.model);
  if (found == replicas_.end() ||
      found->second.state != replica_state::resident)
    return;
  replica_entry& replica = found->second;
  const auto known = replica.adapters.find(request.adapter);
  if (known != replica.adapters.end()) {
    known->second.last_used = context.now;
    if (known->second.store == store_use::waiting)
      RequestStoreSlot(store_load::adapter, known->second.load, replica.urgency,
                       context);
    return;
  }
  const bytes size = context.site.AdapterSize(request.model, request.adapter);
  if (size == bytes())
    return;
  if (!accounting_.ChargeAdapter(request.model, request.adapter, size)) {
    EvictAdapter(size, context);
    return;
  }
  adapter_entry& entry = replica.adapters[request.adapter];
  entry.last_used = context.now;
  entry.load = NextId("adapter");
  entry.store = store_use::waiting;
  RequestStoreSlot(store_load::adapter, entry.load, replica.urgency, context);
}

bool vm_owner::OnGrant(const store_grant& grant, const owner_context& context) {
  for (auto& [model, replica] : replicas_) {
    if (replica.load == grant.load && replica.store == store_use::waiting) {
      replica.store = store_use::running;
      if (phase_ == phase::active)
        SendLoadOrder(model, replica, context);
      return true;
    }
    if (replica.load == grant.load && replica.store == store_use::running)
      return true;
    for (auto& [adapter, entry] : replica.adapters) {
      if (entry.load != grant.load || entry.store == store_use::none)
        continue;
      if (entry.store == store_use::waiting && phase_ == phase::active)
        SendAdapterOrder(model, adapter, entry, context);
      entry.store = store_use::running;
      return true;
    }
  }
  return false;
}

bool vm_owner::NeedsTableConfirmation(time_point now) const {
  if (is_revalidating_)
    return confirmed_by_table_at_ <= revalidating_since_;
  if (phase_ != phase::active)
    return false;
  const auto is_overdue = [this, now](const model_id& model) {
    const auto found = accepted_epochs_.find(model);
    return found != accepted_epochs_.end() &&
           now - found->second.accepted_at > limits_.message_retry_interval;
  };
  return std::any_of(unconfirmed_models_.begin(), unconfirmed_models_.end(),
                     is_overdue) ||
         std::any_of(confirming_models_.begin(), confirming_models_.end(),
                     is_overdue);
}

void vm_owner::OnTableConfirmation(time_point asked_at,
                                   const owner_context& context) {
  confirmed_by_table_at_ = std::max(confirmed_by_table_at_, asked_at);
  if (phase_ != phase::active)
    return;
  std::set<model_id> confirmed;
  for (const auto& [model, accepted] : accepted_epochs_) {
    if (!accepted.is_confirmed && accepted.accepted_at <= asked_at)
      confirmed.insert(model);
  }
  for (const model_id& model : confirmed) {
    unconfirmed_models_.erase(model);
    confirming_models_.erase(model);
  }
  ReportConfirmed(confirmed, context);
}

std::string vm_owner::NextId(const char* kind) {
  return self_.value() + "/" + vm_.value() + "/" +
         std::to_string(number_.count()) + "/" + kind + "/" +
         std::to_string(++last_id_);
}

std::string vm_owner::SendOrder(endpoint_order order,
                                const owner_context& context) {
  order.id = NextId("order");
  order.number = number_;
  const std::string id = order.id;
  const time_point expires = context.now + limits_.order_expiry;
  orders_[id] = {order.kind, order.model, order.adapter, expires};
  context.actions.push_back(
      send_order{context.vm.endpoint.id, context.vm.endpoint.address,
                 std::move(order), incarnation_, expires});
  return id;
}

void vm_owner::SendFence(const owner_context& context) {
  confirming_models_.merge(unconfirmed_models_);
  unconfirmed_models_.clear();
  fence_order_ = SendOrder(endpoint_order(), context);
}

void vm_owner::Send(const instance_id& to,
                    placement_message message,
                    const owner_context& context) {
  context.actions.push_back(send_placement_message{to, std::move(message)});
}

void vm_owner::SendLoadOrder(const model_id& model,
                             replica_entry& replica,
                             const owner_context& context) {
  endpoint_order order;
  order.kind = order_kind::load_model;
  order.model = model;
  order.version = replica.version;
  order.source = replica.source;
  replica.load_order = SendOrder(std::move(order), context);
}

void vm_owner::SendAdapterOrder(const model_id& model,
                                const adapter_id& adapter,
                                adapter_entry& entry,
                                const owner_context& context) {
  endpoint_order order;
  order.kind = order_kind::load_adapter;
  order.model = model;
  order.adapter = adapter;
  entry.order = SendOrder(std::move(order), context);
}

void vm_owner::RequestStoreSlot(store_load kind,
                                const std::string& load,
                                double urgency,
                                const owner_context& context) {
  Send(context.limiter_node, store_request{kind, load, urgency}, context);
}

void vm_owner::ReleaseStoreSlot(std::string& load,
                                store_use& store,
                                const owner_context& context) {
  if (store == store_use::none)
    return;
  store = store_use::none;
  Send(context.limiter_node, store_release{load}, context);
}

void vm_owner::SendReport(const model_id& model,
                          report_reason reason,
                          const owner_context& context) {
  // An owner that may be superseded must not send reports for the VM.
  const auto found = accepted_epochs_.find(model);
  if (found == accepted_epochs_.end() || !found->second.is_confirmed ||
      !is_active())
    return;
  replica_report report;
  report.model = model;
  report.model_epoch = found->second.number;
  report.vm = vm_;
  report.vm_epoch = number_;
  report.sequence = found->second.sequence;
  report.number = ++last_report_;
  report.reason = reason;
  const auto replica = replicas_.find(model);
  if (replica != replicas_.end()) {
    report.state = replica->second.state;
    report.version = replica->second.version;
  }
  Send(found->second.decider, std::move(report), context);
}

void vm_owner::SendRefusal(const instance_id& to,
                           const model_id& model,
                           epoch model_epoch,
                           int64_t sequence,
                           report_reason reason,
                           const owner_context& context) {
  replica_report report;
  report.model = model;
  report.model_epoch = model_epoch;
  report.vm = vm_;
  report.vm_epoch = number_;
  report.sequence = sequence;
  report.number = ++last_report_;
  report.state = replica_state::loading;
  report.reason = reason;
  Send(to, std::move(report), context);
}

bool vm_owner::AcceptRequest(const instance_id& from,
                             const model_id& model,
                             epoch model_epoch,
                             int64_t sequence,
                             const owner_context& context) {
  accepted_epoch& accepted = accepted_epochs_[model];
  if (model_epoch < accepted.number) {
    SendRefusal(from, model, model_epoch, sequence, report_reason::stale_epoch,
                context);
    return false;
  }
  accepted.last_request_at = context.now;
  if (model_epoch > accepted.number) {
    accepted = {model_epoch, sequence,   from, !HonoursFencing(context),
                context.now, context.now};
    if (!accepted.is_confirmed)
      RequestConfirmation(model, context);
    return true;
  }
  if (sequence > accepted.sequence) {
    accepted.sequence = sequence;
    return true;
  }
  // The request is a repeat; the first answer may have been lost.
  if (sequence == accepted.sequence)
    SendReport(model, report_reason::answer, context);
  return false;
}

void vm_owner::RequestConfirmation(const model_id& model,
                                   const owner_context& context) {
  unconfirmed_models_.insert(model);
  if (fence_order_.empty() && context.now >= fence_retry_at_)
    SendFence(context);
}

void vm_owner::Supersede(epoch fence) {
  phase_ = phase::superseded;
  engine_fence_ = std::max(engine_fence_, fence);
}

bool vm_owner::HasRestarted(const owner_context& context) const {
  return HonoursFencing(context) && !incarnation_.empty() &&
         context.vm.status.incarnation != incarnation_;
}

bool vm_owner::HasLostFence(const owner_context& context) const {
  return HonoursFencing(context) && context.vm.status.fence < number_;
}

void vm_owner::Revalidate(const owner_context& context) {
  is_revalidating_ = true;
  revalidating_since_ = context.now;
  incarnation_ = context.vm.status.incarnation;
  ResendFence(context);
}

void vm_owner::ResendFence(const owner_context& context) {
  phase_ = phase::fencing;
  unconfirmed_models_.merge(confirming_models_);
  confirming_models_.clear();
  SendFence(context);
}

bool vm_owner::IsValidated(const owner_context& context) const {
  if (!is_revalidating_ || confirmed_by_table_at_ > revalidating_since_)
    return true;
  // While the table is unavailable, no other node can acquire the VM. A node
  // that acquired it before the outage has raised the fence again by now.
  return context.now - revalidating_since_ > kRefenceTimeout;
}

void vm_owner::Activate(const owner_context& context) {
  phase_ = phase::active;
  incarnation_ = context.vm.status.incarnation;
  // Epochs that this owner has accepted remain valid after a restart of the
  // engine.
  if (!std::exchange(is_revalidating_, false))
    active_since_ = context.now;
}

void vm_owner::Reconcile(const owner_context& context) {
  std::set<model_id> listed;
  for (const resident_model& entry : context.vm.status.models) {
    listed.insert(entry.model);
    ReconcileListed(entry, context);
  }
  ReconcileAbsent(listed, context);
}

void vm_owner::ReconcileListed(const resident_model& listed,
                               const owner_context& context) {
  bytes size = context.site.ReplicaSize(listed.model);
  if (size == bytes())
    size = listed.memory;
  if (size == bytes())
    size = accounting_.capacity();
  accounting_.ChargeLoaded(listed.model, size);
  replica_entry& replica = replicas_[listed.model];
  const replica_state before = replica.state;
  const bool was_listed = replica.is_listed;
  replica.is_listed = true;
  replica.version = listed.version;
  const bool is_unload_unsettled =
      replica.state == replica_state::leaving &&
      (!replica.unload_order.empty() ||
       context.vm.observed_at <= replica.unload_settled_at);
  if (!is_unload_unsettled)
    replica.state = ToReplicaState(listed.state);
  if (listed.state != resident_state::loading)
    ReleaseStoreSlot(replica.load, replica.store, context);
  ReconcileAdapters(listed, replica, context);
  if (replica.state != before || !was_listed)
    SendReport(listed.model, report_reason::changed, context);
}

void vm_owner::ReconcileAdapters(const resident_model& listed,
                                 replica_entry& replica,
                                 const owner_context& context) {
  for (const adapter_id& adapter : listed.adapters) {
    accounting_.ChargeLoadedAdapter(
        listed.model, adapter, context.site.AdapterSize(listed.model, adapter));
    adapter_entry& entry = replica.adapters[adapter];
    entry.is_listed = true;
    ReleaseStoreSlot(entry.load, entry.store, context);
  }
  for (auto it = replica.adapters.begin(); it != replica.adapters.end();) {
    const auto& [adapter, entry] = *it;
    const bool is_listed =
        std::find(listed.adapters.begin(), listed.adapters.end(), adapter) !=
        listed.adapters.end();
    const bool is_unsettled = !entry.order.empty() ||
                              entry.store == store_use::waiting ||
                              context.vm.observed_at <= entry.settled_at;
    if (is_listed || is_unsettled) {
      ++it;
      continue;
    }
    accounting_.UnchargeAdapter(listed.model, adapter);
    ReleaseStoreSlot(it->second.load, it->second.store, context);
    it = replica.adapters.erase(it);
  }
}

void vm_owner::ReconcileAbsent(const std::set<model_id>& listed,
                               const owner_context& context) {
  std::vector<model_id> absent;
  for (const auto& [model, replica] : replicas_) {
    if (listed.contains(model))
      continue;
    if (!replica.load_order.empty() || replica.store == store_use::waiting)
      continue;
    if (context.vm.observed_at > replica.settled_at)
      absent.push_back(model);
  }
  for (const model_id& model : absent) {
    const bool failed = replicas_[model].state == replica_state::loading;
    RemoveReplica(model,
                  failed ? report_reason::failed : report_reason::changed,
                  context);
  }
}

void vm_owner::RemoveReplica(const model_id& model,
                             report_reason reason,
                             const owner_context& context) {
  replica_entry& replica = replicas_[model];
  ReleaseStoreSlot(replica.load, replica.store, context);
  for (auto& [adapter, entry] : replica.adapters)
    ReleaseStoreSlot(entry.load, entry.store, context);
  replicas_.erase(model);
  accounting_.Uncharge(model);
  SendReport(model, reason, context);
}

bool vm_owner::EvictAdapter(bytes size, const owner_context& context) {
  model_id oldest_model;
  adapter_id oldest;
  adapter_entry* victim = nullptr;
  for (auto& [model, replica] : replicas_) {
    for (auto& [adapter, entry] : replica.adapters) {
      const bool idle = entry.is_listed && entry.order.empty() &&
                        context.now - entry.last_used > kAdapterUseTimeout;
      // An adapter that is more than twice as large as needed is not evicted.
      if (!idle || context.site.AdapterSize(model, adapter) > size + size)
        continue;
      if (victim != nullptr && victim->last_used <= entry.last_used)
        continue;
      oldest_model = model;
      oldest = adapter;
      victim = &entry;
    }
  }
  if (victim == nullptr)
    return false;
  endpoint_order order;
  order.kind = order_kind::unload_adapter;
  order.model = oldest_model;
  order.adapter = oldest;
  victim->order = SendOrder(std::move(order), context);
  return true;
}

void vm_owner::OnFenceOutcome(order_end end, const owner_context& context) {
  fence_order_.clear();
  if (end != order_end::accepted) {
    unconfirmed_models_.merge(confirming_models_);
    confirming_models_.clear();
    fence_retry_at_ = context.now + limits_.message_retry_interval;
    return;
  }
  if (phase_ == phase::fencing) {
    phase_ = phase::reading;
    min_status_time_ = context.now;
  }
  const std::set<model_id> confirmed = std::exchange(confirming_models_, {});
  ReportConfirmed(confirmed, context);
  if (!unconfirmed_models_.empty())
    SendFence(context);
}

void vm_owner::ReportConfirmed(const std::set<model_id>& models,
                               const owner_context& context) {
  for (const model_id& model : models) {
    accepted_epochs_[model].is_confirmed = true;
    SendReport(model, report_reason::answer, context);
  }
}

void vm_owner::OnLoadOutcome(const pending_order& order,
                             order_end end,
                             const owner_context& context) {
  const auto found = replicas_.find(order.model);
  if (found == replicas_.end())
    return;
  replica_entry& replica = found->second;
  replica.load_order.clear();
  if (end == order_end::accepted) {
    replica.settled_at = context.now;
    return;
  }
  if (end == order_end::unknown) {
    replica.settled_at = order.expires + limits_.order_settle_time;
    return;
  }
  if (replica.is_listed)
    return;
  const bool out_of_memory = end == order_end::no_memory;
  RemoveReplica(
      order.model,
      out_of_memory ? report_reason::no_memory : report_reason::failed,
      context);
}

void vm_owner::OnUnloadOutcome(const pending_order& order,
                               order_end end,
                               const owner_context& context) {
  const auto found = replicas_.find(order.model);
  if (found == replicas_.end())
    return;
  replica_entry& replica = found->second;
  replica.unload_order.clear();
  replica.unload_settled_at = context.now;
  if (end == order_end::unknown)
    replica.unload_settled_at = order.expires + limits_.order_settle_time;
}

void vm_owner::OnAdapterOutcome(const pending_order& order,
                                order_end end,
                                const owner_context& context) {
  const auto found = replicas_.find(order.model);
  if (found == replicas_.end())
    return;
  const auto known = found->second.adapters.find(order.adapter);
  if (known == found->second.adapters.end())
    return;
  adapter_entry& entry = known->second;
  entry.order.clear();
  entry.settled_at = context.now;
  if (end == order_end::unknown)
    entry.settled_at = order.expires + limits_.order_settle_time;
  const bool refused = end == order_end::failed || end == order_end::no_memory;
  if (order.kind != order_kind::load_adapter || !refused || entry.is_listed)
    return;
  accounting_.UnchargeAdapter(order.model, order.adapter);
  ReleaseStoreSlot(entry.load, entry.store, context);
  found->second.adapters.erase(known);
}

bool vm_owner::HonoursFencing(const owner_context& context) const {
  return context.vm.endpoint.honours_fencing;
}

}  // namespace jasminepath::decision
