#include "placement/placement_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace jasminepath::decision {

namespace {

constexpr int64_t kReplicaBytes = 100;
constexpr duration kPollInterval = Milliseconds(500);
constexpr duration kTickInterval = Milliseconds(100);
constexpr duration kMembershipInterval = Milliseconds(250);
constexpr duration kSuspectDelay = Seconds(1);
constexpr duration kEndedDelay = Seconds(2);
constexpr duration kRestartDelay = Seconds(3);
constexpr duration kKeepWarm = Seconds(20);

model_id ModelName(int model) {
  return model_id("m" + std::to_string(model));
}

vm_id VmName(int vm) {
  return vm_id("vm" + std::to_string(vm));
}

std::shared_ptr<config::configuration> MakeConfiguration(
    const world_options& options) {
  auto made = std::make_shared<config::configuration>();
  config::service service;
  service.id = service_id("assistant");
  service.kind = config::service_kind::model;
  service.endpoint_concurrency = 4;
  for (int i = 0; i < options.vms; ++i) {
    config::endpoint endpoint;
    endpoint.id = endpoint_id("e" + std::to_string(i));
    endpoint.vm = VmName(i);
    endpoint.address = "10.0.0." + std::to_string(i) + ":80";
    endpoint.memory = bytes(kReplicaBytes * options.replicas_per_vm + 10);
    endpoint.accelerators = 1;
    const int every = options.ignore_fencing_every;
    endpoint.honours_fencing = every == 0 || (i % every) != every - 1;
    service.endpoints.push_back(endpoint);
  }
  for (int i = 0; i < options.models; ++i) {
    config::model model;
    model.id = ModelName(i);
    model.version = "1";
    model.weights = bytes(kReplicaBytes - 20);
    model.cache_reserve = bytes(20);
    model.remote_load = Seconds(4);
    model.disk_load = Seconds(2);
    model.memory_load = Seconds(1);
    model.max_replicas = options.max_replicas;
    service.models.push_back(model);
  }
  made->services.push_back(service);
  made->version = revision(1);
  return made;
}

}  // namespace

placement_world::placement_world(const world_options& options)
    : options_(options),
      random_(options.seed),
      configuration_(MakeConfiguration(options)) {
  now_ += Seconds(1000);
  for (const config::endpoint& endpoint :
       configuration_->services.front().endpoints) {
    engine added;
    added.endpoint = endpoint;
    engines_.push_back(added);
  }
  nodes_.resize(static_cast<std::size_t>(options.nodes));
  for (int i = 0; i < options.nodes; ++i)
    StartNode(i);
  Schedule(now_, [this] { UpdateMembership(); });
}

void placement_world::RunFor(duration length) {
  const time_point end = now_ + length;
  while (!events_.empty() && events_.top().at <= end && violation_.empty()) {
    event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.run();
  }
  now_ = end;
}

void placement_world::AddDemand(int index, int model, int64_t waiting) {
  node& target = nodes_[static_cast<std::size_t>(index)];
  target.waiting[model] += waiting;
  target.arrivals[model] += waiting;
}

bool placement_world::IsAllServed() const {
  return UnservedCalls().empty();
}

std::string placement_world::UnservedCalls() const {
  std::string text;
  for (const node& entry : nodes_) {
    for (const auto& [model, waiting] : entry.waiting) {
      if (waiting > 0)
        text += entry.id.value() + " waits for m" + std::to_string(model) + " ";
    }
  }
  return text;
}

void placement_world::KillNode(int index) {
  node& entry = nodes_[static_cast<std::size_t>(index)];
  if (!entry.is_alive)
    return;
  entry.is_alive = false;
  entry.died_at = now_;
  const instance_id id = entry.id;
  Schedule(now_ + kEndedDelay, [this, id] { ended_.push_back(id); });
  Schedule(now_ + kRestartDelay, [this, index] {
    if (!nodes_[static_cast<std::size_t>(index)].is_alive)
      StartNode(index);
  });
}

void placement_world::PauseNode(int index, duration length) {
  node& entry = nodes_[static_cast<std::size_t>(index)];
  entry.paused_until = std::max(entry.paused_until, now_ + length);
  const instance_id id = entry.id;
  Schedule(entry.paused_until, [this, index, id] {
    node& resumed = nodes_[static_cast<std::size_t>(index)];
    if (resumed.id != id || IsPaused(resumed))
      return;
    const auto deferred = std::exchange(resumed.deferred, {});
    for (const auto& run : deferred)
      run();
  });
}

