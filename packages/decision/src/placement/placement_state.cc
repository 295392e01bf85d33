#include "placement/placement_state.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

namespace {

// Limit of the processing rounds in one event. The next event continues with
// the remaining work.
constexpr int kMaxRoundsPerEvent = 32;
constexpr duration kBusyTickInterval = Milliseconds(100);
constexpr duration kIdleTickInterval = Seconds(1);
constexpr char kStoreLimiterKey[] = "weight-store";

authority_key VmKey(const vm_id& vm) {
  return {authority_kind::vm, vm.value()};
}

authority_key ModelKey(const model_id& model) {
  return {authority_kind::model, model.value()};
}

}  // namespace

placement_core::state::state(instance_id self,
                             zone_id zone,
                             random_engine random,
                             placement_limits limits)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      random_(random),
      limits_(limits),
      limiter_(limits.store_lease),
      owner_of_([this](const vm_id& vm) { return OwnerOf(vm); }),
      decider_of_([this](const model_id& model) { return DeciderOf(model); }) {
  peers_.insert(self_);
  UpdateMembers();
}

void placement_core::state::BeginEvent(time_point now, action_list& actions) {
  now_ = now;
  actions_ = &actions;
  first_action_ = actions.size();
}

// Events.

void placement_core::state::OnConfiguration(
    const config::configuration& source) {
  site_.OnConfiguration(source);
  limiter_.SetLimits(source.store);
  is_configured_ = true;
  UpdateCandidateVms();
  AcquireCandidateVms();
  MarkAllDirty();
}

void placement_core::state::OnLocalDemand(
    const std::vector<model_demand>& demands) {
  std::set<model_id> present;
  for (const model_demand& demand : demands) {
    present.insert(demand.model);
    local_demand& entry = local_[demand.model];
    entry.is_dirty = entry.is_dirty || entry.demand.waiting != demand.waiting ||
                     entry.demand.arrivals != demand.arrivals ||
                     (entry.demand.running == 0) != (demand.running == 0);
    entry.demand = demand;
    entry.is_present = demand.waiting + demand.running > 0;
  }
  for (auto& [model, entry] : local_) {
    if (present.contains(model) || !entry.is_present)
      continue;
    const int64_t arrivals = entry.demand.arrivals;
    entry.demand = model_demand();
    entry.demand.model = model;
    entry.demand.arrivals = arrivals;
    entry.is_present = false;
    entry.is_dirty = true;
  }
  RefreshLocalDemand();
}

void placement_core::state::OnAdapterNeeds(
    const std::vector<adapter_need>& needs) {
  for (const adapter_need& need : needs) {
    const vm_view* vm = site_.FindEndpoint(need.endpoint);
    if (vm == nullptr)
      continue;
    const instance_id owner = OwnerOf(vm->vm);
    if (!owner.empty())
      Send(owner, adapter_request{need.model, need.adapter, vm->vm});
  }
}

void placement_core::state::OnPeers(const std::vector<instance_id>& live) {
  std::set<instance_id> peers(live.begin(), live.end());
  peers.insert(self_);
  bool changed = peers != peers_;
  for (const instance_id& peer : peers) {
    changed = suspected_.erase(peer) > 0 || changed;
    absent_since_.erase(peer);
  }
  if (!changed)
    return;
  peers_ = std::move(peers);
  UpdateMembers();
  AcquireCandidateVms();
  MarkAllDirty();
}

void placement_core::state::OnInstanceEnded(const instance_id& instance) {
  if (!ended_.insert(instance).second)
    return;
  suspected_.erase(instance);
  absent_since_.erase(instance);
  limiter_.OnInstanceEnded(instance);
  for (auto& [model, entry] : models_) {
    if (entry.decider)
      entry.decider->OnInstanceEnded(instance);
  }
  UpdateMembers();
  AcquireCandidateVms();
  MarkAllDirty();
}

