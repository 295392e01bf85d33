#include "placement/model_decider.h"

#include <algorithm>
#include <utility>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

namespace {

constexpr duration kDefaultKeepWarm = Seconds(600);
// A model that was used within this time is not evicted.
constexpr duration kMinIdleBeforeEviction = Seconds(5);
// Minimum time between two eviction requests for the same VM.
constexpr duration kEvictionRetryInterval = Seconds(3);
// Interval at which the owner is asked about a replica that is loading or
// leaving, and about a replica that is resident.
constexpr duration kTransitionRefresh = Seconds(2);
constexpr duration kResidentRefresh = Seconds(15);
// A VM whose owner has not accepted the epoch within this time counts as
// unusable.
constexpr duration kPrepareTimeout = Seconds(1);
// If the outstanding calls are at least this multiple of what the usable
// replicas can serve, the missing replicas are loaded at once.
constexpr int64_t kBurstFactor = 2;
// With fewer calls, more replicas are loaded only after callers have waited
// this fraction of a load time.
constexpr double kLongWaitLoadFraction = 0.25;
// A surplus replica is unloaded after the keep-warm time divided by this
// number.
constexpr int64_t kSurplusKeepWarmDivisor = 4;
// Extra cost of a load for each model that has to be evicted, in seconds.
constexpr double kEvictionCostSeconds = 10;

constexpr duration kNoEstimate = duration(-1);

int64_t DivideRoundingUp(int64_t count, int64_t by) {
  return (count + by - 1) / std::max<int64_t>(by, 1);
}

}  // namespace

model_decider::model_decider(model_id model,
                             epoch number,
                             const placement_limits& limits)
    : model_(std::move(model)),
      number_(number),
      limits_(limits),
      keep_warm_(kDefaultKeepWarm) {}

int64_t model_decider::waiting() const {
  int64_t sum = 0;
  for (const auto& [from, entry] : demands_)
    sum += entry.demand.waiting;
  return sum;
}

int64_t model_decider::running() const {
  int64_t sum = 0;
  for (const auto& [from, entry] : demands_)
    sum += entry.demand.running;
  return sum;
}

int64_t model_decider::ReplicaCount() const {
  return std::count_if(
      vm_states_.begin(), vm_states_.end(),
      [this](const auto& item) { return IsCounted(item.second); });
}

std::vector<replica_status> model_decider::Replicas(
    const site_view& site) const {
  std::vector<replica_status> replicas;
  for (const auto& [vm, entry] : vm_states_) {
    if (!IsCounted(entry))
      continue;
    const vm_view* view = site.FindVm(vm);
    replicas.push_back({vm, view == nullptr ? endpoint_id() : view->endpoint.id,
                        entry.has_accepted_epoch, entry.state, entry.version});
  }
  return replicas;
}

keep_warm_price model_decider::ComputePrice(const site_view& site) const {
  keep_warm_price price;
  price.cold_start_second = site.weights().cold_start_second;
  price.idle_accelerator_hour = site.weights().idle_accelerator_hour;
  const model_view* view = site.FindModel(model_);
  if (view == nullptr)
    return price;
  price.cold_start = view->model.remote_load;
  for (const vm_id& vm : *view->vms) {
    const vm_view* host = site.FindVm(vm);
    if (host == nullptr || host->has_ended)
      continue;
    price.accelerators = std::max<int64_t>(1, host->endpoint.accelerators);
    const weight_source source = site.NearestSource(*view, *host);
    price.cold_start =
        std::min(price.cold_start, site_view::LoadTime(view->model, source));
  }
  return price;
}

int64_t model_decider::TakeArrivals() {
  return std::exchange(arrivals_, 0);
}

bool model_decider::IsBusy() const {
  if (waiting() > 0)
    return true;
  return std::any_of(vm_states_.begin(), vm_states_.end(),
                     [](const auto& item) {
                       const vm_state& entry = item.second;
                       return entry.request != request_kind::none ||
                              entry.state == replica_state::loading ||
                              entry.state == replica_state::leaving;
                     });
}

