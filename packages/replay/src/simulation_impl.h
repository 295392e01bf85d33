#ifndef JASMINEPATH_REPLAY_SIMULATION_IMPL_H_
#define JASMINEPATH_REPLAY_SIMULATION_IMPL_H_

#include "simulation.h"

namespace jasminepath::replay {

inline constexpr duration kMessageDelay = Milliseconds(1);
inline constexpr duration kEndpointDelay = std::chrono::microseconds(300);
// A real node polls each endpoint every 400 ms. The simulation omits polls that
// would return nothing new: it polls kPollDelayAfterOrder (half that interval)
// after an order, kChangeDelay after a change at the endpoint, and otherwise at
// kPollInterval.
inline constexpr duration kPollInterval = Seconds(5);
inline constexpr duration kPollDelayAfterOrder = Milliseconds(200);
// The time from a change at an endpoint to the status poll that shows it.
inline constexpr duration kChangeDelay = Milliseconds(50);
inline constexpr duration kDemandReportInterval = Milliseconds(20);
inline constexpr duration kDemandRefreshInterval = Seconds(1);
inline constexpr duration kSuspicionDelay = Seconds(3);
inline constexpr duration kVmListLag = Seconds(10);
inline constexpr duration kJoinDelay = Seconds(1);
inline constexpr duration kFixedTimeout = Seconds(300);
// The simulated time after the last request in which all requests can end.
inline constexpr duration kDrainTime = Seconds(700);
inline constexpr duration kForever = Seconds(1'000'000'000);
inline constexpr int64_t kWholeSharePpm = 1'000'000;
inline constexpr char kSecret[] = "replay-secret";
inline constexpr revision kFirstRevision = revision(1);

inline keep_warm_choice::policy MakeKeepWarm(placement_policy policy) {
  if (policy == placement_policy::fixed)
    return decision::fixed_timeout(kFixedTimeout);
  if (policy == placement_policy::break_even)
    return decision::break_even_timeout();
  return decision::adaptive_timeout();
}

template <typename EscrowPolicy>
simulation<EscrowPolicy>::node_state::node_state(const instance_id& self,
                                                 const zone_id& own_zone,
                                                 const replay_options& options,
                                                 uint64_t seed)
    : id(self),
      router(own_zone, random_engine(seed), decision::routing_limits()),
      calls(self,
            router,
            random_engine(seed + 1),
            decision::coordinator_limits()),
      placement(self,
                own_zone,
                random_engine(seed + 2),
                decision::placement_limits(),
                keep_warm_choice(MakeKeepWarm(options.policy))) {}

template <typename EscrowPolicy>
simulation<EscrowPolicy>::simulation(const trace& source,
                                     const replay_options& options)
    : source_(source),
      options_(options),
      model_store_(events_, source.site.store.full_speed_loads),
      adapter_store_(events_, source.site.store.full_speed_adapter_loads),
      metrics_(source, kReplayStart) {
  config::configuration site = source.site;
  site.version = kFirstRevision;
  configuration_ =
      std::make_shared<const config::configuration>(std::move(site));
  for (const config::team& team : source.site.teams)
    table_meters_.emplace(
        team.id, rate_meter(team.rate_per_second, team.burst, kReplayStart));
  for (const trace_request& request : source.requests)
    requests_[request.id] = &request;
  AddEndpoints();
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::AddEndpoints() {
  for (const config::service& service : configuration_->services) {
    for (const config::endpoint& endpoint : service.endpoints) {
      const endpoint_id id = endpoint.id;
      endpoint_listener listener;
      listener.on_change = [this, id] { OnEndpointChange(id); };
      listener.on_violation = [this](const std::string& rule,
                                     const std::string& detail) {
        metrics_.OnViolation(rule, detail, now());
      };
      listener.on_idle = [this](double accelerators, duration idle) {
        metrics_.OnIdle(accelerators, idle);
      };
      endpoints_[id] = std::make_unique<endpoint_model>(
          endpoint, service, events_,
          weight_stores{model_store_, adapter_store_}, std::move(listener));
    }
  }
  for (const cached_copy& copy : source_.cached) {
    const auto found = endpoints_.find(copy.endpoint);
    if (found != endpoints_.end())
      found->second->AddCachedCopy(copy.model);
  }
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::StartNode(int64_t index, int64_t run) {
  const instance_id id("node-" + std::to_string(index) + "-run-" +
                       std::to_string(run));
  std::vector<zone_id> zones;
  for (const auto& [endpoint, model] : endpoints_)
    zones.push_back(model->self().zone);
  const zone_id zone = zones[static_cast<std::size_t>(index) % zones.size()];
  auto node = std::make_shared<node_state>(
      id, zone, options_, options_.seed + StableHash(id.value()));
  node->index = index;
  nodes_[static_cast<std::size_t>(index - 1)] = node;
  instances_[id] = node;
  node->router.OnConfiguration(configuration_, now());
  UpdatePlacement(node, [&](auto& placement, auto& actions) {
    placement.OnConfiguration(configuration_, now(), actions);
  });
  UpdateCalls(node, [&](auto& calls, auto& actions) {
    calls.OnConfiguration(configuration_, now(), actions);
    const int64_t share = options_.admission == admission_policy::table_write
                              ? kWholeSharePpm
                              : kWholeSharePpm / source_.nodes;
    for (const config::team& team : configuration_->teams) {
      const config::team_key key{key_id(team.id.value()), team.id,
                                 Sha256Hex(kSecret), false};
      calls.OnKeyFact(key, kFirstRevision, now(), actions);
      calls.OnShare(team.id, share, now(), actions);
    }
    calls.OnReadiness(true, refusal_code::isolated, now(), actions);
  });
  PollAllEndpoints(node);
  ScheduleDemandReport(node, kDemandReportInterval);
  ScheduleTick(node);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::ScheduleTrace() {
  for (const trace_request& request : source_.requests)
    events_.At(kReplayStart + Milliseconds(request.at_ms),
               [this, &request] { HandleArrival(request); });
  for (const trace_fault& fault : source_.faults)
    events_.At(kReplayStart + Milliseconds(fault.at_ms),
               [this, &fault] { InjectFault(fault); });
}

template <typename EscrowPolicy>
replay_report simulation<EscrowPolicy>::Run() {
  nodes_.resize(static_cast<std::size_t>(source_.nodes));
  for (int64_t index = 1; index <= source_.nodes; ++index)
    StartNode(index, 1);
  NotifyVmList();
  NotifyPeers();
  ScheduleTrace();
  int64_t last_ms = 0;
  if (!source_.requests.empty())
    last_ms = source_.requests.back().at_ms;
  const time_point end = kReplayStart + Milliseconds(last_ms) + kDrainTime;
  while (events_.RunNext(end)) {
  }
  for (const auto& [id, endpoint] : endpoints_)
    endpoint->ReportOpenIdleTimes();
  replay_report report = metrics_.Finish(end);
  report.policy = ToString(options_.policy);
  report.admission = ToString(options_.admission);
  report.table_reads = table_.reads();
  report.table_writes = table_.writes();
  report.loads = load_count_;
  report.node_messages = message_count_;
  return report;
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Deliver(const node_pointer& node,
                                       node_handler handler) {
  if (!node->is_alive)
    return;
  if (now() < node->paused_until) {
    events_.At(node->paused_until, [this, node, handler = std::move(handler)] {
      Deliver(node, handler);
    });
    return;
  }
  handler();
  ScheduleTick(node);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::DeliverAfter(const node_pointer& node,
                                            duration wait,
                                            node_handler handler) {
  events_.After(wait, [this, node, handler = std::move(handler)] {
    Deliver(node, handler);
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::ScheduleTick(const node_pointer& node) {
  time_point next = node->placement.NextDeadline(now());
  if (const auto due = node->calls.NextDeadline())
    next = std::min(next, *due);
  // A deadline in the past is handled 1 ms later, so that virtual time
  // advances.
  next = std::max(next, now() + Milliseconds(1));
  if (next >= node->next_tick_at)
    return;
  node->next_tick_at = next;
  events_.At(next, [this, node, next] {
    if (node->next_tick_at != next)
      return;
    node->next_tick_at = time_point::max();
    Deliver(node, [this, node] {
      UpdatePlacement(node, [&](auto& placement, auto& actions) {
        placement.OnTick(now(), actions);
      });
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnTick(now(), actions);
      });
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::ScheduleDemandReport(const node_pointer& node,
                                                    duration wait) {
  if (node->is_demand_report_scheduled)
    return;
  node->is_demand_report_scheduled = true;
  DeliverAfter(node, wait, [this, node] { ReportDemand(node); });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::ReportDemand(const node_pointer& node) {
  node->is_demand_report_scheduled = false;
  const auto demand = node->calls.Demand(now());
  const auto needs = node->router.TakeAdapterNeeds();
  UpdatePlacement(node, [&](auto& placement, auto& actions) {
    placement.OnLocalDemand(demand, now(), actions);
    if (!needs.empty())
      placement.OnAdapterNeeds(needs, now(), actions);
  });
  if (node->calls.open_calls() > 0)
    ScheduleDemandReport(
        node, needs.empty() ? kDemandRefreshInterval : kDemandReportInterval);
}

template <typename EscrowPolicy>
int64_t simulation<EscrowPolicy>::MaxTokensOf(const trace_request& request) {
  return request.output_tokens + request.output_tokens / 2;
}

template <typename EscrowPolicy>
tokens simulation<EscrowPolicy>::SizeOf(const trace_request& request) const {
  if (!request.model.empty())
    return tokens(request.prompt_tokens + MaxTokensOf(request));
  const auto match =
      config::FindRoute(*configuration_, request.method, request.path);
  return match.matched ? match.matched->cost : tokens();
}

template <typename EscrowPolicy>
duration simulation<EscrowPolicy>::AllowedTime(
    const trace_request& request) const {
  duration allowed = Seconds(600);
  if (!request.model.empty()) {
    const auto* service =
        config::FindModelService(*configuration_, request.model);
    if (service != nullptr)
      allowed = service->deadline;
  } else {
    const auto match =
        config::FindRoute(*configuration_, request.method, request.path);
    if (match.matched != nullptr)
      allowed = match.matched->deadline;
  }
  if (request.deadline_ms > 0)
    allowed = std::min(allowed, Milliseconds(request.deadline_ms));
  return allowed;
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::HandleArrival(const trace_request& request) {
  bool is_cold = !request.model.empty();
  for (const auto& [id, endpoint] : endpoints_)
    is_cold = is_cold && !endpoint->IsReady(request.model);
  metrics_.OnArrival(request, is_cold, SizeOf(request), AllowedTime(request),
                     now());
  // The load balancer skips nodes that do not answer.
  for (int64_t step = 0; step < source_.nodes; ++step) {
    const auto index =
        static_cast<std::size_t>((request.node - 1 + step) % source_.nodes);
    const node_pointer node = nodes_[index];
    if (node->is_alive && node->paused_until <= now())
      return Admit(node, request);
  }
  metrics_.OnNodeLost(request.id);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Admit(const node_pointer& node,
                                     const trace_request& request) {
  node->open_requests.insert(request.id);
  if (options_.admission != admission_policy::table_write ||
      request.team.empty())
    return StartCall(node, request);
  table_.Write([this, node, &request] {
    Deliver(node, [this, node, &request] {
      const auto meter = table_meters_.find(request.team);
      const tokens size = SizeOf(request);
      refusal reason{refusal_code::platform_unavailable, run_state::not_run,
                     "the table does not answer", std::nullopt};
      if (!table_.IsDown()) {
        if (meter == table_meters_.end() ||
            meter->second.HasTokens(size, now())) {
          if (meter != table_meters_.end())
            meter->second.Take(size, now());
          return StartCall(node, request);
        }
        reason.code = refusal_code::rate_limited;
      }
      metrics_.OnRefused(request.id, reason, now());
      EndCall(node, request.id);
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::StartCall(const node_pointer& node,
                                         const trace_request& request) {
  decision::call_arrival arrival;
  arrival.id = request_id(request.id);
  if (!request.team.empty())
    arrival.presented_key = request.team.value() + "." + kSecret;
  const std::string body = request.body.empty() ? request.id : request.body;
  arrival.body_digest = Sha256Hex(body);
  if (!request.idempotency_key.empty())
    arrival.idempotency_key = request.idempotency_key;
  if (request.deadline_ms > 0)
    arrival.deadline = Milliseconds(request.deadline_ms);
  if (request.model.empty()) {
    arrival.target = decision::route_target{request.method, request.path};
  } else {
    decision::model_target target;
    target.model = request.model;
    target.adapter = request.adapter;
    target.prompt_tokens = tokens(request.prompt_tokens);
    target.max_tokens = tokens(MaxTokensOf(request));
    const bool affinity = options_.policy != placement_policy::least_loaded;
    if (request.prefix != 0 && affinity)
      target.prefix_hash = StableHash(request.model.value() + "/" +
                                      std::to_string(request.prefix));
    arrival.target = target;
    arrival.streamed = true;
  }
  UpdateCalls(node, [&](auto& calls, auto& actions) {
    calls.OnArrival(std::move(arrival), now(), actions);
  });
  ScheduleDemandReport(node, kDemandReportInterval);
  ScheduleTick(node);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::InjectFault(const trace_fault& fault) {
  const duration length = Milliseconds(fault.for_ms);
  switch (fault.kind) {
    case fault_kind::node_killed:
      return KillNode(std::stoll(fault.target), length);
    case fault_kind::node_paused:
      return PauseNode(std::stoll(fault.target), length);
    case fault_kind::vm_leaving:
      return MarkVmLeaving(fault.target, length);
    case fault_kind::vm_reclaimed:
      return ReclaimVm(fault.target, length);
    case fault_kind::endpoint_died: {
      const auto found = endpoints_.find(endpoint_id(fault.target));
      if (found != endpoints_.end())
        found->second->Restart(length, false);
      return;
    }
    case fault_kind::store_slow:
      model_store_.SetSlowdown(fault.amount);
      adapter_store_.SetSlowdown(fault.amount);
      return events_.After(length, [this] {
        model_store_.SetSlowdown(1);
        adapter_store_.SetSlowdown(1);
      });
    case fault_kind::platform_down:
      table_.SetDown(true);
      return events_.After(length, [this] { table_.SetDown(false); });
    case fault_kind::answers_lost:
      return table_.LoseAnswers(fault.amount);
    case fault_kind::poison:
      for (const auto& [id, endpoint] : endpoints_)
        endpoint->SetPoisonBody(fault.target);
      return;
  }
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::KillNode(int64_t index, duration downtime) {
  const node_pointer node = nodes_[static_cast<std::size_t>(index - 1)];
  if (!node->is_alive)
    return;
  node->is_alive = false;
  for (const std::string& id : node->open_requests)
    metrics_.OnNodeLost(id);
  node->open_requests.clear();
  events_.After(kSuspicionDelay, [this, node] {
    for (const node_pointer& other : nodes_)
      Deliver(other, [this, node, other] {
        UpdatePlacement(other, [&](auto& placement, auto& actions) {
          placement.OnInstanceSuspected(node->id, now(), actions);
        });
      });
    NotifyPeers();
  });
  const auto ended = [this, node] {
    for (const node_pointer& other : nodes_)
      Deliver(other, [this, node, other] {
        UpdatePlacement(other, [&](auto& placement, auto& actions) {
          placement.OnInstanceEnded(node->id, now(), actions);
        });
      });
  };
  events_.After(kVmListLag, ended);
  events_.After(downtime, [this, index, ended] {
    // A new run starts on the same VM. The earlier run has ended, and the new
    // run takes over its share.
    StartNode(index, static_cast<int64_t>(instances_.size()) + 1);
    NotifyVmList();
    events_.After(kJoinDelay, [this, ended] {
      NotifyPeers();
      ended();
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::PauseNode(int64_t index, duration length) {
  const node_pointer node = nodes_[static_cast<std::size_t>(index - 1)];
  if (!node->is_alive)
    return;
  node->paused_until = std::max(node->paused_until, now() + length);
  for (const std::string& id : node->open_requests)
    metrics_.OnNodePaused(id);
  if (length > kSuspicionDelay) {
    events_.After(kSuspicionDelay, [this, node] {
      for (const node_pointer& other : nodes_) {
        if (other == node)
          continue;
        Deliver(other, [this, node, other] {
          UpdatePlacement(other, [&](auto& placement, auto& actions) {
            placement.OnInstanceSuspected(node->id, now(), actions);
          });
        });
      }
      NotifyPeers();
    });
  }
  events_.After(length + kJoinDelay, [this] { NotifyPeers(); });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::ReclaimVm(const std::string& vm,
                                         duration downtime) {
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint->self().vm.value() == vm)
      endpoint->Restart(downtime, true);
  }
  reclaimed_vms_.insert(vm_id(vm));
  events_.After(kVmListLag, [this] { NotifyVmList(); });
  events_.After(downtime, [this, vm] {
    reclaimed_vms_.erase(vm_id(vm));
    events_.After(kVmListLag, [this] { NotifyVmList(); });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::MarkVmLeaving(const std::string& vm,
                                             duration notice) {
  leaving_vms_.insert(vm_id(vm));
  events_.After(Seconds(1), [this] { NotifyVmList(); });
  events_.After(notice, [this, vm] { ReclaimVm(vm, kForever); });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::NotifyPeers() {
  std::vector<instance_id> live;
  for (const node_pointer& node : nodes_) {
    if (node->is_alive && node->paused_until <= now())
      live.push_back(node->id);
  }
  for (const node_pointer& node : nodes_) {
    std::vector<instance_id> others = live;
    std::erase(others, node->id);
    Deliver(node, [this, node, live, others] {
      UpdatePlacement(node, [&](auto& placement, auto& actions) {
        placement.OnPeers(live, now(), actions);
      });
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnPeers(others, now(), actions);
      });
    });
  }
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::NotifyVmList() {
  std::set<vm_id> live;
  for (const auto& [id, endpoint] : endpoints_)
    live.insert(endpoint->self().vm);
  for (const vm_id& gone : reclaimed_vms_) {
    live.erase(gone);
    leaving_vms_.erase(gone);
  }
  for (const vm_id& vm : leaving_vms_)
    live.erase(vm);
  const std::vector<vm_id> live_list(live.begin(), live.end());
  const std::vector<vm_id> leaving(leaving_vms_.begin(), leaving_vms_.end());
  for (const node_pointer& node : nodes_) {
    Deliver(node, [this, node, live_list, leaving] {
      node->router.OnVmList(leaving, live_list, now());
      UpdatePlacement(node, [&](auto& placement, auto& actions) {
        placement.OnVmList(live_list, leaving, now(), actions);
      });
    });
  }
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::PollAllEndpoints(const node_pointer& node) {
  if (!node->is_alive)
    return;
  for (const auto& [id, endpoint] : endpoints_)
    PollEndpoint(node, *endpoint);
  events_.After(kPollInterval, [this, node] { PollAllEndpoints(node); });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::PollEndpoint(const node_pointer& node,
                                            endpoint_model& endpoint) {
  const endpoint_id id = endpoint.self().id;
  if (!endpoint.IsRunning()) {
    return DeliverAfter(node, kEndpointDelay, [this, node, id] {
      node->router.OnEndpointUnreachable(id, now());
      UpdatePlacement(node, [&](auto& placement, auto& actions) {
        placement.OnEndpointUnreachable(id, now(), actions);
      });
    });
  }
  decision::endpoint_status status = endpoint.Status();
  status.age = kEndpointDelay;
  DeliverAfter(node, kEndpointDelay, [this, node, status] {
    node->router.OnEndpointStatus(status, now());
    UpdatePlacement(node, [&](auto& placement, auto& actions) {
      placement.OnEndpointStatus(status, now(), actions);
    });
    NotifyRoutesChanged(node);
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::OnEndpointChange(const endpoint_id& id) {
  CheckReplicas(id);
  if (change_scheduled_[id])
    return;
  change_scheduled_[id] = true;
  events_.After(kChangeDelay, [this, id] {
    change_scheduled_[id] = false;
    for (const node_pointer& node : nodes_) {
      if (node->is_alive)
        PollEndpoint(node, *endpoints_.at(id));
    }
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::CheckReplicas(const endpoint_id& id) {
  for (const config::service& service : configuration_->services) {
    const bool is_owner = std::any_of(
        service.endpoints.begin(), service.endpoints.end(),
        [&](const config::endpoint& endpoint) { return endpoint.id == id; });
    if (!is_owner)
      continue;
    for (const config::model& model : service.models) {
      int64_t replicas = 0;
      for (const config::endpoint& endpoint : service.endpoints)
        replicas += endpoints_.at(endpoint.id)->ReplicasOf(model.id);
      if (replicas > model.max_replicas)
        metrics_.OnViolation("too_many_replicas", model.id.value(), now());
    }
  }
}

template <typename EscrowPolicy>
template <typename Event>
void simulation<EscrowPolicy>::UpdateCalls(const node_pointer& node,
                                           Event event) {
  typename calls_type::action_list actions;
  event(node->calls, actions);
  for (const decision::call_action& action : actions)
    std::visit([&](const auto& chosen) { Execute(node, chosen); }, action);
}

template <typename EscrowPolicy>
template <typename Event>
void simulation<EscrowPolicy>::UpdatePlacement(const node_pointer& node,
                                               Event event) {
  typename placement_type::action_list actions;
  event(node->placement, actions);
  for (const decision::placement_action& action : actions)
    std::visit([&](const auto& chosen) { Execute(node, chosen); }, action);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::NotifyRoutesChanged(const node_pointer& node) {
  if (node->calls.open_calls() == 0)
    return;
  UpdateCalls(node, [&](auto& calls, auto& actions) {
    calls.OnRoutesChanged(now(), actions);
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::EndCall(const node_pointer& node,
                                       const std::string& id) {
  node->open_requests.erase(id);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::refuse_call& action) {
  metrics_.OnRefused(action.id.value(), action.reason, now());
  EndCall(node, action.id.value());
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::cut_call& action) {
  metrics_.OnRefused(action.id.value(), action.reason, now());
  EndCall(node, action.id.value());
  events_.After(kEndpointDelay, [this, id = action.id.value()] {
    for (const auto& [name, endpoint] : endpoints_) {
      for (int64_t attempt = 1;
           attempt <= decision::coordinator_limits().max_attempts; ++attempt)
        endpoint->Cancel(id + "/" + std::to_string(attempt));
    }
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::finish_call& action) {
  const trace_request& request = *requests_.at(action.id.value());
  const tokens used =
      request.model.empty()
          ? SizeOf(request)
          : tokens(request.prompt_tokens + request.output_tokens);
  metrics_.OnServed(action.id.value(), used, now());
  const auto meter = table_meters_.find(request.team);
  if (meter != table_meters_.end())
    meter->second.Refund(SizeOf(request) - used, now());
  EndCall(node, action.id.value());
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::replay_answer& action) {
  if (!answers_.contains(action.object_name))
    metrics_.OnViolation("recorded_answer_missing", action.id.value(), now());
  metrics_.OnServed(action.id.value(), tokens(), now());
  EndCall(node, action.id.value());
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::dispatch_call& action) {
  const trace_request& request = *requests_.at(action.id.value());
  const request_id id = action.id;
  const int64_t attempt = action.attempt;
  endpoint_run run;
  run.attempt = id.value() + "/" + std::to_string(attempt);
  run.model = request.model;
  run.adapter = request.adapter;
  run.prefix = request.prefix;
  run.prompt_tokens = request.prompt_tokens;
  run.output_tokens = request.output_tokens;
  run.body = request.body;
  run.on_first_byte = [this, node, id, attempt] {
    DeliverAfter(node, kEndpointDelay, [this, node, id, attempt] {
      metrics_.OnFirstByte(id.value(), now());
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnFirstByte(id, attempt, now(), actions);
      });
    });
  };
  run.on_end = [this, node, id,
                attempt](const decision::attempt_report& report) {
    DeliverAfter(node, kEndpointDelay, [this, node, id, attempt, report] {
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnAttemptEnd(id, attempt, report, now(), actions);
      });
      ScheduleDemandReport(node, kDemandReportInterval);
    });
  };
  events_.After(kEndpointDelay, [this, run, id, endpoint = action.endpoint] {
    endpoint_model& target = *endpoints_.at(endpoint);
    const bool can_run =
        target.IsRunning() && (run.model.empty() || target.IsReady(run.model));
    if (can_run)
      metrics_.OnExecution(id.value(), now());
    target.Run(run);
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::commit_claim& action) {
  const std::string key = action.key.team.value() + "/" + action.key.key_digest;
  using result = typename decltype(claims_)::write_result;
  claims_.Write(key, action.expected, action.record,
                [this, node, id = action.id](const result& written) {
                  decision::claim_write_outcome outcome;
                  outcome.version = written.version;
                  outcome.status = decision::write_status::lost;
                  if (written.end == table_write_status::committed)
                    outcome.status = decision::write_status::committed;
                  if (written.end == table_write_status::conflict)
                    outcome.status = decision::write_status::conflict;
                  if (written.end == table_write_status::unreachable)
                    outcome.status = decision::write_status::unreachable;
                  if (written.stored)
                    outcome.stored = decision::stored_claim{
                        written.stored->version, written.stored->record};
                  Deliver(node, [this, node, id, outcome] {
                    UpdateCalls(node, [&](auto& calls, auto& actions) {
                      calls.OnClaimOutcome(id, outcome, now(), actions);
                    });
                  });
                });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::read_claim& action) {
  const std::string key = action.key.team.value() + "/" + action.key.key_digest;
  using row = typename decltype(claims_)::row;
  claims_.Read(key, [this, node, id = action.id](
                        bool answered, const std::optional<row>& stored) {
    decision::claim_read_outcome outcome;
    outcome.answered = answered;
    if (stored)
      outcome.stored = decision::stored_claim{stored->version, stored->record};
    Deliver(node, [this, node, id, outcome] {
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnClaimRead(id, outcome, now(), actions);
      });
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::record_answer& action) {
  table_.Write([this, node, action] {
    const bool stored = !table_.IsDown();
    if (stored)
      answers_.insert(action.object_name);
    Deliver(node, [this, node, action, stored] {
      const auto status = stored ? decision::record_status::stored
                                 : decision::record_status::failed;
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnAnswerRecorded(action.id, status, now(), actions);
      });
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(
    const node_pointer& node,
    const decision::send_admission_message& action) {
  ++message_count_;
  const auto to = instances_.find(action.to);
  if (to == instances_.end())
    return;
  DeliverAfter(
      to->second, kMessageDelay,
      [this, from = node->id, target = to->second, message = action.message] {
        UpdateCalls(target, [&](auto& calls, auto& actions) {
          calls.OnAdmissionMessage(from, message, now(), actions);
        });
      });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::BroadcastQuarantine(
    const decision::quarantine_record& record,
    revision version) {
  for (const node_pointer& node : nodes_)
    DeliverAfter(node, kMessageDelay, [this, node, record, version] {
      UpdateCalls(node, [&](auto& calls, auto& actions) {
        calls.OnQuarantineFact(record, version, now(), actions);
      });
    });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(
    const node_pointer& node,
    const decision::publish_quarantine& action) {
  using result = typename decltype(quarantine_)::write_result;
  using status = decision::quarantine_write_outcome::status;
  std::optional<decision::quarantine_record> record = action.record;
  if (action.record.state == decision::quarantine_state::cleared)
    record.reset();
  quarantine_.Write(action.record.fingerprint.value(), action.expected, record,
                    [this, node, sent = action.record](const result& written) {
                      decision::quarantine_write_outcome outcome;
                      outcome.version = written.version;
                      if (written.end == table_write_status::committed) {
                        outcome.result = status::committed;
                        BroadcastQuarantine(sent, written.version);
                      }
                      if (written.end == table_write_status::conflict)
                        outcome.result = status::conflict;
                      if (written.end == table_write_status::unreachable)
                        outcome.result = status::unreachable;
                      if (written.stored) {
                        outcome.version = written.stored->version;
                        outcome.stored = written.stored->record;
                      }
                      Deliver(node, [this, node, sent, outcome] {
                        UpdateCalls(node, [&](auto& calls, auto& actions) {
                          calls.OnQuarantineOutcome(sent.fingerprint, outcome,
                                                    now(), actions);
                        });
                      });
                    });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(
    const node_pointer& node,
    const decision::commit_authority& action) {
  using result = typename decltype(authorities_)::write_result;
  const decision::authority_write write = action.write;
  authorities_.Write(
      write.key, write.expected, write.record,
      [this, node, write](const result& written) {
        decision::authority_outcome outcome;
        outcome.row.key = write.key;
        if (written.end == table_write_status::committed) {
          outcome.end = decision::commit_end::committed;
          outcome.row = {write.key, write.record, written.version};
        }
        if (written.end == table_write_status::unreachable)
          outcome.end = decision::commit_end::not_sent;
        if (written.end == table_write_status::conflict) {
          outcome.end = decision::commit_end::conflict;
          if (written.stored)
            outcome.row = {write.key, written.stored->record,
                           written.stored->version};
        }
        Deliver(node, [this, node, outcome] {
          UpdatePlacement(node, [&](auto& placement, auto& actions) {
            placement.OnAuthorityCommit(outcome, now(), actions);
          });
        });
      });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::read_authority& action) {
  using row = typename decltype(authorities_)::row;
  authorities_.Read(
      action.key, [this, node, key = action.key](
                      bool answered, const std::optional<row>& stored) {
        decision::authority_row found;
        found.key = key;
        if (stored)
          found = {key, stored->record, stored->version};
        Deliver(node, [this, node, answered, found] {
          UpdatePlacement(node, [&](auto& placement, auto& actions) {
            if (answered)
              placement.OnAuthorityRow(found, now(), actions);
            else
              placement.OnAuthorityReadFailed(found.key, now(), actions);
          });
        });
      });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(
    const node_pointer& node,
    const decision::send_placement_message& action) {
  ++message_count_;
  const auto to = instances_.find(action.to);
  if (to == instances_.end())
    return;
  DeliverAfter(
      to->second, kMessageDelay,
      [this, from = node->id, target = to->second, message = action.message] {
        UpdatePlacement(target, [&](auto& placement, auto& actions) {
          placement.OnPlacementMessage(from, message, now(), actions);
        });
      });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::send_order& action) {
  events_.After(kEndpointDelay, [this, node, action] {
    decision::order_outcome outcome{action.order.id,
                                    decision::order_end::failed};
    if (now() <= action.expires) {
      outcome.end = endpoints_.at(action.endpoint)->HandleOrder(action.order);
      if (action.order.kind == decision::order_kind::load_model &&
          outcome.end == decision::order_end::accepted)
        ++load_count_;
    }
    DeliverAfter(node, kEndpointDelay, [this, node, outcome] {
      UpdatePlacement(node, [&](auto& placement, auto& actions) {
        placement.OnOrderOutcome(outcome, now(), actions);
      });
    });
    events_.After(kPollDelayAfterOrder, [this, node, id = action.endpoint] {
      PollEndpoint(node, *endpoints_.at(id));
    });
  });
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::load_estimate& action) {
  node->router.OnLoadEstimate(action.model, action.estimate, now());
  NotifyRoutesChanged(node);
}

template <typename EscrowPolicy>
void simulation<EscrowPolicy>::Execute(const node_pointer& node,
                                       const decision::replica_ready& action) {
  node->router.OnReplicaReady(action.model, action.endpoint, now());
  NotifyRoutesChanged(node);
}

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_SIMULATION_IMPL_H_