void placement_core::state::OnInstanceSuspected(const instance_id& instance) {
  if (HasEnded(instance) || instance == self_)
    return;
  if (!suspected_.insert(instance).second)
    return;
  UpdateMembers();
  AcquireCandidateVms();
  MarkAllDirty();
}

void placement_core::state::OnVmList(const std::vector<vm_id>& live,
                                     const std::vector<vm_id>& leaving) {
  if (!site_.OnVmList(live, leaving, limits_.vm_list_lag, now_))
    return;
  for (auto& [vm, entry] : vms_) {
    if (site_.HasEnded(vm) && entry.owner)
      RemoveOwner(entry);
  }
  UpdateCandidateVms();
  AcquireCandidateVms();
  MarkAllDirty();
}

void placement_core::state::OnEndpointStatus(const endpoint_status& status) {
  const vm_view* vm = site_.OnStatus(status, now_);
  if (vm == nullptr)
    return;
  // The models on a leaving VM still have to be unloaded, so the VM needs an
  // owner.
  if (vm->is_leaving && !vm->status.models.empty() &&
      CandidateFor("vm/" + vm->vm.value()) == self_)
    TryAcquireVm(vm->vm);
  const auto found = vms_.find(vm->vm);
  if (found == vms_.end() || !found->second.owner)
    return;
  found->second.owner->OnStatus(OwnerContext(*vm));
  ReacquireIfSuperseded(vm->vm);
  RequestTableConfirmation(found->second);
  ReportUndecidedReplicas(vm->vm);
}

void placement_core::state::OnEndpointUnreachable(const endpoint_id& endpoint) {
  site_.OnUnreachable(endpoint);
}

void placement_core::state::OnOrderOutcome(const order_outcome& outcome) {
  for (auto& [vm, entry] : vms_) {
    const vm_view* view = site_.FindVm(vm);
    if (!entry.owner || view == nullptr)
      continue;
    if (!entry.owner->OnOutcome(outcome, OwnerContext(*view)))
      continue;
    ReacquireIfSuperseded(vm);
    return;
  }
}

void placement_core::state::OnAuthorityRow(const authority_row& row) {
  authority_claim& claim = GetClaim(row.key);
  claim.OnRow(row, now_);
  OnClaimChanged(row.key);
}

void placement_core::state::OnAuthorityReadFailed(const authority_key& key) {
  GetClaim(key).OnReadFailed(now_);
  ScheduleClaim(key);
}

void placement_core::state::OnAuthorityCommit(
    const authority_outcome& outcome) {
  authority_claim& claim = GetClaim(outcome.row.key);
  claim.OnOutcome(outcome, now_);
  OnClaimChanged(outcome.row.key);
}

void placement_core::state::OnMessage(const instance_id& from,
                                      const placement_message& message) {
  std::visit([this, &from](const auto& typed) { Handle(from, typed); },
             message);
}

void placement_core::state::OnDrain() {
  is_draining_ = true;
  UpdateMembers();
  for (auto& [vm, entry] : vms_) {
    if (entry.owner)
      RemoveOwner(entry);
    entry.claim.Release();
    ScheduleClaim(VmKey(vm));
  }
  for (auto& [model, entry] : models_) {
    entry.decider.reset();
    entry.claim.Release();
    ScheduleClaim(ModelKey(model));
  }
}

void placement_core::state::OnTick() {
  for (auto& [vm, entry] : vms_) {
    if (!entry.claim.is_idle())
      ScheduleClaim(VmKey(vm));
    const vm_view* view = site_.FindVm(vm);
    if (!entry.owner || view == nullptr)
      continue;
    entry.owner->OnTick(OwnerContext(*view));
    RequestTableConfirmation(entry);
  }
  for (auto& [model, entry] : models_) {
    if (!entry.claim.is_idle())
      ScheduleClaim(ModelKey(model));
    MarkDirty(model);
  }
  AcquireCandidateVms();
  RefreshLocalDemand();
}

