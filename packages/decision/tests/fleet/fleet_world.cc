#include "fleet/fleet_world.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace jasminepath::decision {
namespace {

// The VM list shows each change of a VM with a delay of up to kListLag. A VM
// that was added stays on the list for at least kMinListedTime.
constexpr duration kListLag = Seconds(8);
constexpr duration kMinListedTime = Seconds(10);

team_id TeamAt(int number) {
  return team_id("team-" + std::to_string(number));
}

}  // namespace

fleet_world::fleet_world(uint64_t seed, int vm_count, int team_count)
    : random_(seed) {
  machines_.resize(static_cast<std::size_t>(vm_count));
  for (int i = 0; i < vm_count; ++i) {
    machines_[static_cast<std::size_t>(i)].number = i;
    const int number = i;
    ScheduleAfter(DrawDelay(0, ToMilliseconds(kListLag)),
                  [this, number] { ListVm(number); });
  }
  auto configuration = std::make_shared<config::configuration>();
  for (int i = 0; i < team_count; ++i)
    configuration->teams.push_back({.id = TeamAt(i),
                                    .rate_per_second = tokens(1000),
                                    .burst = tokens(1000),
                                    .weight = 1});
  configuration_ = configuration;
  CommitFact(0, false, false);
}

fleet_world::machine& fleet_world::MachineAt(int vm) {
  return machines_[static_cast<std::size_t>(vm) % machines_.size()];
}

fleet_coordinator* fleet_world::Coordinator(int vm) {
  return MachineAt(vm).coordinator.get();
}

bool fleet_world::DrawChance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

duration fleet_world::DrawDelay(int64_t min_ms, int64_t max_ms) {
  return Milliseconds(
      std::uniform_int_distribution<int64_t>(min_ms, max_ms)(random_));
}

void fleet_world::ScheduleAfter(duration delay, std::function<void()> run) {
  events_.push({.at = now_ + delay,
                .sequence = ++last_sequence_,
                .run = std::move(run)});
}

void fleet_world::Run(duration span) {
  const time_point end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.run();
  }
  now_ = end;
}

void fleet_world::AddViolation(const std::string& text) {
  violations_.push_back(
      text + " at " + std::to_string(ToMilliseconds(now_.time_since_epoch())) +
      " ms");
}

