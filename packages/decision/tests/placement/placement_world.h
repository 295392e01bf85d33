#ifndef JASMINEPATH_DECISION_TESTS_PLACEMENT_PLACEMENT_WORLD_H_
#define JASMINEPATH_DECISION_TESTS_PLACEMENT_PLACEMENT_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/decision/placement/placement_coordinator.h"

namespace jasminepath::decision {

// Size of the simulated site and rates of its faults.
struct world_options {
  int nodes = 3;
  int vms = 3;
  int models = 3;
  // Number of replicas that fit into the memory of a VM.
  int replicas_per_vm = 2;
  int64_t max_replicas = 1;
  // Every n-th VM ignores fencing numbers; 0 if none does.
  int ignore_fencing_every = 2;
  uint64_t seed = 1;
  // Probabilities of faults.
  int message_lost_per_mille = 0;
  int message_duplicated_per_mille = 0;
  int message_late_per_mille = 0;
  int order_lost_per_mille = 0;
  int table_answer_lost_per_mille = 0;
  int load_failure_per_mille = 0;
};

// Simulates nodes, table, engines and membership in virtual time, with the
// faults that placement has to tolerate. Checks the invariants at every order
// that an engine executes and records the first violation.
class placement_world {
 public:
  explicit placement_world(const world_options& options);

  void RunFor(duration length);
  time_point now() const { return now_; }
  // The first violated invariant; empty if there is none.
  const std::string& violation() const { return violation_; }

  // Adds calls that wait at a node until a replica of the model is ready.
  void AddDemand(int index, int model, int64_t waiting);
  bool IsAllServed() const;
  std::string UnservedCalls() const;

  // Faults.
  void KillNode(int index);
  void PauseNode(int index, duration length);
  void DrainNode(int index);
  void KillEngine(int vm);
  void ReclaimVm(int vm);
  void AnnounceVmLeaving(int vm);
  void StartTableOutage(duration length);
  void SlowLoads(int vm, duration length);
  // Adds a replica that no living node has ordered, as a delayed order does.
  void AddStrayReplica(int vm, int model);
  void DisableFaults();

  int64_t load_orders() const { return load_orders_; }
  int64_t table_writes() const { return table_writes_; }
  int64_t table_reads() const { return table_reads_; }
  int64_t ResidentCount(int model) const;
  placement_status Status(int index) const;

 private:
  using coordinator = placement_coordinator<fixed_timeout>;

  struct node {
    instance_id id;
    std::unique_ptr<coordinator> core;
    bool is_alive = true;
    time_point paused_until;
    std::vector<std::function<void()>> deferred;
    std::map<int, int64_t> waiting;
    std::map<int, int64_t> arrivals;
    time_point died_at;
  };
  struct engine_replica {
    resident_state state = resident_state::loading;
    std::string version;
    time_point changes_at;
    bool will_fail = false;
  };
  struct engine {
    config::endpoint endpoint;
    bool is_alive = true;
    bool is_listed = true;
    bool is_leaving = false;
    int64_t incarnation = 1;
    epoch fence;
    epoch highest_seen;
    std::map<model_id, engine_replica> replicas;
    time_point slow_until;
  };
  struct event {
    time_point at;
    int64_t number = 0;
    std::function<void()> run;
    friend bool operator<(const event& a, const event& b) {
      return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
  };

  void Schedule(time_point when, std::function<void()> run);
  bool ShouldInject(int per_mille);
  duration RandomDuration(int64_t low_ms, int64_t high_ms);
  duration NetworkDelay();
  void StartNode(int index);
  // Runs the event at the node now, or when the node resumes. The event is
  // dropped if the instance has ended.
  void RunAtNode(int index,
                 const instance_id& id,
                 std::function<void(node&)> run);
  void Tick(int index, const instance_id& id);
  void Poll(int index, const instance_id& id, int vm);
  void UpdateMembership();
  void NotifyNode(int index);
  void PerformAll(int index, std::vector<placement_action> actions);
  void Perform(int index, const commit_authority& action);
  void Perform(int index, const read_authority& action);
  void Perform(int index, const send_placement_message& action);
  void Perform(int index, const send_order& action);
  void Perform(int, const load_estimate&) {}
  void Perform(int, const replica_ready&) {}
  order_end Execute(int vm,
                    const endpoint_order& order,
                    const std::string& incarnation);
  void AdvanceEngine(int vm);
  void CheckLoad(int vm, const model_id& model);
  void RecordViolation(const std::string& text);
  void ServeDemand();
  endpoint_status EngineStatus(int vm) const;
  std::vector<model_demand> NodeDemand(const node& source) const;
  int FindNode(const instance_id& id) const;
  bool IsPaused(const node& source) const { return source.paused_until > now_; }

  world_options options_;
  random_engine random_;
  time_point now_;
  int64_t last_event_ = 0;
  std::priority_queue<event> events_;
  std::shared_ptr<config::configuration> configuration_;
  std::vector<node> nodes_;
  std::vector<instance_id> ended_;
  int64_t last_instance_ = 0;
  std::vector<engine> engines_;
  std::map<authority_key, authority_row> table_;
  int64_t table_version_ = 0;
  time_point table_down_until_;
  bool faults_disabled_ = false;
  std::string violation_;
  int64_t load_orders_ = 0;
  int64_t table_writes_ = 0;
  int64_t table_reads_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_TESTS_PLACEMENT_PLACEMENT_WORLD_H_