void placement_world::DrainNode(int index) {
  const instance_id id = nodes_[static_cast<std::size_t>(index)].id;
  RunAtNode(index, id, [this, index](node& entry) {
    std::vector<placement_action> actions;
    entry.core->OnDrain(now_, actions);
    PerformAll(index, std::move(actions));
  });
  Schedule(now_ + Seconds(5), [this, index, id] {
    if (nodes_[static_cast<std::size_t>(index)].id == id)
      KillNode(index);
  });
}

void placement_world::KillEngine(int vm) {
  engine& entry = engines_[static_cast<std::size_t>(vm)];
  if (!entry.is_alive)
    return;
  entry.is_alive = false;
  entry.replicas.clear();
  Schedule(now_ + kRestartDelay, [this, vm] {
    engine& restarted = engines_[static_cast<std::size_t>(vm)];
    if (!restarted.is_listed)
      return;
    restarted.is_alive = true;
    ++restarted.incarnation;
    restarted.fence = epoch();
  });
}

void placement_world::AnnounceVmLeaving(int vm) {
  engines_[static_cast<std::size_t>(vm)].is_leaving = true;
}

void placement_world::ReclaimVm(int vm) {
  engine& entry = engines_[static_cast<std::size_t>(vm)];
  entry.is_alive = false;
  entry.is_listed = false;
  entry.replicas.clear();
}

void placement_world::StartTableOutage(duration length) {
  table_down_until_ = std::max(table_down_until_, now_ + length);
}

void placement_world::SlowLoads(int vm, duration length) {
  engine& entry = engines_[static_cast<std::size_t>(vm)];
  entry.slow_until = std::max(entry.slow_until, now_ + length);
}

void placement_world::AddStrayReplica(int vm, int model) {
  engine_replica replica;
  replica.state = resident_state::resident;
  replica.version = "1";
  engines_[static_cast<std::size_t>(vm)].replicas[ModelName(model)] = replica;
}

void placement_world::DisableFaults() {
  faults_disabled_ = true;
  table_down_until_ = now_;
  for (engine& entry : engines_)
    entry.slow_until = now_;
}

int64_t placement_world::ResidentCount(int model) const {
  return std::count_if(engines_.begin(), engines_.end(),
                       [model](const engine& entry) {
                         return entry.replicas.contains(ModelName(model));
                       });
}

placement_status placement_world::Status(int index) const {
  return nodes_[static_cast<std::size_t>(index)].core->Status(now_);
}

void placement_world::Schedule(time_point when, std::function<void()> run) {
  events_.push({when, ++last_event_, std::move(run)});
}

bool placement_world::ShouldInject(int per_mille) {
  if (faults_disabled_)
    return false;
  return static_cast<int>(random_() % 1000) < per_mille;
}

duration placement_world::RandomDuration(int64_t low_ms, int64_t high_ms) {
  const auto span = static_cast<uint64_t>(high_ms - low_ms + 1);
  return Milliseconds(low_ms + static_cast<int64_t>(random_() % span));
}

duration placement_world::NetworkDelay() {
  return ShouldInject(options_.message_late_per_mille)
             ? RandomDuration(100, 4000)
             : RandomDuration(1, 10);
}

void placement_world::StartNode(int index) {
  node fresh;
  fresh.id = instance_id("n" + std::to_string(index) + "." +
                         std::to_string(++last_instance_));
  fresh.core = std::make_unique<coordinator>(
      fresh.id, zone_id("z"), random_engine(random_()), placement_limits(),
      fixed_timeout(kKeepWarm));
  // The callers of the old instance reconnect to the new one.
  node& place = nodes_[static_cast<std::size_t>(index)];
  fresh.waiting = place.waiting;
  fresh.arrivals = place.waiting;
  place = std::move(fresh);
  const instance_id id = place.id;
  NotifyNode(index);
  RunAtNode(index, id, [this, index](node& entry) {
    std::vector<placement_action> actions;
    entry.core->OnConfiguration(configuration_, now_, actions);
    PerformAll(index, std::move(actions));
  });
  Schedule(now_ + RandomDuration(0, 100),
           [this, index, id] { Tick(index, id); });
  for (int vm = 0; vm < options_.vms; ++vm)
    Schedule(now_ + RandomDuration(0, 500),
             [this, index, id, vm] { Poll(index, id, vm); });
}