void fleet_world::Start(int vm) {
  machine& target = MachineAt(vm);
  if (target.running)
    return;
  if (!target.exists) {
    target.exists = true;
    const int number = target.number;
    ScheduleAfter(DrawDelay(0, ToMilliseconds(kListLag)), [this, number] {
      MachineAt(number).listed = MachineAt(number).exists;
    });
  }
  const int incarnation = ++target.incarnation;
  const std::string number = std::to_string(target.number);
  target.running = true;
  target.paused = false;
  target.drained = false;
  target.applied.clear();
  target.deferred_events.clear();
  target.record = {.id = instance_id("i" + number + "-" +
                                     std::to_string(1000 + incarnation)),
                   .vm = vm_id("vm-" + number),
                   .zone = zone_id("z"),
                   .mesh_address = "10.0.0." + number + ":1",
                   .caller_address = "10.0.0." + number + ":2",
                   .admin_address = "10.0.0." + number + ":3",
                   .started = 0,
                   .vm_listed = false};
  active_instances_.insert(target.record.id.value());
  target.coordinator = std::make_unique<fleet_coordinator>(
      target.record,
      std::vector<std::string>{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"},
      fleet_limits(), random_engine(random_()), now_);
  Deliver(target.number, incarnation, [this, vm = target.number] {
    return MachineAt(vm).coordinator->OnConfiguration(configuration_, now_);
  });
  ScheduleTick(target.number, incarnation);
}

void fleet_world::ScheduleTick(int vm, int incarnation) {
  machine& target = MachineAt(vm);
  if (!target.running || target.incarnation != incarnation)
    return;
  const duration wait =
      std::max(target.coordinator->NextDeadline() - now_, Milliseconds(1));
  ScheduleAfter(wait, [this, vm, incarnation] {
    if (!MachineAt(vm).running || MachineAt(vm).incarnation != incarnation)
      return;
    if (!MachineAt(vm).paused)
      Deliver(vm, incarnation,
              [this, vm] { return MachineAt(vm).coordinator->OnTick(now_); });
    ScheduleTick(vm, incarnation);
  });
}

void fleet_world::ListVm(int vm) {
  MachineAt(vm).listed = true;
  MachineAt(vm).listed_at = now_;
}

void fleet_world::Kill(int vm) {
  machine& target = MachineAt(vm);
  if (!target.running)
    return;
  target.running = false;
  target.paused = false;
  target.deferred_events.clear();
  active_instances_.erase(target.record.id.value());
}

void fleet_world::RemoveVm(int vm) {
  machine& target = MachineAt(vm);
  Kill(vm);
  const bool is_not_yet_listed =
      std::any_of(instances_.begin(), instances_.end(), [&](const auto& entry) {
        const auto& row = entry.second;
        return !row.deleted && row.value.vm == target.record.vm &&
               !row.value.vm_listed;
      });
  if (is_not_yet_listed)
    return;
  target.exists = false;
  const int number = target.number;
  const time_point listed_at =
      target.listed ? target.listed_at : now_ + kListLag;
  const duration remaining_listed_time =
      std::max(listed_at + kMinListedTime - now_, duration::zero());
  ScheduleAfter(remaining_listed_time + DrawDelay(0, ToMilliseconds(kListLag)),
                [this, number] {
                  if (!MachineAt(number).exists)
                    MachineAt(number).listed = false;
                });
}

void fleet_world::Pause(int vm) {
  if (MachineAt(vm).running)
    MachineAt(vm).paused = true;
}

void fleet_world::Continue(int vm) {
  machine& target = MachineAt(vm);
  if (!target.running || !target.paused)
    return;
  target.paused = false;
  const auto deferred = std::exchange(target.deferred_events, {});
  for (const auto& run : deferred)
    run();
}

void fleet_world::Drain(int vm) {
  machine& target = MachineAt(vm);
  if (!target.running)
    return;
  Deliver(target.number, target.incarnation, [this, vm = target.number] {
    // From here on the instance has announced that it gives up everything, so
    // the fleet may declare it ended.
    active_instances_.erase(MachineAt(vm).record.id.value());
    return MachineAt(vm).coordinator->OnDrain(now_);
  });
}

void fleet_world::Isolate(int vm, bool from_peers, bool from_platform) {
  MachineAt(vm).cut_from_peers = from_peers;
  MachineAt(vm).cut_from_platform = from_platform;
}

void fleet_world::Reconnect(int vm) {
  Isolate(vm, false, false);
}

void fleet_world::Heal() {
  faults_ = world_faults();
  for (machine& target : machines_) {
    Reconnect(target.number);
    Continue(target.number);
    if (target.exists)
      Start(target.number);
  }
}

std::string fleet_world::FactValue(revision version) const {
  return "v" + std::to_string(version.count()) +
         std::string(fact_padding_, '.');
}

void fleet_world::CommitFact(int key, bool deleted, bool push) {
  if (faults_.platform_down)
    return;
  version_ += revision(1);
  const std::string name = "fact/" + std::to_string(key);
  const stored_row<std::string> row{.value = deleted ? "" : FactValue(version_),
                                    .version = version_,
                                    .deleted = deleted};
  facts_[name] = row;
  if (!push)
    return;
  const fact pushed{.key = name,
                    .value = row.value,
                    .version = row.version,
                    .deleted = row.deleted};
  const int vm = static_cast<int>(random_() % machines_.size());
  if (MachineAt(vm).running)
    Deliver(vm, MachineAt(vm).incarnation, [this, vm, pushed] {
      return MachineAt(vm).coordinator->OnPushedFacts({pushed}, now_);
    });
}

void fleet_world::Deliver(int vm,
                          int incarnation,
                          std::function<fleet_actions()> act) {
  machine& target = MachineAt(vm);
  if (!target.running || target.incarnation != incarnation)
    return;
  if (target.paused) {
    target.deferred_events.push_back(
        [this, vm, incarnation, act = std::move(act)] {
          Deliver(vm, incarnation, act);
        });
    return;
  }
  PerformAll(vm, act());
}

void fleet_world::PerformAll(int vm, const fleet_actions& actions) {
  for (const fleet_action& action : actions)
    std::visit([&](const auto& typed) { Perform(vm, typed); }, action);
  CheckShares();
}

void fleet_world::CheckShares() {
  if (!checks_)
    return;
  for (const config::team& team : configuration_->teams) {
    int64_t total = 0;
    for (const machine& target : machines_) {
      if (target.running)
        total += target.coordinator->SharePpm(team.id);
    }
    if (total > kWholeSharePpm)
      AddViolation("shares add up to " + std::to_string(total));
  }
}

void fleet_world::Perform(int vm, const send_fleet_message& action) {
  ++messages_;
  if (message_observer_)
    message_observer_(action);
  const instance_id from = MachineAt(vm).record.id;
  if (MachineAt(vm).cut_from_peers || DrawChance(faults_.message_loss))
    return;
  const int copies = DrawChance(faults_.message_repeat) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const bool is_late = DrawChance(faults_.message_delay);
    const duration delay = is_late ? DrawDelay(100, 6000) : DrawDelay(1, 4);
    ScheduleAfter(delay, [this, from, action] {
      for (machine& target : machines_) {
        const bool is_delivered =
            target.running && !target.cut_from_peers &&
            target.record.mesh_address == action.peer.address &&
            (action.peer.instance.empty() ||
             action.peer.instance == target.record.id);
        if (!is_delivered)
          continue;
        const int to = target.number;
        Deliver(to, target.incarnation, [this, to, from, action] {
          return MachineAt(to).coordinator->OnFleetMessage(from, action.message,
                                                           now_);
        });
      }
    });
  }
}