void placement_core::state::FinishEvent() {
  for (int round = 0; round < kMaxRoundsPerEvent; ++round) {
    ExtractSelfMessages();
    DeliverPending();
    const std::set<model_id> dirty = std::exchange(dirty_models_, {});
    for (const model_id& model : dirty) {
      const auto found = models_.find(model);
      if (found != models_.end() && found->second.decider)
        found->second.decider->Update(DeciderContext());
    }
    RunScheduledClaims();
    SendStoreGrants();
    ExtractSelfMessages();
    if (self_messages_.empty() && dirty_models_.empty() &&
        scheduled_claims_.empty())
      break;
    std::deque<placement_message> messages = std::exchange(self_messages_, {});
    for (const placement_message& message : messages)
      OnMessage(self_, message);
  }
}

// Accessors.

time_point placement_core::state::NextDeadline(time_point now) const {
  if (!pending_.empty() || !self_messages_.empty())
    return now + kBusyTickInterval;
  for (const auto& [vm, entry] : vms_) {
    const bool unsettled = entry.owner && !entry.owner->is_active();
    if (unsettled || !entry.claim.is_idle())
      return now + kBusyTickInterval;
  }
  for (const auto& [model, entry] : models_) {
    const bool busy = entry.decider && entry.decider->IsBusy();
    if (busy || !entry.claim.is_idle() || !entry.early_demand.empty())
      return now + kBusyTickInterval;
  }
  return now + kIdleTickInterval;
}

std::vector<model_arrivals> placement_core::state::TakeArrivals() {
  std::vector<model_arrivals> arrivals;
  for (auto& [model, entry] : models_) {
    if (!entry.decider)
      continue;
    const int64_t count = entry.decider->TakeArrivals();
    if (count > 0)
      arrivals.push_back({model, count});
  }
  return arrivals;
}

std::vector<decided_model> placement_core::state::DecidedModels() const {
  std::vector<decided_model> models;
  for (const auto& [model, entry] : models_) {
    if (entry.decider)
      models.push_back({model, entry.decider->ComputePrice(site_)});
  }
  return models;
}

void placement_core::state::SetKeepWarm(const model_id& model, duration keep) {
  const auto found = models_.find(model);
  if (found != models_.end() && found->second.decider)
    found->second.decider->set_keep_warm(keep);
}

placement_status placement_core::state::Status() const {
  placement_status status;
  for (const auto& [vm, entry] : vms_) {
    vm_placement_status line;
    line.vm = vm;
    line.owner = entry.claim.holder();
    line.number = entry.claim.number();
    line.is_held = entry.claim.is_held();
    if (entry.owner) {
      line.is_active = entry.owner->is_active();
      line.charged = entry.owner->accounting().charged();
      line.capacity = entry.owner->accounting().capacity();
      line.models = entry.owner->Models();
    }
    status.vms.push_back(std::move(line));
  }
  for (const auto& [model, entry] : models_) {
    model_placement_status line;
    line.model = model;
    line.decider = DeciderOf(model);
    line.number = std::max(entry.claim.number(), entry.hinted_epoch);
    line.is_held = entry.claim.is_held();
    if (entry.decider) {
      line.decided = entry.decider->decided();
      line.waiting = entry.decider->waiting();
      line.running = entry.decider->running();
      line.replicas = entry.decider->Replicas(site_);
    }
    status.models.push_back(std::move(line));
  }
  return status;
}

bool placement_core::state::drained() const {
  if (!is_draining_)
    return false;
  const auto is_idle = [](const auto& item) {
    return item.second.claim.is_idle() && !item.second.claim.is_held();
  };
  return std::all_of(vms_.begin(), vms_.end(), is_idle) &&
         std::all_of(models_.begin(), models_.end(), is_idle);
}

// Lookups.

placement_core::state::vm_entry& placement_core::state::GetOrCreateVm(
    const vm_id& vm) {
  const auto found = vms_.find(vm);
  if (found != vms_.end())
    return found->second;
  vm_entry entry{
      authority_claim(VmKey(vm), self_, limits_.table_retry_interval), {}};
  return vms_.emplace(vm, std::move(entry)).first->second;
}