void model_decider::OnDemand(const instance_id& from,
                             const model_demand& demand,
                             time_point now) {
  const auto [found, first] = demands_.try_emplace(from);
  const model_demand& before = found->second.demand;
  const int64_t outstanding = demand.waiting + demand.running;
  int64_t arrived = std::max<int64_t>(0, demand.arrivals - before.arrivals);
  if (first)
    arrived = std::min(arrived, outstanding);
  arrivals_ += arrived;
  if (outstanding > 0 || arrived > 0)
    last_use_ = now;
  found->second = {demand, now};
  if (outstanding > 0)
    notified_.erase(from);
}

void model_decider::OnInstanceEnded(const instance_id& instance) {
  demands_.erase(instance);
  notified_.erase(instance);
}

void model_decider::OnReport(const instance_id& from,
                             const replica_report& report,
                             time_point now) {
  if (report.model_epoch != number_)
    return;
  if (report.reason == report_reason::not_owner ||
      report.reason == report_reason::stale_epoch)
    return;
  const auto found = vm_states_.find(report.vm);
  if (found == vm_states_.end())
    return;
  vm_state& entry = found->second;
  if (report.sequence < entry.sequence)
    return;
  const bool newer =
      report.vm_epoch > entry.vm_epoch || (report.vm_epoch == entry.vm_epoch &&
                                           report.number > entry.report_number);
  if (!newer)
    return;
  const bool is_load_requested = entry.request == request_kind::load;
  const bool was_loading =
      is_load_requested || entry.state == replica_state::loading;
  entry.has_accepted_epoch = true;
  entry.request = request_kind::none;
  entry.reporter = from;
  entry.vm_epoch = report.vm_epoch;
  entry.report_number = report.number;
  entry.reported_at = now;
  entry.state = report.state;
  entry.version = report.version;
  if (report.state != replica_state::loading)
    entry.loading_since.reset();
  if (was_loading && report.state == replica_state::absent)
    entry.last_choice_until = now + limits_.failed_load_backoff;
}

// The replica may result from a delayed order of an earlier owner. In that
// case, the report that the VM holds no replica is out of date.
void model_decider::OnUndecidedReplica(const vm_id& vm,
                                       const decider_context& context) {
  const auto found = vm_states_.find(vm);
  if (found == vm_states_.end() || found->second.request != request_kind::none)
    return;
  StartRequest(vm, found->second, request_kind::prepare, context);
}

void model_decider::OnEviction(const eviction_request& request,
                               const decider_context& context) {
  const auto found = vm_states_.find(request.vm);
  if (found == vm_states_.end() || found->second.request != request_kind::none)
    return;
  if (found->second.state != replica_state::resident)
    return;
  const bool in_use = waiting() + running() > 0;
  const bool just_used =
      last_use_ && context.now - *last_use_ < kMinIdleBeforeEviction;
  if (in_use || just_used)
    return;
  StartRequest(request.vm, found->second, request_kind::unload, context);
}

void model_decider::Update(const decider_context& context) {
  // Replicas that an earlier decider has loaded may have been used just now.
  if (!last_use_)
    last_use_ = context.now;
  ExpireDemand(context.now);
  SyncVmStates(context);
  RecordLoadStarts(context);
  const target goal = ComputeTarget(context);
  UpdateDecision(goal, context);
  CancelSlowLoads(context);
  StartLoads(goal, context);
  UnloadReplicas(goal, context);
  SendDueRequests(context);
  SendNotices(context);
}

bool model_decider::IsCounted(const vm_state& entry) const {
  return !entry.has_accepted_epoch || entry.request == request_kind::load ||
         entry.state != replica_state::absent;
}

bool model_decider::IsReady(const vm_id& vm,
                            const vm_state& entry,
                            const decider_context& context) const {
  const vm_view* view = context.site.FindVm(vm);
  return entry.has_accepted_epoch && entry.state == replica_state::resident &&
         entry.request != request_kind::unload && view != nullptr &&
         view->is_reachable && !view->is_leaving && !view->has_ended;
}