void fleet_world::CallPlatform(
    int vm,
    std::function<void()> effect,
    std::function<fleet_actions(write_outcome)> answer) {
  const int incarnation = MachineAt(vm).incarnation;
  const bool is_unreachable =
      faults_.platform_down || MachineAt(vm).cut_from_platform;
  if (is_unreachable) {
    const write_outcome outcome =
        DrawChance(0.5) ? write_outcome::unreachable : write_outcome::lost;
    ScheduleAfter(DrawDelay(1, 1000), [this, vm, incarnation, answer, outcome] {
      Deliver(vm, incarnation, [answer, outcome] { return answer(outcome); });
    });
    return;
  }
  const bool lost = DrawChance(faults_.answer_loss);
  const bool is_late = lost && DrawChance(0.5);
  ScheduleAfter(is_late ? DrawDelay(1000, 8000) : DrawDelay(1, 20), effect);
  ScheduleAfter(
      DrawDelay(21, lost ? 3000 : 40), [this, vm, incarnation, answer, lost] {
        Deliver(vm, incarnation, [answer, lost] {
          return answer(lost ? write_outcome::lost : write_outcome::committed);
        });
      });
}

void fleet_world::Perform(int vm, const poll_facts& action) {
  ++reads_;
  auto rows = std::make_shared<std::vector<fact>>();
  auto version = std::make_shared<revision>();
  CallPlatform(
      vm,
      [this, rows, version, since = action.since] {
        *version = version_;
        for (const auto& [key, row] : facts_) {
          if (row.version > since && !(row.deleted && since == revision()))
            rows->push_back({.key = key,
                             .value = row.value,
                             .version = row.version,
                             .deleted = row.deleted});
        }
      },
      [this, vm, rows, version, since = action.since](write_outcome outcome) {
        if (outcome != write_outcome::committed)
          return MachineAt(vm).coordinator->OnPollFailed(poll_kind::facts,
                                                         now_);
        return MachineAt(vm).coordinator->OnFactRows(*rows, since, *version,
                                                     now_);
      });
}

void fleet_world::Perform(int vm, const poll_instances& action) {
  ++reads_;
  auto rows = std::make_shared<std::vector<instance_row>>();
  auto version = std::make_shared<revision>();
  CallPlatform(
      vm,
      [this, rows, version, since = action.since] {
        *version = version_;
        for (const auto& [key, row] : instances_) {
          if (row.version > since && !(row.deleted && since == revision()))
            rows->push_back({.key = key,
                             .value = row.value,
                             .version = row.version,
                             .deleted = row.deleted});
        }
      },
      [this, vm, rows, version, since = action.since](write_outcome outcome) {
        if (outcome != write_outcome::committed)
          return MachineAt(vm).coordinator->OnPollFailed(poll_kind::instances,
                                                         now_);
        return MachineAt(vm).coordinator->OnInstanceRows(*rows, since, *version,
                                                         now_);
      });
}

void fleet_world::Perform(int vm, const poll_vms&) {
  ++reads_;
  auto vms = std::make_shared<std::vector<fleet_vm>>();
  CallPlatform(
      vm,
      [this, vms] {
        for (const machine& target : machines_) {
          if (target.listed)
            vms->push_back(
                {.id = vm_id("vm-" + std::to_string(target.number))});
        }
      },
      [this, vm, vms](write_outcome outcome) {
        if (outcome != write_outcome::committed)
          return MachineAt(vm).coordinator->OnPollFailed(poll_kind::vms, now_);
        return MachineAt(vm).coordinator->OnVmList(*vms, now_);
      });
}