placement_core::state::model_entry& placement_core::state::GetOrCreateModel(
    const model_id& model) {
  const auto found = models_.find(model);
  if (found != models_.end())
    return found->second;
  model_entry entry{
      authority_claim(ModelKey(model), self_, limits_.table_retry_interval),
      {},
      {},
      {},
      {},
      {}};
  return models_.emplace(model, std::move(entry)).first->second;
}

authority_claim& placement_core::state::GetClaim(const authority_key& key) {
  if (key.kind == authority_kind::vm)
    return GetOrCreateVm(vm_id(key.id)).claim;
  return GetOrCreateModel(model_id(key.id)).claim;
}

bool placement_core::state::HasEnded(const instance_id& instance) const {
  return ended_.contains(instance);
}

bool placement_core::state::IsUnresponsive(const instance_id& instance) const {
  if (suspected_.contains(instance))
    return true;
  const auto absent = absent_since_.find(instance);
  return absent != absent_since_.end() &&
         now_ - absent->second >= limits_.holder_absence_timeout;
}

bool placement_core::state::IsAvailable(const instance_id& instance) const {
  if (instance == self_)
    return !is_draining_;
  return peers_.contains(instance) && !HasEnded(instance) &&
         !suspected_.contains(instance);
}

void placement_core::state::UpdateMembers() {
  std::vector<instance_id> members;
  for (const instance_id& peer : peers_) {
    if (IsAvailable(peer))
      members.push_back(peer);
  }
  members_.SetMembers(members);
  UpdateCandidateVms();
}

void placement_core::state::UpdateCandidateVms() {
  candidate_vms_.clear();
  for (const auto& [vm, view] : site_.vms()) {
    if (view.has_ended || view.is_leaving)
      continue;
    if (CandidateFor("vm/" + vm.value()) == self_)
      candidate_vms_.push_back(vm);
  }
}

instance_id placement_core::state::CandidateFor(const std::string& key) const {
  return members_.Choose(key);
}

instance_id placement_core::state::OwnerOf(const vm_id& vm) const {
  const auto found = vms_.find(vm);
  if (found != vms_.end()) {
    const instance_id& holder = found->second.claim.holder();
    if (!holder.empty() && IsAvailable(holder))
      return holder;
  }
  return CandidateFor("vm/" + vm.value());
}

instance_id placement_core::state::DeciderOf(const model_id& model) const {
  const auto found = models_.find(model);
  if (found != models_.end()) {
    const model_entry& entry = found->second;
    const bool hinted = entry.hinted_epoch >= entry.claim.number();
    if (hinted && !entry.hinted_holder.empty() &&
        IsAvailable(entry.hinted_holder))
      return entry.hinted_holder;
    const instance_id& holder = entry.claim.holder();
    if (!holder.empty() && IsAvailable(holder))
      return holder;
  }
  return CandidateFor("model/" + model.value());
}

instance_id placement_core::state::LimiterNode() const {
  return CandidateFor(kStoreLimiterKey);
}

void placement_core::state::RecordAbsentHolder(const instance_id& holder) {
  if (holder.empty() || peers_.contains(holder) || HasEnded(holder))
    return;
  absent_since_.try_emplace(holder, now_);
}

void placement_core::state::Send(const instance_id& to,
                                 placement_message message) {
  if (!to.empty())
    actions_->push_back(send_placement_message{to, std::move(message)});
}

void placement_core::state::SendNotice(const instance_id& to,
                                       const authority_claim& claim) {
  if (!claim.is_known() || to == self_)
    return;
  Send(to, holder_notice{claim.key().kind, claim.key().id, claim.holder(),
                         claim.number(), claim.version()});
}

owner_context placement_core::state::OwnerContext(const vm_view& vm) {
  limiter_node_ = LimiterNode();
  return {vm, site_, limiter_node_, now_, *actions_};
}