void placement_world::RunAtNode(int index,
                                const instance_id& id,
                                std::function<void(node&)> run) {
  node& entry = nodes_[static_cast<std::size_t>(index)];
  if (entry.id != id || !entry.is_alive)
    return;
  if (IsPaused(entry)) {
    entry.deferred.push_back(
        [this, index, id, run = std::move(run)] { RunAtNode(index, id, run); });
    return;
  }
  run(entry);
}

void placement_world::Tick(int index, const instance_id& id) {
  node& entry = nodes_[static_cast<std::size_t>(index)];
  if (entry.id != id || !entry.is_alive)
    return;
  time_point next = now_ + kTickInterval;
  if (!IsPaused(entry)) {
    std::vector<placement_action> actions;
    entry.core->OnLocalDemand(NodeDemand(entry), now_, actions);
    entry.core->OnTick(now_, actions);
    PerformAll(index, std::move(actions));
    next = std::min(entry.core->NextDeadline(now_), now_ + kPollInterval);
  }
  Schedule(next, [this, index, id] { Tick(index, id); });
}

void placement_world::Poll(int index, const instance_id& id, int vm) {
  const node& entry = nodes_[static_cast<std::size_t>(index)];
  if (entry.id != id || !entry.is_alive)
    return;
  Schedule(now_ + kPollInterval,
           [this, index, id, vm] { Poll(index, id, vm); });
  if (IsPaused(entry))
    return;
  const time_point sent = now_;
  Schedule(now_ + NetworkDelay(), [this, index, id, vm, sent] {
    AdvanceEngine(vm);
    const engine& target = engines_[static_cast<std::size_t>(vm)];
    const bool answered = target.is_alive;
    const endpoint_status status = EngineStatus(vm);
    Schedule(now_ + NetworkDelay(), [this, index, id, status, answered, sent] {
      RunAtNode(index, id, [this, index, status, answered, sent](node& poller) {
        std::vector<placement_action> actions;
        endpoint_status aged = status;
        aged.age = now_ - sent;
        if (answered)
          poller.core->OnEndpointStatus(aged, now_, actions);
        else
          poller.core->OnEndpointUnreachable(aged.endpoint, now_, actions);
        PerformAll(index, std::move(actions));
      });
    });
  });
}

void placement_world::UpdateMembership() {
  ServeDemand();
  for (int i = 0; i < options_.nodes; ++i)
    NotifyNode(i);
  Schedule(now_ + kMembershipInterval, [this] { UpdateMembership(); });
}

void placement_world::NotifyNode(int index) {
  const node& target = nodes_[static_cast<std::size_t>(index)];
  std::vector<instance_id> live;
  std::vector<instance_id> suspected;
  for (const node& entry : nodes_) {
    const bool dead = !entry.is_alive && now_ - entry.died_at > kSuspectDelay;
    const bool paused = IsPaused(entry);
    if (dead || paused)
      suspected.push_back(entry.id);
    else if (entry.is_alive)
      live.push_back(entry.id);
  }
  std::vector<vm_id> listed;
  std::vector<vm_id> leaving;
  for (const engine& entry : engines_) {
    if (entry.is_listed)
      (entry.is_leaving ? leaving : listed).push_back(entry.endpoint.vm);
  }
  RunAtNode(index, target.id,
            [this, index, live, suspected, listed, leaving,
             ended = ended_](node& entry) {
              std::vector<placement_action> actions;
              entry.core->OnPeers(live, now_, actions);
              for (const instance_id& id : suspected)
                entry.core->OnInstanceSuspected(id, now_, actions);
              for (const instance_id& id : ended)
                entry.core->OnInstanceEnded(id, now_, actions);
              entry.core->OnVmList(listed, leaving, now_, actions);
              PerformAll(index, std::move(actions));
            });
}

void placement_world::PerformAll(int index,
                                 std::vector<placement_action> actions) {
  for (const placement_action& action : actions)
    std::visit([this, index](const auto& typed) { Perform(index, typed); },
               action);
}

