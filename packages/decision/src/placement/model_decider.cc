#include "placement/model_decider.h"

#include <algorithm>
#include <utility>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

namespace {

constexpr duration kDefaultKeep = Seconds(600);
// A replica that served a call within this time is not evicted.
constexpr duration kEvictionIdle = Seconds(5);
// How long the answer to an eviction request is waited for.
constexpr duration kEvictionWait = Seconds(3);
// How often the owner is asked about a replica that is loading or leaving, and
// about one that should be there.
constexpr duration kTransitionRefresh = Seconds(2);
constexpr duration kResidentRefresh = Seconds(15);
// A VM whose owner does not promise for this long counts as out of reach.
constexpr duration kPromisePatience = Seconds(1);
// Calls in hand that are twice what the replicas hold earn another at once;
// fewer do when callers have waited this part of a load.
constexpr int64_t kBurstFactor = 2;
constexpr double kWaitWorthLoad = 0.25;
// Part of the keep-warm time after which a surplus replica goes.
constexpr int64_t kSurplusKeepDivisor = 4;
// Extra cost of a load that has to evict, in seconds for each victim.
constexpr double kEvictionSeconds = 10;

constexpr duration kNoEstimate = duration(-1);

int64_t DivideUp(int64_t count, int64_t by) {
  return (count + by - 1) / std::max<int64_t>(by, 1);
}

}  // namespace

model_decider::model_decider(model_id model,
                             epoch number,
                             const placement_limits& limits)
    : model_(std::move(model)),
      number_(number),
      limits_(limits),
      keep_(kDefaultKeep) {}

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

int64_t model_decider::Count() const {
  return std::count_if(slots_.begin(), slots_.end(), [this](const auto& item) {
    return Counts(item.second);
  });
}

std::vector<replica_status> model_decider::Replicas(
    const site_view& site) const {
  std::vector<replica_status> replicas;
  for (const auto& [vm, entry] : slots_) {
    if (!Counts(entry))
      continue;
    const vm_view* view = site.FindVm(vm);
    replicas.push_back({vm, view == nullptr ? endpoint_id() : view->endpoint.id,
                        entry.promised, entry.state, entry.version});
  }
  return replicas;
}