decider_context placement_core::state::DeciderContext() {
  return {site_, owner_of_, decider_of_, now_, *actions_};
}

void placement_core::state::MarkAllDirty() {
  for (const auto& [model, entry] : models_)
    MarkDirty(model);
}

// Authorities.

bool placement_core::state::CanAcquireVm(const vm_id& vm,
                                         const authority_claim& claim) const {
  if (is_draining_ || claim.is_held() || claim.is_releasing())
    return false;
  const instance_id& holder = claim.holder();
  if (holder.empty() || HasEnded(holder))
    return true;
  const vm_view* view = site_.FindVm(vm);
  return view != nullptr && view->endpoint.honours_fencing &&
         IsUnresponsive(holder);
}

bool placement_core::state::CanAcquireModel(
    const authority_claim& claim) const {
  if (is_draining_ || claim.is_held() || claim.is_releasing())
    return false;
  const instance_id& holder = claim.holder();
  return holder.empty() || HasEnded(holder) || IsUnresponsive(holder);
}

void placement_core::state::TryAcquireVm(const vm_id& vm) {
  vm_entry& entry = GetOrCreateVm(vm);
  RecordAbsentHolder(entry.claim.holder());
  if (!CanAcquireVm(vm, entry.claim))
    return;
  entry.claim.Acquire();
  ScheduleClaim(VmKey(vm));
}

void placement_core::state::AcquireCandidateVms() {
  if (!is_configured_ || is_draining_)
    return;
  for (const vm_id& vm : candidate_vms_) {
    const auto found = vms_.find(vm);
    if (found != vms_.end()) {
      const authority_claim& claim = found->second.claim;
      if (claim.is_held() || IsAvailable(claim.holder()))
        continue;
    }
    TryAcquireVm(vm);
  }
}

void placement_core::state::OnClaimChanged(const authority_key& key) {
  ScheduleClaim(key);
  if (key.kind == authority_kind::vm)
    OnVmClaimChanged(vm_id(key.id));
  else
    OnModelClaimChanged(model_id(key.id));
}

void placement_core::state::OnVmClaimChanged(const vm_id& vm) {
  vm_entry& entry = GetOrCreateVm(vm);
  const vm_view* view = site_.FindVm(vm);
  RecordAbsentHolder(entry.claim.holder());
  const bool stale_owner =
      entry.owner && (!entry.claim.is_held() ||
                      entry.owner->number() != entry.claim.held_epoch());
  if (stale_owner)
    RemoveOwner(entry);
  if (entry.claim.is_held() && !entry.owner && view != nullptr) {
    entry.owner.emplace(vm, entry.claim.held_epoch(), self_, limits_);
    entry.owner->Start(OwnerContext(*view));
  }
  if (entry.owner && view != nullptr)
    entry.owner->OnTableConfirmation(entry.claim.confirmed_at(),
                                     OwnerContext(*view));
  const bool is_released =
      is_draining_ && entry.claim.is_idle() && entry.claim.holder().empty();
  if (is_released)
    SendNotice(CandidateFor("vm/" + vm.value()), entry.claim);
}

void placement_core::state::OnModelClaimChanged(const model_id& model) {
  model_entry& entry = GetOrCreateModel(model);
  RecordAbsentHolder(entry.claim.holder());
  const bool stale_decider =
      entry.decider && (!entry.claim.is_held() ||
                        entry.decider->number() != entry.claim.held_epoch());
  if (stale_decider)
    entry.decider.reset();
  if (entry.claim.is_held() && !entry.decider) {
    entry.decider.emplace(model, entry.claim.held_epoch(), limits_);
    entry.hinted_holder = self_;
    entry.hinted_epoch = entry.claim.held_epoch();
  }
  if (entry.decider) {
    for (const auto& [from, demand] : std::exchange(entry.early_demand, {}))
      entry.decider->OnDemand(from, demand, now_);
    MarkDirty(model);
  } else if (IsAvailable(entry.claim.holder())) {
    for (const auto& [from, demand] : std::exchange(entry.early_demand, {}))
      SendNotice(from, entry.claim);
  }
  const bool is_released =
      is_draining_ && entry.claim.is_idle() && entry.claim.holder().empty();
  if (is_released) {
    for (const instance_id& sender : std::exchange(entry.senders, {}))
      SendNotice(sender, entry.claim);
  }
  const auto local = local_.find(model);
  if (local != local_.end())
    local->second.is_dirty = local->second.is_dirty || local->second.is_present;
  RefreshLocalDemand();
}