bool model_decider::IsUsable(const vm_id& vm,
                             const vm_state& entry,
                             const decider_context& context) const {
  if (!entry.has_accepted_epoch || entry.request == request_kind::unload)
    return false;
  const vm_view* view = context.site.FindVm(vm);
  if (view == nullptr || !view->is_reachable || view->is_leaving ||
      view->has_ended)
    return false;
  if (entry.request == request_kind::load ||
      entry.state == replica_state::loading)
    return !IsSlow(vm, entry, context);
  return entry.state == replica_state::resident;
}

bool model_decider::IsSlow(const vm_id&,
                           const vm_state& entry,
                           const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  if (!entry.loading_since || view == nullptr)
    return false;
  const double expected =
      ToSeconds(site_view::LoadTime(view->model, entry.source));
  return ToSeconds(context.now - *entry.loading_since) >
         expected * limits_.slow_load_factor;
}

bool model_decider::HasOldVersion(const vm_state& entry,
                                  const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  return view != nullptr && entry.has_accepted_epoch &&
         entry.state == replica_state::resident &&
         entry.version != view->model.version;
}

void model_decider::ExpireDemand(time_point now) {
  std::erase_if(demands_, [this, now](const auto& item) {
    const sender_demand& entry = item.second;
    if (entry.demand.waiting + entry.demand.running == 0)
      return false;
    return now - entry.received_at > limits_.demand_expiry;
  });
}

void model_decider::SyncVmStates(const decider_context& context) {
  const model_view* view = context.site.FindModel(model_);
  if (view != nullptr) {
    for (const vm_id& vm : *view->vms) {
      if (!context.site.HasEnded(vm))
        vm_states_.try_emplace(vm);
    }
  }
  // An endpoint that has left the configuration and may hold a replica counts
  // until its VM has ended.
  std::erase_if(vm_states_, [this, &context](const auto& item) {
    if (context.site.HasEnded(item.first))
      return true;
    const bool configured = context.site.FindVm(item.first) != nullptr;
    return !configured &&
           (!item.second.has_accepted_epoch || !IsCounted(item.second));
  });
}

void model_decider::RecordLoadStarts(const decider_context& context) {
  for (auto& [vm, entry] : vm_states_) {
    if (entry.state != replica_state::loading || entry.loading_since)
      continue;
    const vm_view* host = context.site.FindVm(vm);
    if (host == nullptr)
      continue;
    for (const resident_model& listed : host->status.models) {
      if (listed.model == model_ && listed.state == resident_state::loading)
        entry.loading_since = context.now;
    }
  }
}

void model_decider::SendDueRequests(const decider_context& context) {
  for (auto& [vm, entry] : vm_states_) {
    if (entry.request != request_kind::none) {
      if (context.now - entry.sent_at >= limits_.message_retry_interval)
        SendRequest(vm, entry, context);
      continue;
    }
    if (!entry.has_accepted_epoch) {
      StartRequest(vm, entry, request_kind::prepare, context);
      continue;
    }
    if (entry.state == replica_state::absent)
      continue;
    const bool in_transition = entry.state != replica_state::resident;
    const duration refresh =
        in_transition ? kTransitionRefresh : kResidentRefresh;
    const bool stale = context.now - entry.reported_at >= refresh;
    if (stale || context.owner_of(vm) != entry.reporter)
      StartRequest(vm, entry, request_kind::prepare, context);
  }
}