void fleet_world::WriteRow(int vm,
                           const instance_id& instance,
                           revision expected,
                           std::optional<instance_record> record) {
  ++writes_;
  auto written = std::make_shared<std::optional<revision>>();
  CallPlatform(
      vm,
      [this, instance, expected, record, written] {
        const auto found = instances_.find(instance.value());
        const bool exists = found != instances_.end() && !found->second.deleted;
        const revision current = exists ? found->second.version : revision();
        if (current != expected)
          return;
        version_ += revision(1);
        instances_[instance.value()] = {
            .value = record.value_or(instance_record()),
            .version = version_,
            .deleted = !record};
        *written = version_;
      },
      [this, vm, instance, expected, written](write_outcome outcome) {
        if (outcome == write_outcome::committed && !*written)
          outcome = write_outcome::conflict;
        return MachineAt(vm).coordinator->OnInstanceWritten(
            instance, expected, outcome, written->value_or(revision()), now_);
      });
}

void fleet_world::Perform(int vm, const write_instance& action) {
  WriteRow(vm, action.record.id, action.expected, action.record);
}

void fleet_world::Perform(int vm, const remove_instance& action) {
  WriteRow(vm, action.instance, action.expected, std::nullopt);
}

void fleet_world::Perform(int vm, const commit_share& action) {
  ++writes_;
  if (!IsValid(action.record))
    AddViolation("an invalid share record was written");
  auto written = std::make_shared<std::optional<revision>>();
  CallPlatform(
      vm,
      [this, action, written] {
        auto& row = shares_[action.team.value()];
        if (row.version != action.expected)
          return;
        version_ += revision(1);
        row = {.value = action.record, .version = version_, .deleted = false};
        *written = version_;
      },
      [this, vm, action, written](write_outcome outcome) {
        if (outcome == write_outcome::committed && !*written)
          outcome = write_outcome::conflict;
        return MachineAt(vm).coordinator->OnShareCommitted(
            action.team, action.expected, outcome,
            written->value_or(revision()), now_);
      });
}

void fleet_world::Perform(int vm, const read_share& action) {
  ++reads_;
  auto read = std::make_shared<stored_row<share_record>>();
  CallPlatform(
      vm, [this, action, read] { *read = shares_[action.team.value()]; },
      [this, vm, action, read](write_outcome outcome) {
        if (outcome != write_outcome::committed)
          return MachineAt(vm).coordinator->OnShareReadFailed(action.team,
                                                              now_);
        return MachineAt(vm).coordinator->OnShareRow(action.team, read->value,
                                                     read->version, now_);
      });
}

void fleet_world::Perform(int vm, const apply_fact& action) {
  revision& held = MachineAt(vm).applied[action.changed.key];
  if (action.changed.version <= held)
    AddViolation("fact " + action.changed.key +
                 " was applied at a version that is not newer");
  held = action.changed.version;
  const bool is_committed_value =
      action.changed.deleted ||
      action.changed.value ==
          "v" + std::to_string(action.changed.version.count());
  if (!is_committed_value)
    AddViolation("fact " + action.changed.key +
                 " has a value that was never committed");
}

void fleet_world::Perform(int, const instance_ended& action) {
  if (active_instances_.contains(action.instance.value()))
    AddViolation("running instance " + action.instance.value() +
                 " was declared ended");
}

void fleet_world::Perform(int vm, const instance_fenced&) {
  AddViolation("running instance " + MachineAt(vm).record.id.value() +
               " was fenced");
}

void fleet_world::Perform(int vm, const drain_finished&) {
  Kill(vm);
}

int fleet_world::running() const {
  return static_cast<int>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const machine& target) { return target.running; }));
}

bool fleet_world::AllFactsInForce() const {
  for (const machine& target : machines_) {
    if (!target.running)
      continue;
    for (const auto& [key, row] : facts_) {
      const revision expected_version = row.deleted ? revision() : row.version;
      if (target.coordinator->FactVersion(key) != expected_version)
        return false;
    }
  }
  return true;
}

bool fleet_world::AllReady() const {
  return std::all_of(machines_.begin(), machines_.end(),
                     [](const machine& target) {
                       return !target.running || target.coordinator->ready();
                     });
}

bool fleet_world::AreSharesEven(double min_part) const {
  const double equal_part_ppm = static_cast<double>(kWholeSharePpm) / running();
  for (const machine& target : machines_) {
    for (const config::team& team : configuration_->teams) {
      if (target.running && static_cast<double>(target.coordinator->SharePpm(
                                team.id)) < min_part * equal_part_ppm)
        return false;
    }
  }
  return true;
}

}  // namespace jasminepath::decision