void placement_world::Perform(int index, const commit_authority& action) {
  const instance_id id = nodes_[static_cast<std::size_t>(index)].id;
  ++table_writes_;
  Schedule(now_ + NetworkDelay(), [this, index, id, write = action.write] {
    authority_outcome outcome;
    outcome.row.key = write.key;
    const bool down = now_ < table_down_until_;
    const bool request_lost =
        ShouldInject(options_.table_answer_lost_per_mille / 2);
    if (down) {
      outcome.end = commit_end::not_sent;
    } else if (!request_lost) {
      authority_row& row = table_[write.key];
      row.key = write.key;
      outcome.end = commit_end::conflict;
      if (row.version == write.expected) {
        if (row.record && write.record.number < row.record->number)
          RecordViolation("epoch of " + write.key.id + " decreased");
        row.record = write.record;
        row.version = revision(++table_version_);
        outcome.end = commit_end::committed;
      }
      outcome.row = row;
    }
    if (request_lost || ShouldInject(options_.table_answer_lost_per_mille)) {
      outcome = authority_outcome();
      outcome.row.key = write.key;
      outcome.end = commit_end::unknown;
    }
    Schedule(now_ + NetworkDelay(), [this, index, id, outcome] {
      RunAtNode(index, id, [this, index, outcome](node& entry) {
        std::vector<placement_action> actions;
        entry.core->OnAuthorityCommit(outcome, now_, actions);
        PerformAll(index, std::move(actions));
      });
    });
  });
}

void placement_world::Perform(int index, const read_authority& action) {
  const instance_id id = nodes_[static_cast<std::size_t>(index)].id;
  ++table_reads_;
  Schedule(now_ + NetworkDelay(), [this, index, id, key = action.key] {
    const bool failed = now_ < table_down_until_ ||
                        ShouldInject(options_.table_answer_lost_per_mille);
    authority_row row = table_[key];
    row.key = key;
    Schedule(now_ + NetworkDelay(), [this, index, id, row, failed] {
      RunAtNode(index, id, [this, index, row, failed](node& entry) {
        std::vector<placement_action> actions;
        if (failed)
          entry.core->OnAuthorityReadFailed(row.key, now_, actions);
        else
          entry.core->OnAuthorityRow(row, now_, actions);
        PerformAll(index, std::move(actions));
      });
    });
  });
}

void placement_world::Perform(int index, const send_placement_message& action) {
  const instance_id from = nodes_[static_cast<std::size_t>(index)].id;
  const int copies =
      ShouldInject(options_.message_duplicated_per_mille) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (ShouldInject(options_.message_lost_per_mille))
      continue;
    Schedule(now_ + NetworkDelay(), [this, from, to = action.to,
                                     message = action.message] {
      const int target = FindNode(to);
      if (target < 0)
        return;
      RunAtNode(target, to, [this, target, from, message](node& entry) {
        std::vector<placement_action> actions;
        entry.core->OnPlacementMessage(from, message, now_, actions);
        PerformAll(target, std::move(actions));
      });
    });
  }
}

void placement_world::Perform(int index, const send_order& action) {
  const instance_id id = nodes_[static_cast<std::size_t>(index)].id;
  int vm = 0;
  while (engines_[static_cast<std::size_t>(vm)].endpoint.id != action.endpoint)
    ++vm;
  const auto answer = [this, index, id, order = action.order.id](
                          order_end end, duration delay) {
    Schedule(now_ + delay, [this, index, id, order, end] {
      RunAtNode(index, id, [this, index, order, end](node& entry) {
        std::vector<placement_action> actions;
        entry.core->OnOrderOutcome({order, end}, now_, actions);
        PerformAll(index, std::move(actions));
      });
    });
  };
  if (ShouldInject(options_.order_lost_per_mille)) {
    // The sender stops waiting for the answer; the order arrives late or never.
    answer(order_end::unknown, RandomDuration(100, 2000));
    if (ShouldInject(500))
      Schedule(
          now_ + RandomDuration(1, 11000),
          [this, vm, order = action.order, incarnation = action.incarnation] {
            Execute(vm, order, incarnation);
          });
    return;
  }
  Schedule(now_ + NetworkDelay(), [this, vm, order = action.order,
                                   incarnation = action.incarnation, answer] {
    const engine& target = engines_[static_cast<std::size_t>(vm)];
    if (!target.is_alive) {
      answer(order_end::failed, NetworkDelay());
      return;
    }
    const order_end end = Execute(vm, order, incarnation);
    const bool lost = ShouldInject(options_.order_lost_per_mille);
    answer(lost ? order_end::unknown : end, NetworkDelay());
  });
}