model_decider::target model_decider::ComputeTarget(
    const decider_context& context) const {
  target goal;
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr)
    return goal;
  const int64_t outstanding = waiting() + running();
  const int64_t endpoint_capacity =
      std::max<int64_t>(1, view->endpoint_concurrency);
  int64_t usable_count = 0;
  for (const auto& [vm, entry] : vm_states_)
    usable_count += IsUsable(vm, entry, context) ? 1 : 0;
  if (outstanding == 0) {
    const bool is_warm = last_use_ && context.now - *last_use_ < keep_warm_;
    goal.is_idle = !is_warm;
    goal.replicas = is_warm ? std::min<int64_t>(usable_count, 1) : 0;
    return goal;
  }
  goal.replicas = 1;
  const int64_t needed = DivideRoundingUp(outstanding, endpoint_capacity);
  duration oldest = duration::zero();
  for (const auto& [from, entry] : demands_)
    oldest = std::max(oldest, entry.demand.oldest_wait);
  const double load = ToSeconds(ComputePrice(context.site).cold_start);
  const bool is_burst = outstanding >= kBurstFactor * endpoint_capacity *
                                           std::max<int64_t>(usable_count, 1);
  const bool has_long_wait = ToSeconds(oldest) > kLongWaitLoadFraction * load;
  if (is_burst || (usable_count > 0 && has_long_wait))
    goal.replicas = needed;
  else
    goal.replicas =
        std::clamp<int64_t>(needed, 1, std::max<int64_t>(usable_count, 1));
  goal.replicas = std::min(goal.replicas, view->model.max_replicas);
  return goal;
}

void model_decider::UpdateDecision(const target& goal,
                                   const decider_context& context) {
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr) {
    decided_ = 0;
    return;
  }
  // Unusable replicas raise the decided number up to the limit of the model.
  // Replicas on leaving VMs and old versions that are being replaced are added
  // on top of the limit.
  int64_t unusable_count = 0;
  int64_t departing_count = 0;
  for (const auto& [vm, entry] : vm_states_) {
    if (!IsCounted(entry))
      continue;
    const vm_view* host = context.site.FindVm(vm);
    const bool awaits_answer =
        entry.request == request_kind::prepare &&
        context.now - entry.first_sent_at < kPrepareTimeout;
    if (entry.has_accepted_epoch && host != nullptr && host->is_leaving &&
        entry.state == replica_state::resident)
      ++departing_count;
    else if (HasOldVersion(entry, context) && goal.replicas > 0)
      ++departing_count;
    else if (!IsUsable(vm, entry, context) &&
             (entry.has_accepted_epoch || !awaits_answer))
      ++unusable_count;
  }
  const int64_t limit = view->model.max_replicas;
  decided_ = std::min(limit, goal.replicas + unusable_count) + departing_count;
}

void model_decider::CancelSlowLoads(const decider_context& context) {
  if (ReplicaCount() < decided_)
    return;
  for (auto& [vm, entry] : vm_states_) {
    const bool loading = entry.state == replica_state::loading &&
                         entry.request != request_kind::unload;
    if (loading && IsSlow(vm, entry, context))
      StartRequest(vm, entry, request_kind::unload, context);
  }
}

void model_decider::StartLoads(const target& goal,
                               const decider_context& context) {
  int64_t usable_count = 0;
  for (const auto& [vm, entry] : vm_states_) {
    const bool is_current = !HasOldVersion(entry, context);
    usable_count += is_current && IsUsable(vm, entry, context) ? 1 : 0;
  }
  for (; usable_count < goal.replicas && ReplicaCount() < decided_;
       ++usable_count) {
    const std::optional<placement_choice> choice = ChooseVm(context);
    if (!choice)
      return;
    if (!choice->victims.empty()) {
      RequestEvictions(*choice, context);
      return;
    }
    vm_state& entry = vm_states_[choice->vm];
    entry.source = choice->source;
    StartRequest(choice->vm, entry, request_kind::load, context);
  }
}