void placement_core::state::RemoveOwner(vm_entry& entry) {
  for (const std::string& load : entry.owner->StoreLoads())
    Send(LimiterNode(), store_release{load});
  entry.owner.reset();
}

void placement_core::state::ReacquireIfSuperseded(const vm_id& vm) {
  vm_entry& entry = GetOrCreateVm(vm);
  if (!entry.owner)
    return;
  if (entry.owner->current_phase() != vm_owner::phase::superseded)
    return;
  const epoch fence = entry.owner->engine_fence();
  RemoveOwner(entry);
  entry.claim.Reacquire(fence);
  ScheduleClaim(VmKey(vm));
}

void placement_core::state::RequestTableConfirmation(vm_entry& entry) {
  if (!entry.owner || !entry.owner->NeedsTableConfirmation(now_))
    return;
  entry.claim.RequestRead();
  ScheduleClaim(entry.claim.key());
}

void placement_core::state::ReportUndecidedReplicas(const vm_id& vm) {
  const vm_entry& entry = GetOrCreateVm(vm);
  if (!entry.owner || !entry.owner->is_active())
    return;
  for (const model_id& model : entry.owner->Models()) {
    const instance_id decider = entry.owner->DeciderOf(model, now_);
    if (site_.FindModel(model) == nullptr)
      continue;
    if (!decider.empty() && IsAvailable(decider))
      continue;
    replica_report report;
    report.model = model;
    report.vm = vm;
    report.reason = report_reason::changed;
    report.state = replica_state::resident;
    Send(DeciderOf(model), std::move(report));
  }
}

// Messages.

void placement_core::state::Handle(const instance_id& from,
                                   const demand_report& message) {
  for (const model_demand& demand : message.demands)
    OnDemand(from, demand);
}

void placement_core::state::Handle(const instance_id&,
                                   const holder_notice& message) {
  const authority_key key{message.kind, message.id};
  if (!GetClaim(key).OnNotice(message))
    return;
  OnClaimChanged(key);
  if (message.kind == authority_kind::vm && site_.FindVm(vm_id(message.id)))
    AcquireCandidateVms();
}

void placement_core::state::Handle(const instance_id& from,
                                   const prepare_request& message) {
  OnVmRequest(from, message);
}

void placement_core::state::Handle(const instance_id& from,
                                   const load_request& message) {
  OnVmRequest(from, message);
}

void placement_core::state::Handle(const instance_id& from,
                                   const unload_request& message) {
  OnVmRequest(from, message);
}

void placement_core::state::Handle(const instance_id& from,
                                   const replica_report& message) {
  model_entry& entry = GetOrCreateModel(message.model);
  if (message.reason == report_reason::stale_epoch && entry.decider &&
      message.model_epoch == entry.decider->number()) {
    entry.claim.RequestRead();
    ScheduleClaim(ModelKey(message.model));
    return;
  }
  const bool undecided = message.model_epoch == epoch();
  if (entry.decider) {
    if (undecided)
      entry.decider->OnUndecidedReplica(message.vm, DeciderContext());
    else
      entry.decider->OnReport(from, message, now_);
    MarkDirty(message.model);
    return;
  }
  // The replica has no decider. This node acquires the model, so that the
  // replica is unloaded when it is idle.
  if (!undecided || site_.FindModel(message.model) == nullptr)
    return;
  RecordAbsentHolder(entry.claim.holder());
  // The holder known to this node may have released the model already.
  if (CanAcquireModel(entry.claim))
    entry.claim.Acquire();
  else
    entry.claim.RequestRead();
  ScheduleClaim(ModelKey(message.model));
}