order_end placement_world::Execute(int vm,
                                   const endpoint_order& order,
                                   const std::string& incarnation) {
  engine& target = engines_[static_cast<std::size_t>(vm)];
  if (!target.is_alive)
    return order_end::failed;
  if (!incarnation.empty() && incarnation != std::to_string(target.incarnation))
    return order_end::failed;
  AdvanceEngine(vm);
  if (target.endpoint.honours_fencing) {
    if (order.number < target.fence)
      return order_end::stale_epoch;
    target.fence = order.number;
  } else if (order.number < target.highest_seen) {
    RecordViolation("order with epoch " + std::to_string(order.number.count()) +
                    " after " + std::to_string(target.highest_seen.count()) +
                    " at " + target.endpoint.vm.value());
  }
  target.highest_seen = std::max(target.highest_seen, order.number);
  if (order.kind == order_kind::unload_model) {
    const auto found = target.replicas.find(order.model);
    if (found == target.replicas.end())
      return order_end::accepted;
    found->second.state = resident_state::unloading;
    found->second.changes_at = now_ + RandomDuration(10, 300);
  }
  if (order.kind != order_kind::load_model)
    return order_end::accepted;
  if (target.replicas.contains(order.model))
    return order_end::accepted;
  ++load_orders_;
  engine_replica replica;
  replica.version = order.version;
  replica.changes_at = now_ + RandomDuration(1000, 4000);
  if (now_ < target.slow_until)
    replica.changes_at = now_ + Seconds(60);
  replica.will_fail = ShouldInject(options_.load_failure_per_mille);
  target.replicas[order.model] = replica;
  CheckLoad(vm, order.model);
  return order_end::accepted;
}

void placement_world::AdvanceEngine(int vm) {
  engine& target = engines_[static_cast<std::size_t>(vm)];
  for (auto it = target.replicas.begin(); it != target.replicas.end();) {
    engine_replica& replica = it->second;
    const bool due = replica.changes_at <= now_;
    const bool ends =
        replica.state == resident_state::unloading ||
        (replica.state == resident_state::loading && replica.will_fail);
    if (due && ends) {
      it = target.replicas.erase(it);
      continue;
    }
    if (due)
      replica.state = resident_state::resident;
    ++it;
  }
}

void placement_world::CheckLoad(int vm, const model_id& model) {
  for (int i = 0; i < options_.vms; ++i)
    AdvanceEngine(i);
  int64_t replicas = 0;
  for (const engine& entry : engines_) {
    const bool counted = entry.is_alive && !entry.is_leaving;
    replicas += counted && entry.replicas.contains(model) ? 1 : 0;
  }
  const engine& target = engines_[static_cast<std::size_t>(vm)];
  if (replicas > options_.max_replicas)
    RecordViolation(std::to_string(replicas) + " replicas of " + model.value());
  const auto used =
      static_cast<int64_t>(target.replicas.size()) * kReplicaBytes;
  if (used > target.endpoint.memory.count())
    RecordViolation("memory of " + target.endpoint.vm.value() +
                    " overcommitted");
}

void placement_world::RecordViolation(const std::string& text) {
  if (violation_.empty())
    violation_ =
        text + " at " + std::to_string(ToMilliseconds(now_.time_since_epoch()));
}

void placement_world::ServeDemand() {
  for (int vm = 0; vm < options_.vms; ++vm)
    AdvanceEngine(vm);
  for (node& entry : nodes_) {
    for (auto& [model, waiting] : entry.waiting) {
      const bool served = std::any_of(
          engines_.begin(), engines_.end(),
          [model = model](const engine& candidate) {
            const auto found = candidate.replicas.find(ModelName(model));
            return candidate.is_alive && !candidate.is_leaving &&
                   found != candidate.replicas.end() &&
                   found->second.state == resident_state::resident;
          });
      if (served)
        waiting = 0;
    }
  }
}

endpoint_status placement_world::EngineStatus(int vm) const {
  const engine& target = engines_[static_cast<std::size_t>(vm)];
  endpoint_status status;
  status.endpoint = target.endpoint.id;
  status.incarnation = std::to_string(target.incarnation);
  status.fence = target.fence;
  for (const auto& [model, replica] : target.replicas) {
    resident_model listed;
    listed.model = model;
    listed.version = replica.version;
    listed.state = replica.state;
    status.models.push_back(listed);
  }
  return status;
}

std::vector<model_demand> placement_world::NodeDemand(
    const node& source) const {
  std::vector<model_demand> demands;
  for (const auto& [model, waiting] : source.waiting) {
    if (waiting == 0)
      continue;
    model_demand demand;
    demand.model = ModelName(model);
    demand.waiting = waiting;
    demand.arrivals = source.arrivals.at(model);
    demands.push_back(demand);
  }
  return demands;
}

int placement_world::FindNode(const instance_id& id) const {
  for (int i = 0; i < options_.nodes; ++i) {
    if (nodes_[static_cast<std::size_t>(i)].id == id)
      return i;
  }
  return -1;
}

}  // namespace jasminepath::decision
