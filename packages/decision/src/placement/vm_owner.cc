#include "placement/vm_owner.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

namespace {

// An adapter that was asked for within this time is not evicted.
constexpr duration kAdapterInUse = Seconds(10);
// Within this time an owner that is alive sees that its engine has restarted
// and raises the fence again.
constexpr duration kRefencingTime = Seconds(10);
// Twice the interval at which deciders ask about a replica that they know of,
// with a margin.
constexpr duration kDeciderSilence = Seconds(35);

replica_state FromListed(resident_state state) {
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
  const auto found = promises_.find(model);
  if (found == promises_.end() ||
      now - found->second.heard_at > kDeciderSilence)
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
  ledger_.SetCapacity(context.vm.endpoint.memory);
  if (HonoursFencing(context)) {
    SendFence(context);
    return;
  }
  phase_ = phase::reading;
  read_after_ = context.now + limits_.order_expiry + limits_.order_settle;
  // The first owner of a VM has no orders of an earlier one to wait for.
  if (number_ == epoch(1))
    read_after_ = context.now;
}

void vm_owner::OnStatus(const owner_context& context) {
  if (phase_ == phase::superseded)
    return;
  ledger_.SetCapacity(context.vm.endpoint.memory);
  engine_fence_ = std::max(engine_fence_, context.vm.status.fence);
  if (HonoursFencing(context) && engine_fence_ > number_) {
    Supersede(engine_fence_);
    return;
  }
  if (Restarted(context))
    Revalidate(context);
  const bool read = context.vm.observed_at > read_after_;
  if (phase_ == phase::reading && read && FenceLost(context))
    FenceAgain(context);
  else if (phase_ == phase::reading && read && Validated(context))
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
  const bool old_fence =
      order.kind == order_kind::fence && outcome.id != fence_order_;
  if (old_fence && outcome.end != order_end::stale_epoch)
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
  const bool needs_fence = phase_ == phase::fencing || !unconfirmed_.empty();
  if (needs_fence && fence_order_.empty() && context.now >= fence_retry_at_)
    SendFence(context);
  for (auto& [model, replica] : replicas_) {
    if (replica.store != store_use::waiting)
      continue;
    if (context.now - replica.asked_store_at < limits_.message_retry)
      continue;
    replica.asked_store_at = context.now;
    AskStore(store_load::model, replica.load, replica.urgency, context);
  }
}

void vm_owner::OnPromise(const instance_id& from,
                         const promise_request& request,
                         const owner_context& context) {
  if (!Admit(from, request.model, request.model_epoch, request.sequence,
             context))
    return;
  Report(request.model, report_reason::answer, context);
}

void vm_owner::OnLoad(const instance_id& from,
                      const load_request& request,
                      const owner_context& context) {
  if (!Admit(from, request.model, request.model_epoch, request.sequence,
             context))
    return;
  if (replicas_.contains(request.model)) {
    Report(request.model, report_reason::answer, context);
    return;
  }
  const bytes size = context.site.ReplicaSize(request.model);
  const bool known = context.site.FindModel(request.model) != nullptr;
  if (!known || context.vm.leaving) {
    Report(request.model, report_reason::failed, context);
    return;
  }
  if (!ledger_.Charge(request.model, size)) {
    Report(request.model, report_reason::no_memory, context);
    return;
  }
  replica_entry& replica = replicas_[request.model];
  replica.version = request.version;
  replica.source = request.source;
  replica.urgency = request.urgency;
  if (request.source == weight_source::remote) {
    replica.load = NextName("load");
    replica.store = store_use::waiting;
    replica.asked_store_at = context.now;
    AskStore(store_load::model, replica.load, replica.urgency, context);
  } else {
    SendLoadOrder(request.model, replica, context);
  }
  Report(request.model, report_reason::answer, context);
}

void vm_owner::OnUnload(const instance_id& from,
                        const unload_request& request,
                        const owner_context& context) {
  if (!Admit(from, request.model, request.model_epoch, request.sequence,
             context))
    return;
  const auto found = replicas_.find(request.model);
  if (found == replicas_.end()) {
    Report(request.model, report_reason::answer, context);
    return;
  }
  replica_entry& replica = found->second;
  if (replica.store == store_use::waiting) {
    Remove(request.model, report_reason::answer, context);
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
  Report(request.model, report_reason::answer, context);
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
      AskStore(store_load::adapter, known->second.load, replica.urgency,
               context);
    return;
  }
  const bytes size = context.site.AdapterSize(request.model, request.adapter);
  if (size == bytes())
    return;
  if (!ledger_.ChargeAdapter(request.model, request.adapter, size)) {
    MakeAdapterRoom(size, context);
    return;
  }
  adapter_entry& entry = replica.adapters[request.adapter];
  entry.last_used = context.now;
  entry.load = NextName("adapter");
  entry.store = store_use::waiting;
  AskStore(store_load::adapter, entry.load, replica.urgency, context);
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

bool vm_owner::WantsTableConfirmation(time_point now) const {
  if (revalidating_)
    return confirmed_by_table_at_ <= revalidating_since_;
  if (phase_ != phase::active)
    return false;
  const auto is_late = [this, now](const model_id& model) {
    const auto found = promises_.find(model);
    return found != promises_.end() &&
           now - found->second.asked_at > limits_.message_retry;
  };
  return std::any_of(unconfirmed_.begin(), unconfirmed_.end(), is_late) ||
         std::any_of(confirming_.begin(), confirming_.end(), is_late);
}

void vm_owner::OnTableConfirmation(time_point asked_at,
                                   const owner_context& context) {
  confirmed_by_table_at_ = std::max(confirmed_by_table_at_, asked_at);
  if (phase_ != phase::active)
    return;
  std::set<model_id> confirmed;
  for (const auto& [model, given] : promises_) {
    if (!given.confirmed && given.asked_at <= asked_at)
      confirmed.insert(model);
  }
  for (const model_id& model : confirmed) {
    unconfirmed_.erase(model);
    confirming_.erase(model);
  }
  ConfirmPromises(confirmed, context);
}

std::string vm_owner::NextName(const char* kind) {
  return self_.value() + "/" + vm_.value() + "/" +
         std::to_string(number_.count()) + "/" + kind + "/" +
         std::to_string(++last_name_);
}

std::string vm_owner::SendOrder(endpoint_order order,
                                const owner_context& context) {
  order.id = NextName("order");
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
  confirming_.merge(unconfirmed_);
  unconfirmed_.clear();
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

void vm_owner::AskStore(store_load kind,
                        const std::string& load,
                        double urgency,
                        const owner_context& context) {
  Send(context.store_gate, store_request{kind, load, urgency}, context);
}

void vm_owner::ReleaseStore(std::string& load,
                            store_use& store,
                            const owner_context& context) {
  if (store == store_use::none)
    return;
  store = store_use::none;
  Send(context.store_gate, store_release{load}, context);
}

void vm_owner::Report(const model_id& model,
                      report_reason reason,
                      const owner_context& context) {
  // An owner that may be superseded must not speak for the VM.
  const auto found = promises_.find(model);
  if (found == promises_.end() || !found->second.confirmed || !active())
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

void vm_owner::Refuse(const instance_id& to,
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

bool vm_owner::Admit(const instance_id& from,
                     const model_id& model,
                     epoch model_epoch,
                     int64_t sequence,
                     const owner_context& context) {
  promise& given = promises_[model];
  if (model_epoch < given.number) {
    Refuse(from, model, model_epoch, sequence, report_reason::stale_epoch,
           context);
    return false;
  }
  given.heard_at = context.now;
  if (model_epoch > given.number) {
    given = {model_epoch, sequence,   from, !HonoursFencing(context),
             context.now, context.now};
    if (!given.confirmed)
      AskConfirmation(model, context);
    return true;
  }
  if (sequence > given.sequence) {
    given.sequence = sequence;
    return true;
  }
  // A repeat: the first answer may be lost.
  if (sequence == given.sequence)
    Report(model, report_reason::answer, context);
  return false;
}

void vm_owner::AskConfirmation(const model_id& model,
                               const owner_context& context) {
  unconfirmed_.insert(model);
  if (fence_order_.empty() && context.now >= fence_retry_at_)
    SendFence(context);
}

void vm_owner::Supersede(epoch fence) {
  phase_ = phase::superseded;
  engine_fence_ = std::max(engine_fence_, fence);
}

bool vm_owner::Restarted(const owner_context& context) const {
  return HonoursFencing(context) && !incarnation_.empty() &&
         context.vm.status.incarnation != incarnation_;
}

bool vm_owner::FenceLost(const owner_context& context) const {
  return HonoursFencing(context) && context.vm.status.fence < number_;
}

void vm_owner::Revalidate(const owner_context& context) {
  revalidating_ = true;
  revalidating_since_ = context.now;
  incarnation_ = context.vm.status.incarnation;
  FenceAgain(context);
}

void vm_owner::FenceAgain(const owner_context& context) {
  phase_ = phase::fencing;
  unconfirmed_.merge(confirming_);
  confirming_.clear();
  SendFence(context);
}

bool vm_owner::Validated(const owner_context& context) const {
  if (!revalidating_ || confirmed_by_table_at_ > revalidating_since_)
    return true;
  // While the table is down nobody can have taken the VM over since; one who
  // had done so before has raised the fence again by now.
  return context.now - revalidating_since_ > kRefencingTime;
}

void vm_owner::Activate(const owner_context& context) {
  phase_ = phase::active;
  incarnation_ = context.vm.status.incarnation;
  // What deciders were promised outlasts a restart of the engine.
  if (!std::exchange(revalidating_, false))
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
    size = ledger_.capacity();
  ledger_.Adopt(listed.model, size);
  replica_entry& replica = replicas_[listed.model];
  const replica_state before = replica.state;
  const bool was_listed = replica.listed;
  replica.listed = true;
  replica.version = listed.version;
  const bool unload_open =
      replica.state == replica_state::leaving &&
      (!replica.unload_order.empty() ||
       context.vm.observed_at <= replica.unload_settled_at);
  if (!unload_open)
    replica.state = FromListed(listed.state);
  if (listed.state != resident_state::loading)
    ReleaseStore(replica.load, replica.store, context);
  ReconcileAdapters(listed, replica, context);
  if (replica.state != before || !was_listed)
    Report(listed.model, report_reason::changed, context);
}

void vm_owner::ReconcileAdapters(const resident_model& listed,
                                 replica_entry& replica,
                                 const owner_context& context) {
  for (const adapter_id& adapter : listed.adapters) {
    ledger_.AdoptAdapter(listed.model, adapter,
                         context.site.AdapterSize(listed.model, adapter));
    adapter_entry& entry = replica.adapters[adapter];
    entry.listed = true;
    ReleaseStore(entry.load, entry.store, context);
  }
  for (auto it = replica.adapters.begin(); it != replica.adapters.end();) {
    const auto& [adapter, entry] = *it;
    const bool is_listed =
        std::find(listed.adapters.begin(), listed.adapters.end(), adapter) !=
        listed.adapters.end();
    const bool open = !entry.order.empty() ||
                      entry.store == store_use::waiting ||
                      context.vm.observed_at <= entry.settled_at;
    if (is_listed || open) {
      ++it;
      continue;
    }
    ledger_.CreditAdapter(listed.model, adapter);
    ReleaseStore(it->second.load, it->second.store, context);
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
    Remove(model, failed ? report_reason::failed : report_reason::changed,
           context);
  }
}

void vm_owner::Remove(const model_id& model,
                      report_reason reason,
                      const owner_context& context) {
  replica_entry& replica = replicas_[model];
  ReleaseStore(replica.load, replica.store, context);
  for (auto& [adapter, entry] : replica.adapters)
    ReleaseStore(entry.load, entry.store, context);
  replicas_.erase(model);
  ledger_.Credit(model);
  Report(model, reason, context);
}

bool vm_owner::MakeAdapterRoom(bytes size, const owner_context& context) {
  model_id oldest_model;
  adapter_id oldest;
  adapter_entry* victim = nullptr;
  for (auto& [model, replica] : replicas_) {
    for (auto& [adapter, entry] : replica.adapters) {
      const bool idle = entry.listed && entry.order.empty() &&
                        context.now - entry.last_used > kAdapterInUse;
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
    unconfirmed_.merge(confirming_);
    confirming_.clear();
    fence_retry_at_ = context.now + limits_.message_retry;
    return;
  }
  if (phase_ == phase::fencing) {
    phase_ = phase::reading;
    read_after_ = context.now;
  }
  const std::set<model_id> confirmed = std::exchange(confirming_, {});
  ConfirmPromises(confirmed, context);
  if (!unconfirmed_.empty())
    SendFence(context);
}

void vm_owner::ConfirmPromises(const std::set<model_id>& models,
                               const owner_context& context) {
  for (const model_id& model : models) {
    promises_[model].confirmed = true;
    Report(model, report_reason::answer, context);
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
    replica.settled_at = order.expires + limits_.order_settle;
    return;
  }
  if (replica.listed)
    return;
  const bool full = end == order_end::no_memory;
  Remove(order.model, full ? report_reason::no_memory : report_reason::failed,
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
    replica.unload_settled_at = order.expires + limits_.order_settle;
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
    entry.settled_at = order.expires + limits_.order_settle;
  const bool refused = end == order_end::failed || end == order_end::no_memory;
  if (order.kind != order_kind::load_adapter || !refused || entry.listed)
    return;
  ledger_.CreditAdapter(order.model, order.adapter);
  ReleaseStore(entry.load, entry.store, context);
  found->second.adapters.erase(known);
}

bool vm_owner::HonoursFencing(const owner_context& context) const {
  return context.vm.endpoint.honours_fencing;
}

}  // namespace jasminepath::decision
