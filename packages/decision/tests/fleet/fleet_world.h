#ifndef JASMINEPATH_DECISION_TESTS_FLEET_FLEET_WORLD_H_
#define JASMINEPATH_DECISION_TESTS_FLEET_FLEET_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/fleet/fleet_coordinator.h"

namespace jasminepath::decision {

// Faults of the network and the platform. Probabilities range from 0 to 1.
struct world_faults {
  double message_loss = 0;
  double message_repeat = 0;
  double message_delay = 0;
  double answer_loss = 0;
  bool platform_down = false;
};

// Simulates a fleet of coordinators in virtual time, with a platform and a
// network into which faults can be injected. A test oracle checks the
// invariants after every event. Violations are collected as text.
class fleet_world {
 public:
  fleet_world(uint64_t seed, int vm_count, int team_count);
  fleet_world(const fleet_world&) = delete;
  fleet_world& operator=(const fleet_world&) = delete;

  // The operations of a history. VM numbers that are out of range wrap around.
  void Start(int vm);
  void Kill(int vm);
  void Pause(int vm);
  void Continue(int vm);
  void Drain(int vm);
  // Ends the process and the VM. The VM leaves the list after a delay. Only the
  // process ends if the fleet has not yet recorded the VM as listed, because
  // the absence of such a VM from the list has no meaning.
  void RemoveVm(int vm);
  void Isolate(int vm, bool from_peers, bool from_platform);
  void Reconnect(int vm);
  // Commits a new version of a fact, or its deletion if `deleted` is set. If
  // `push` is set, the fact is also pushed to one node.
  void CommitFact(int key, bool deleted, bool push);
  void Run(duration span);

  world_faults& faults() { return faults_; }
  // Sets an observer of every sent message, for measurements.
  void set_message_observer(
      std::function<void(const send_fleet_message&)> observer) {
    message_observer_ = std::move(observer);
  }
  // Enables or disables the oracle. Measurements disable it because its cost
  // grows with the size of the fleet.
  void set_checks(bool checks) { checks_ = checks; }
  // Sets the number of bytes added to the value of every fact. Call this before
  // the first commit.
  void set_fact_padding(std::size_t bytes) { fact_padding_ = bytes; }
  // Ends all faults, continues paused processes and restarts ended processes on
  // existing VMs.
  void Heal();

  // Whether every running instance holds exactly the facts of the table.
  bool AllFactsInForce() const;
  // Whether every running instance may accept calls.
  bool AllReady() const;
  // Whether the part of every running instance, for every team, is at least the
  // fraction `min_part` of the equal part.
  bool AreSharesEven(double min_part) const;
  // The number of reads from the platform since the start.
  int64_t reads() const { return reads_; }
  int64_t writes() const { return writes_; }
  int64_t messages() const { return messages_; }
  int running() const;
  const std::vector<std::string>& violations() const { return violations_; }
  fleet_coordinator* Coordinator(int vm);

 private:
  // A VM and the state of its current or latest process.
  struct machine {
    int number = 0;
    bool exists = true;
    bool listed = false;
    time_point listed_at{};
    int incarnation = 0;
    bool running = false;
    bool paused = false;
    bool drained = false;
    bool cut_from_peers = false;
    bool cut_from_platform = false;
    instance_record record;
    std::unique_ptr<fleet_coordinator> coordinator;
    std::vector<std::function<void()>> deferred_events;
    std::map<std::string, revision> applied;
  };

  // A row of the simulated table.
  template <typename Value>
  struct stored_row {
    Value value;
    revision version;
    bool deleted = false;
  };
  template <typename Value>
  using table = std::map<std::string, stored_row<Value>>;

  struct event {
    time_point at;
    int64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  machine& MachineAt(int vm);
  std::string FactValue(revision version) const;
  void ListVm(int vm);
  bool DrawChance(double probability);
  duration DrawDelay(int64_t min_ms, int64_t max_ms);
  void ScheduleAfter(duration delay, std::function<void()> run);
  // Runs `act` on the process if it still has this incarnation. If the process
  // is paused, defers `act` until it continues.
  void Deliver(int vm, int incarnation, std::function<fleet_actions()> act);
  void PerformAll(int vm, const fleet_actions& actions);
  void ScheduleTick(int vm, int incarnation);
  void CheckShares();
  void AddViolation(const std::string& text);

  void Perform(int vm, const send_fleet_message& action);
  void Perform(int vm, const poll_facts& action);
  void Perform(int vm, const poll_instances& action);
  void Perform(int vm, const poll_vms& action);
  void Perform(int vm, const write_instance& action);
  void Perform(int vm, const remove_instance& action);
  void Perform(int vm, const commit_share& action);
  void Perform(int vm, const read_share& action);
  void Perform(int vm, const apply_fact& action);
  void Perform(int vm, const instance_ended& action);
  void Perform(int vm, const instance_fenced& action);
  void Perform(int vm, const drain_finished& action);
  template <typename Other>
  void Perform(int, const Other&) {}

  void WriteRow(int vm,
                const instance_id& instance,
                revision expected,
                std::optional<instance_record> record);
  // Runs `effect` at the platform, and then `answer` at the caller with the
  // outcome of the call.
  void CallPlatform(int vm,
                    std::function<void()> effect,
                    std::function<fleet_actions(write_outcome)> answer);

  random_engine random_;
  world_faults faults_;
  time_point now_ = time_point() + Seconds(1000);
  int64_t last_sequence_ = 0;
  std::priority_queue<event> events_;
  std::vector<machine> machines_;
  std::shared_ptr<const config::configuration> configuration_;
  revision version_ = revision(10);
  table<std::string> facts_;
  table<instance_record> instances_;
  table<share_record> shares_;
  std::set<std::string> active_instances_;
  std::vector<std::string> violations_;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  int64_t messages_ = 0;
  std::function<void(const send_fleet_message&)> message_observer_;
  bool checks_ = true;
  std::size_t fact_padding_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_TESTS_FLEET_FLEET_WORLD_H_