void placement_core::state::Handle(const instance_id& from,
                                   const model_notice& message) {
  model_entry& entry = GetOrCreateModel(message.model);
  if (message.model_epoch < std::max(entry.claim.number(), entry.hinted_epoch))
    return;
  entry.hinted_holder = from;
  entry.hinted_epoch = message.model_epoch;
  for (const endpoint_id& endpoint : message.ready)
    actions_->push_back(replica_ready{message.model, endpoint});
  actions_->push_back(load_estimate{message.model, message.estimate});
}

void placement_core::state::Handle(const instance_id&,
                                   const eviction_request& message) {
  model_entry& entry = GetOrCreateModel(message.victim);
  if (entry.decider) {
    entry.decider->OnEviction(message, DeciderContext());
    return;
  }
  const bool known = site_.FindModel(message.victim) != nullptr;
  if (!known || !CanAcquireModel(entry.claim))
    return;
  entry.claim.Acquire();
  ScheduleClaim(ModelKey(message.victim));
}

void placement_core::state::Handle(const instance_id&,
                                   const adapter_request& message) {
  const auto found = vms_.find(message.vm);
  const vm_view* view = site_.FindVm(message.vm);
  if (found == vms_.end() || view == nullptr)
    return;
  if (found->second.owner && found->second.owner->is_active())
    found->second.owner->OnAdapter(message, OwnerContext(*view));
}

void placement_core::state::Handle(const instance_id& from,
                                   const store_request& message) {
  limiter_.OnRequest(from, message, now_);
}

void placement_core::state::Handle(const instance_id& from,
                                   const store_grant& message) {
  for (auto& [vm, entry] : vms_) {
    const vm_view* view = site_.FindVm(vm);
    if (!entry.owner || view == nullptr)
      continue;
    if (entry.owner->OnGrant(message, OwnerContext(*view)))
      return;
  }
  Send(from, store_release{message.load});
}

void placement_core::state::Handle(const instance_id&,
                                   const store_release& message) {
  limiter_.OnRelease(message);
}

void placement_core::state::OnDemand(const instance_id& from,
                                     const model_demand& demand) {
  if (site_.FindModel(demand.model) == nullptr)
    return;
  model_entry& entry = GetOrCreateModel(demand.model);
  if (from != self_)
    entry.senders.insert(from);
  if (entry.decider) {
    entry.decider->OnDemand(from, demand, now_);
    MarkDirty(demand.model);
    return;
  }
  if (demand.waiting + demand.running == 0)
    return;
  if (IsAvailable(entry.claim.holder())) {
    SendNotice(from, entry.claim);
    return;
  }
  RecordAbsentHolder(entry.claim.holder());
  if (CanAcquireModel(entry.claim)) {
    entry.early_demand[from] = demand;
    entry.claim.Acquire();
    ScheduleClaim(ModelKey(demand.model));
    return;
  }
  if (is_draining_)
    Send(CandidateFor("model/" + demand.model.value()),
         demand_report{{demand}});
}

template <typename Request>
void placement_core::state::OnVmRequest(const instance_id& from,
                                        const Request& request) {
  const request_key key{request.vm, request.model};
  if (site_.FindVm(request.vm) == nullptr)
    return;
  vm_entry& entry = GetOrCreateVm(request.vm);
  if (!entry.owner) {
    SendNotice(from, entry.claim);
    if (!IsAvailable(entry.claim.holder()))
      TryAcquireVm(request.vm);
  }
  const pending_request pending{from, request};
  if (!TryDeliver(key, pending))
    pending_[key] = pending;
}