void model_decider::UnloadReplicas(const target& goal,
                                   const decider_context& context) {
  int64_t current_ready_count = 0;
  int64_t usable_count = 0;
  for (const auto& [vm, entry] : vm_states_) {
    const bool ready = IsReady(vm, entry, context);
    usable_count += IsUsable(vm, entry, context) ? 1 : 0;
    current_ready_count += ready && !HasOldVersion(entry, context) ? 1 : 0;
  }
  const bool has_surplus = usable_count > goal.replicas;
  if (!has_surplus)
    surplus_since_.reset();
  else if (!surplus_since_)
    surplus_since_ = context.now;
  const bool surplus_expired =
      has_surplus &&
      context.now - *surplus_since_ >= keep_warm_ / kSurplusKeepWarmDivisor;
  for (auto& [vm, entry] : vm_states_) {
    const bool resident = entry.has_accepted_epoch &&
                          entry.request == request_kind::none &&
                          entry.state == replica_state::resident;
    const vm_view* host = context.site.FindVm(vm);
    if (!resident || host == nullptr || !host->is_reachable)
      continue;
    const bool engine_is_idle = host->status.load.running == 0;
    const bool is_replaced =
        HasOldVersion(entry, context) && current_ready_count >= goal.replicas;
    const bool leaving = host->is_leaving && engine_is_idle;
    const bool is_surplus = surplus_expired && usable_count > goal.replicas &&
                            usable_count > 1 && engine_is_idle;
    if (!goal.is_idle && !is_replaced && !leaving && !is_surplus)
      continue;
    StartRequest(vm, entry, request_kind::unload, context);
    --usable_count;
  }
}

std::optional<model_decider::placement_choice> model_decider::ChooseVm(
    const decider_context& context) const {
  std::optional<placement_choice> best;
  for (const auto& [vm, entry] : vm_states_) {
    const auto choice = EvaluateVm(vm, entry, context);
    if (choice && (!best || choice->cost < best->cost))
      best = choice;
  }
  return best;
}

std::optional<model_decider::placement_choice> model_decider::EvaluateVm(
    const vm_id& vm,
    const vm_state& entry,
    const decider_context& context) const {
  if (IsCounted(entry) || entry.request != request_kind::none)
    return std::nullopt;
  const model_view* view = context.site.FindModel(model_);
  const vm_view* host = context.site.FindVm(vm);
  if (view == nullptr || host == nullptr || !host->has_status)
    return std::nullopt;
  if (!host->is_reachable || host->is_leaving || host->has_ended)
    return std::nullopt;
  placement_choice choice;
  choice.vm = vm;
  choice.source = context.site.NearestSource(*view, *host);
  choice.cost = ToSeconds(site_view::LoadTime(view->model, choice.source));
  if (context.now < entry.last_choice_until)
    choice.cost += ToSeconds(limits_.failed_load_backoff) +
                   ToSeconds(view->model.remote_load);
  bytes used;
  for (const resident_model& listed : host->status.models) {
    const bytes size = context.site.ReplicaSize(listed.model);
    used += size == bytes() ? listed.memory : size;
    for (const adapter_id& adapter : listed.adapters)
      used += context.site.AdapterSize(listed.model, adapter);
  }
  const bytes needed = view->model.weights + view->model.cache_reserve;
  if (needed > host->endpoint.memory)
    return std::nullopt;
  for (const resident_model& listed : host->status.models) {
    if (used + needed <= host->endpoint.memory)
      break;
    if (listed.state != resident_state::resident || listed.model == model_)
      continue;
    choice.victims.push_back(listed.model);
    choice.cost += kEvictionCostSeconds;
    used -= context.site.ReplicaSize(listed.model);
  }
  if (used + needed > host->endpoint.memory)
    return std::nullopt;
  const bool eviction_requested = context.now < entry.eviction_retry_at;
  if (!choice.victims.empty() && eviction_requested)
    choice.cost += kEvictionCostSeconds;
  // Breaks ties, so that models spread over VMs with the same cost.
  const uint64_t hash = StableHash(model_.value() + "|" + vm.value());
  choice.cost += static_cast<double>(hash % 1000) * 1e-6;
  return choice;
}