keep_warm_price model_decider::Price(const site_view& site) const {
  keep_warm_price price;
  price.cold_start_second = site.weights().cold_start_second;
  price.idle_accelerator_hour = site.weights().idle_accelerator_hour;
  const model_view* view = site.FindModel(model_);
  if (view == nullptr)
    return price;
  price.cold_start = view->model.remote_load;
  for (const vm_id& vm : *view->vms) {
    const vm_view* host = site.FindVm(vm);
    if (host == nullptr || host->gone)
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

bool model_decider::Busy() const {
  if (waiting() > 0)
    return true;
  return std::any_of(slots_.begin(), slots_.end(), [](const auto& item) {
    const slot& entry = item.second;
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
  const int64_t in_hand = demand.waiting + demand.running;
  int64_t arrived = std::max<int64_t>(0, demand.arrivals - before.arrivals);
  if (first)
    arrived = std::min(arrived, in_hand);
  arrivals_ += arrived;
  if (in_hand > 0 || arrived > 0)
    last_use_ = now;
  found->second = {demand, now};
  if (in_hand > 0)
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
  const auto found = slots_.find(report.vm);
  if (found == slots_.end())
    return;
  slot& entry = found->second;
  if (report.sequence < entry.sequence)
    return;
  const bool newer =
      report.vm_epoch > entry.vm_epoch || (report.vm_epoch == entry.vm_epoch &&
                                           report.number > entry.report_number);
  if (!newer)
    return;
  const bool load_open = entry.request == request_kind::load;
  const bool was_loading = load_open || entry.state == replica_state::loading;
  entry.promised = true;
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
    entry.avoid_until = now + limits_.failed_load_backoff;
}

// The replica may be the work of a late order of an earlier owner, whose
// report that it holds none is out of date.
void model_decider::OnUndecidedReplica(const vm_id& vm,
                                       const decider_context& context) {
  const auto found = slots_.find(vm);
  if (found == slots_.end() || found->second.request != request_kind::none)
    return;
  Request(vm, found->second, request_kind::promise, context);
}

void model_decider::OnEviction(const eviction_request& request,
                               const decider_context& context) {
  const auto found = slots_.find(request.vm);
  if (found == slots_.end() || found->second.request != request_kind::none)
    return;
  if (found->second.state != replica_state::resident)
    return;
  const bool in_use = waiting() + running() > 0;
  const bool just_used = last_use_ && context.now - *last_use_ < kEvictionIdle;
  if (in_use || just_used)
    return;
  Request(request.vm, found->second, request_kind::unload, context);
}

void model_decider::Step(const decider_context& context) {
  // What an earlier decider has loaded may have been used just now.
  if (!last_use_)
    last_use_ = context.now;
  ExpireDemand(context.now);
  SyncSlots(context);
  WatchLoads(context);
  const target wanted = Target(context);
  Decide(wanted, context);
  StopHopeless(context);
  StartLoads(wanted, context);
  StopReplicas(wanted, context);
  Contact(context);
  Notify(context);
}

bool model_decider::Counts(const slot& entry) const {
  return !entry.promised || entry.request == request_kind::load ||
         entry.state != replica_state::absent;
}

bool model_decider::Ready(const vm_id& vm,
                          const slot& entry,
                          const decider_context& context) const {
  const vm_view* view = context.site.FindVm(vm);
  return entry.promised && entry.state == replica_state::resident &&
         entry.request != request_kind::unload && view != nullptr &&
         view->reachable && !view->leaving && !view->gone;
}

bool model_decider::Usable(const vm_id& vm,
                           const slot& entry,
                           const decider_context& context) const {
  if (!entry.promised || entry.request == request_kind::unload)
    return false;
  const vm_view* view = context.site.FindVm(vm);
  if (view == nullptr || !view->reachable || view->leaving || view->gone)
    return false;
  if (entry.request == request_kind::load ||
      entry.state == replica_state::loading)
    return !Slow(vm, entry, context);
  return entry.state == replica_state::resident;
}

bool model_decider::Slow(const vm_id&,
                         const slot& entry,
                         const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  if (!entry.loading_since || view == nullptr)
    return false;
  const double expected =
      ToSeconds(site_view::LoadTime(view->model, entry.source));
  return ToSeconds(context.now - *entry.loading_since) >
         expected * limits_.slow_load_factor;
}

bool model_decider::OldVersion(const slot& entry,
                               const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  return view != nullptr && entry.promised &&
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

void model_decider::SyncSlots(const decider_context& context) {
  const model_view* view = context.site.FindModel(model_);
  if (view != nullptr) {
    for (const vm_id& vm : *view->vms) {
      if (!context.site.Gone(vm))
        slots_.try_emplace(vm);
    }
  }
  // An endpoint that left the configuration counts until its VM has ended, if
  // it may hold a replica.
  std::erase_if(slots_, [this, &context](const auto& item) {
    if (context.site.Gone(item.first))
      return true;
    const bool configured = context.site.FindVm(item.first) != nullptr;
    return !configured && (!item.second.promised || !Counts(item.second));
  });
}

void model_decider::WatchLoads(const decider_context& context) {
  for (auto& [vm, entry] : slots_) {
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

void model_decider::Contact(const decider_context& context) {
  for (auto& [vm, entry] : slots_) {
    if (entry.request != request_kind::none) {
      if (context.now - entry.asked_at >= limits_.message_retry)
        SendRequest(vm, entry, context);
      continue;
    }
    if (!entry.promised) {
      Request(vm, entry, request_kind::promise, context);
      continue;
    }
    if (entry.state == replica_state::absent)
      continue;
    const bool moving = entry.state != replica_state::resident;
    const duration refresh = moving ? kTransitionRefresh : kResidentRefresh;
    const bool stale = context.now - entry.reported_at >= refresh;
    if (stale || context.owner_of(vm) != entry.reporter)
      Request(vm, entry, request_kind::promise, context);
  }
}

model_decider::target model_decider::Target(
    const decider_context& context) const {
  target wanted;
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr)
    return wanted;
  const int64_t in_hand = waiting() + running();
  const int64_t room = std::max<int64_t>(1, view->endpoint_concurrency);
  int64_t have = 0;
  for (const auto& [vm, entry] : slots_)
    have += Usable(vm, entry, context) ? 1 : 0;
  if (in_hand == 0) {
    const bool warm = last_use_ && context.now - *last_use_ < keep_;
    wanted.idle = !warm;
    wanted.replicas = warm ? std::min<int64_t>(have, 1) : 0;
    return wanted;
  }
  wanted.replicas = 1;
  const int64_t needed = DivideUp(in_hand, room);
  duration oldest = duration::zero();
  for (const auto& [from, entry] : demands_)
    oldest = std::max(oldest, entry.demand.oldest_wait);
  const double load = ToSeconds(Price(context.site).cold_start);
  const bool large =
      in_hand >= kBurstFactor * room * std::max<int64_t>(have, 1);
  const bool long_wait = ToSeconds(oldest) > kWaitWorthLoad * load;
  if (large || (have > 0 && long_wait))
    wanted.replicas = needed;
  else
    wanted.replicas =
        std::clamp<int64_t>(needed, 1, std::max<int64_t>(have, 1));
  wanted.replicas = std::min(wanted.replicas, view->model.max_replicas);
  return wanted;
}

void model_decider::Decide(const target& wanted,
                           const decider_context& context) {
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr) {
    decided_ = 0;
    return;
  }
  // Replicas that cannot serve take part of the decision as long as the
  // model's limit allows; those on VMs that leave, and old versions while they
  // are replaced, come on top of it.
  int64_t out_of_use = 0;
  int64_t on_the_way_out = 0;
  for (const auto& [vm, entry] : slots_) {
    if (!Counts(entry))
      continue;
    const vm_view* host = context.site.FindVm(vm);
    const bool patient = entry.request == request_kind::promise &&
                         context.now - entry.first_asked_at < kPromisePatience;
    if (entry.promised && host != nullptr && host->leaving &&
        entry.state == replica_state::resident)
      ++on_the_way_out;
    else if (OldVersion(entry, context) && wanted.replicas > 0)
      ++on_the_way_out;
    else if (!Usable(vm, entry, context) && (entry.promised || !patient))
      ++out_of_use;
  }
  const int64_t limit = view->model.max_replicas;
  decided_ = std::min(limit, wanted.replicas + out_of_use) + on_the_way_out;
}

void model_decider::StopHopeless(const decider_context& context) {
  if (Count() < decided_)
    return;
  for (auto& [vm, entry] : slots_) {
    const bool loading = entry.state == replica_state::loading &&
                         entry.request != request_kind::unload;
    if (loading && Slow(vm, entry, context))
      Request(vm, entry, request_kind::unload, context);
  }
}

void model_decider::StartLoads(const target& wanted,
                               const decider_context& context) {
  int64_t have = 0;
  for (const auto& [vm, entry] : slots_) {
    const bool current = !OldVersion(entry, context);
    have += current && Usable(vm, entry, context) ? 1 : 0;
  }
  for (; have < wanted.replicas && Count() < decided_; ++have) {
    const std::optional<placement_choice> choice = Choose(context);
    if (!choice)
      return;
    if (!choice->victims.empty()) {
      AskEvictions(*choice, context);
      return;
    }
    slot& entry = slots_[choice->vm];
    entry.source = choice->source;
    Request(choice->vm, entry, request_kind::load, context);
  }
}

void model_decider::StopReplicas(const target& wanted,
                                 const decider_context& context) {
  int64_t current = 0;
  int64_t usable = 0;
  for (const auto& [vm, entry] : slots_) {
    const bool ready = Ready(vm, entry, context);
    usable += Usable(vm, entry, context) ? 1 : 0;
    current += ready && !OldVersion(entry, context) ? 1 : 0;
  }
  const bool surplus = usable > wanted.replicas;
  if (!surplus)
    surplus_since_.reset();
  else if (!surplus_since_)
    surplus_since_ = context.now;
  const bool surplus_expired =
      surplus && context.now - *surplus_since_ >= keep_ / kSurplusKeepDivisor;
  for (auto& [vm, entry] : slots_) {
    const bool resident = entry.promised &&
                          entry.request == request_kind::none &&
                          entry.state == replica_state::resident;
    const vm_view* host = context.site.FindVm(vm);
    if (!resident || host == nullptr || !host->reachable)
      continue;
    const bool quiet = host->status.load.running == 0;
    const bool replaced =
        OldVersion(entry, context) && current >= wanted.replicas;
    const bool leaving = host->leaving && quiet;
    const bool extra =
        surplus_expired && usable > wanted.replicas && usable > 1 && quiet;
    if (!wanted.idle && !replaced && !leaving && !extra)
      continue;
    Request(vm, entry, request_kind::unload, context);
    --usable;
  }
}

std::optional<model_decider::placement_choice> model_decider::Choose(
    const decider_context& context) const {
  std::optional<placement_choice> best;
  for (const auto& [vm, entry] : slots_) {
    const auto choice = Weigh(vm, entry, context);
    if (choice && (!best || choice->cost < best->cost))
      best = choice;
  }
  return best;
}

std::optional<model_decider::placement_choice> model_decider::Weigh(
    const vm_id& vm,
    const slot& entry,
    const decider_context& context) const {
  if (Counts(entry) || entry.request != request_kind::none)
    return std::nullopt;
  const model_view* view = context.site.FindModel(model_);
  const vm_view* host = context.site.FindVm(vm);
  if (view == nullptr || host == nullptr || !host->has_status)
    return std::nullopt;
  if (!host->reachable || host->leaving || host->gone)
    return std::nullopt;
  placement_choice choice;
  choice.vm = vm;
  choice.source = context.site.NearestSource(*view, *host);
  choice.cost = ToSeconds(site_view::LoadTime(view->model, choice.source));
  if (context.now < entry.avoid_until)
    choice.cost += ToSeconds(limits_.failed_load_backoff) +
                   ToSeconds(view->model.remote_load);
  bytes taken;
  for (const resident_model& listed : host->status.models) {
    const bytes size = context.site.ReplicaSize(listed.model);
    taken += size == bytes() ? listed.memory : size;
    for (const adapter_id& adapter : listed.adapters)
      taken += context.site.AdapterSize(listed.model, adapter);
  }
  const bytes needed = view->model.weights + view->model.cache_reserve;
  if (needed > host->endpoint.memory)
    return std::nullopt;
  for (const resident_model& listed : host->status.models) {
    if (taken + needed <= host->endpoint.memory)
      break;
    if (listed.state != resident_state::resident || listed.model == model_)
      continue;
    choice.victims.push_back(listed.model);
    choice.cost += kEvictionSeconds;
    taken -= context.site.ReplicaSize(listed.model);
  }
  if (taken + needed > host->endpoint.memory)
    return std::nullopt;
  const bool asked = context.now < entry.eviction_retry_at;
  if (!choice.victims.empty() && asked)
    choice.cost += kEvictionSeconds;
  // Spreads models over VMs that cost the same.
  const uint64_t hash = StableHash(model_.value() + "|" + vm.value());
  choice.cost += static_cast<double>(hash % 1000) * 1e-6;
  return choice;
}

void model_decider::AskEvictions(const placement_choice& choice,
                                 const decider_context& context) {
  slot& entry = slots_[choice.vm];
  if (context.now < entry.eviction_retry_at)
    return;
  entry.eviction_retry_at = context.now + kEvictionWait;
  for (const model_id& victim : choice.victims) {
    const instance_id decider = context.decider_of(victim);
    if (decider.empty())
      continue;
    eviction_request request{victim, choice.vm, model_, Urgency(context)};
    context.actions.push_back(
        send_placement_message{decider, std::move(request)});
  }
}

void model_decider::Request(const vm_id& vm,
                            slot& entry,
                            request_kind kind,
                            const decider_context& context) {
  entry.request = kind;
  entry.sequence = ++last_sequence_;
  entry.first_asked_at = context.now;
  entry.asked = instance_id();
  if (kind == request_kind::load) {
    entry.state = replica_state::loading;
    entry.loading_since.reset();
  }
  if (kind == request_kind::unload)
    entry.state = replica_state::leaving;
  SendRequest(vm, entry, context);
}

void model_decider::SendRequest(const vm_id& vm,
                                slot& entry,
                                const decider_context& context) {
  entry.asked_at = context.now;
  const instance_id owner = context.owner_of(vm);
  if (owner.empty())
    return;
  // An answer of the earlier owner must not pass for one of this owner.
  if (!entry.asked.empty() && entry.asked != owner)
    entry.sequence = ++last_sequence_;
  entry.asked = owner;
  placement_message message =
      promise_request{model_, number_, vm, entry.sequence};
  if (entry.request == request_kind::load) {
    const model_view* view = context.site.FindModel(model_);
    load_request load;
    load.model = model_;
    load.model_epoch = number_;
    load.vm = vm;
    load.sequence = entry.sequence;
    load.version = view == nullptr ? std::string() : view->model.version;
    load.source = entry.source;
    load.urgency = Urgency(context);
    load.decided = decided_;
    message = std::move(load);
  }
  if (entry.request == request_kind::unload)
    message = unload_request{model_, number_, vm, entry.sequence};
  context.actions.push_back(send_placement_message{owner, std::move(message)});
}

duration model_decider::Estimate(const decider_context& context) const {
  const model_view* view = context.site.FindModel(model_);
  if (view == nullptr)
    return kNoEstimate;
  std::optional<duration> best;
  for (const auto& [vm, entry] : slots_) {
    if (Ready(vm, entry, context))
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
  const auto choice = Choose(context);
  if (!choice)
    return kNoEstimate;
  return site_view::LoadTime(view->model, choice->source);
}

void model_decider::Notify(const decider_context& context) {
  model_notice notice;
  notice.model = model_;
  notice.model_epoch = number_;
  for (const auto& [vm, entry] : slots_) {
    if (Ready(vm, entry, context))
      notice.ready.push_back(context.site.FindVm(vm)->endpoint.id);
  }
  const bool ready_changed = !notice_ || notice_->ready != notice.ready;
  if (ready_changed)
    notified_.clear();
  for (const auto& [from, entry] : demands_) {
    if (notified_.contains(from))
      continue;
    if (notice.estimate == duration::zero())
      notice.estimate = Estimate(context);
    notified_[from] = context.now;
    context.actions.push_back(send_placement_message{from, notice});
  }
  notice_ = std::move(notice);
}

double model_decider::Urgency(const decider_context&) const {
  double urgency = 0;
  for (const auto& [from, entry] : demands_) {
    const double calls = static_cast<double>(entry.demand.waiting);
    urgency += calls * (1 + ToSeconds(entry.demand.oldest_wait));
  }
  return urgency;
}

}  // namespace jasminepath::decision