bool placement_core::state::TryDeliver(const request_key& key,
                                       const pending_request& pending) {
  vm_entry& entry = GetOrCreateVm(key.vm);
  const vm_view* view = site_.FindVm(key.vm);
  if (view == nullptr || (!entry.owner && entry.claim.is_idle()))
    return true;
  if (!entry.owner || !entry.owner->is_active())
    return false;
  // An earlier owner may have accepted a higher epoch of the model. The row
  // shows this epoch if it was read after this owner became active.
  authority_claim& claim = GetOrCreateModel(key.model).claim;
  if (claim.confirmed_at() < entry.owner->active_since() || !claim.is_known()) {
    claim.RequestRead();
    ScheduleClaim(ModelKey(key.model));
    return false;
  }
  std::visit(
      [this, &key, &pending, &entry, &claim, view](const auto& request) {
        if (request.model_epoch < claim.number()) {
          SendStaleRefusal(pending.from, key, request.model_epoch,
                           request.sequence);
          return;
        }
        using kind = std::decay_t<decltype(request)>;
        if constexpr (std::is_same_v<kind, prepare_request>)
          entry.owner->OnPrepare(pending.from, request, OwnerContext(*view));
        else if constexpr (std::is_same_v<kind, load_request>)
          entry.owner->OnLoad(pending.from, request, OwnerContext(*view));
        else
          entry.owner->OnUnload(pending.from, request, OwnerContext(*view));
      },
      pending.request);
  return true;
}

void placement_core::state::DeliverPending() {
  std::erase_if(pending_, [this](const auto& item) {
    return TryDeliver(item.first, item.second);
  });
}

void placement_core::state::SendStaleRefusal(const instance_id& to,
                                             const request_key& key,
                                             epoch model_epoch,
                                             int64_t sequence) {
  replica_report report;
  report.model = key.model;
  report.model_epoch = model_epoch;
  report.vm = key.vm;
  report.sequence = sequence;
  report.state = replica_state::loading;
  report.reason = report_reason::stale_epoch;
  Send(to, std::move(report));
}

void placement_core::state::SendLocalDemand(const model_id& model,
                                            local_demand& entry) {
  const instance_id target = DeciderOf(model);
  if (target.empty())
    return;
  entry.is_dirty = false;
  entry.sent_at = now_;
  entry.sent_to = target;
  Send(target, demand_report{{entry.demand}});
}

void placement_core::state::RefreshLocalDemand() {
  for (auto& [model, entry] : local_) {
    const bool due = entry.is_present &&
                     (now_ - entry.sent_at >= limits_.demand_refresh_interval ||
                      entry.sent_to != DeciderOf(model));
    if (entry.is_dirty || due)
      SendLocalDemand(model, entry);
  }
}

// Processing at the end of an event.

void placement_core::state::RunScheduledClaims() {
  const std::set<authority_key> keys = std::exchange(scheduled_claims_, {});
  for (const authority_key& key : keys) {
    authority_claim& claim = GetClaim(key);
    switch (claim.NextStep(now_)) {
      case authority_claim::step::none:
        break;
      case authority_claim::step::read:
        actions_->push_back(read_authority{key});
        break;
      case authority_claim::step::write:
        actions_->push_back(commit_authority{claim.write()});
        break;
    }
  }
}

void placement_core::state::SendStoreGrants() {
  for (const weight_store_limiter::granted_load& grant :
       limiter_.TakeGrants(now_))
    Send(grant.to, store_grant{grant.load});
}

void placement_core::state::ExtractSelfMessages() {
  action_list remaining;
  for (std::size_t i = first_action_; i < actions_->size(); ++i) {
    placement_action& action = (*actions_)[i];
    auto* message = std::get_if<send_placement_message>(&action);
    if (message != nullptr && message->to == self_)
      self_messages_.push_back(std::move(message->message));
    else
      remaining.push_back(std::move(action));
  }
  actions_->resize(first_action_);
  for (placement_action& action : remaining)
    actions_->push_back(std::move(action));
}

}  // namespace jasminepath::decision