void model_decider::RequestEvictions(const placement_choice& choice,
                                     const decider_context& context) {
  vm_state& entry = vm_states_[choice.vm];
  if (context.now < entry.eviction_retry_at)
    return;
  entry.eviction_retry_at = context.now + kEvictionRetryInterval;
  for (const model_id& victim : choice.victims) {
    const instance_id decider = context.decider_of(victim);
    if (decider.empty())
      continue;
    eviction_request request{victim, choice.vm, model_,
                             ComputeUrgency(context)};
    context.actions.push_back(
        send_placement_message{decider, std::move(request)});
  }
}

void model_decider::StartRequest(const vm_id& vm,
                                 vm_state& entry,
                                 request_kind kind,
                                 const decider_context& context) {
  entry.request = kind;
  entry.sequence = ++last_sequence_;
  entry.first_sent_at = context.now;
  entry.recipient = instance_id();
  if (kind == request_kind::load) {
    entry.state = replica_state::loading;
    entry.loading_since.reset();
  }
  if (kind == request_kind::unload)
    entry.state = replica_state::leaving;
  SendRequest(vm, entry, context);
}

void model_decider::SendRequest(const vm_id& vm,
                                vm_state& entry,
                                const decider_context& context) {
  entry.sent_at = context.now;
  const instance_id owner = context.owner_of(vm);
  if (owner.empty())
    return;
  // An answer of the earlier owner must not be taken as one of the current
  // owner.
  if (!entry.recipient.empty() && entry.recipient != owner)
    entry.sequence = ++last_sequence_;
  entry.recipient = owner;
  placement_message message =
      prepare_request{model_, number_, vm, entry.sequence};
  if (entry.request == request_kind::load) {
    const model_view* view = context.site.FindModel(model_);
    load_request load;
    load.model = model_;
    load.model_epoch = number_;
    load.vm = vm;
    load.sequence = entry.sequence;
    load.version = view == nullptr ? std::string() : view->model.version;
    load.source = entry.source;
    load.urgency = ComputeUrgency(context);
    load.decided = decided_;
    message = std::move(load);
  }
  if (entry.request == request_kind::unload)
    message = unload_request{model_, number_, vm, entry.sequence};
  context.actions.push_back(send_placement_message{owner, std::move(message)});
}

duration model_decider::EstimateReadyTime(
    const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr)
    return kNoEstimate;
  std::optional<duration> best;
  for (const auto& [vm, entry] : vm_states_) {
    if (IsReady(vm, entry, context))
      return duration::zero();
    if (entry.state != replica_state::loading)
      continue;
    duration left = site_view::LoadTime(view->model, entry.source);
    if (entry.loading_since)
      left -= context.now - *entry.loading_since;
    left = std::max(left, duration::zero());
    best = std::min(best.value_or(left), left);
  }
  if (best)
    return *best;
  const auto choice = ChooseVm(context);
  if (!choice)
    return kNoEstimate;
  return site_view::LoadTime(view->model, choice->source);
}

void model_decider::SendNotices(const decider_context& context) {
  model_notice notice;
  notice.model = model_;
  notice.model_epoch = number_;
  for (const auto& [vm, entry] : vm_states_) {
    if (IsReady(vm, entry, context))
      notice.ready.push_back(context.site.FindVm(vm)->endpoint.id);
  }
  const bool ready_changed = !notice_ || notice_->ready != notice.ready;
  if (ready_changed)
    notified_.clear();
  for (const auto& [from, entry] : demands_) {
    if (notified_.contains(from))
      continue;
    if (notice.estimate == duration::zero())
      notice.estimate = EstimateReadyTime(context);
    notified_[from] = context.now;
    context.actions.push_back(send_placement_message{from, notice});
  }
  notice_ = std::move(notice);
}

double model_decider::ComputeUrgency(const decider_context&) const {
  double urgency = 0;
  for (const auto& [from, entry] : demands_) {
    const double calls = static_cast<double>(entry.demand.waiting);
    urgency += calls * (1 + ToSeconds(entry.demand.oldest_wait));
  }
  return urgency;
}

}  // namespace jasminepath::decision
