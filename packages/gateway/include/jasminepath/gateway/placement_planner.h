#ifndef JASMINEPATH_GATEWAY_PLACEMENT_PLANNER_H_
#define JASMINEPATH_GATEWAY_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/peer_digest.h"
#include "jasminepath/gateway/ports.h"
#include "jasminepath/gateway/site.h"

namespace jasminepath::gateway {

// Decides which models and adapters the engines of one service hold. Loads what
// waiting requests need, adds replicas of busy models, and makes sure that some
// engine keeps a copy of each model from which it loads quickly. Never plans
// more than an engine's memory can hold, more loads from the weight store than
// its rate allows, or two concurrent orders to one engine. Does no I/O; not
// thread-safe.
class placement_planner {
 public:
  explicit placement_planner(service_id service);

  void SetEngineSpec(const engine_spec& spec) { spec_ = spec; }

  // Replaces the engines with those among `entries`, which are all entries of
  // the endpoint list.
  void OnEndpoints(const std::vector<endpoint_entry>& entries, time_point now);
  void OnChanges(const endpoint_changes& changes, time_point now);
  // An engine has answered a query for its state.
  void OnReport(const endpoint_id& engine,
                const engine_report& report,
                time_point now);
  // Takes a node's demand and its running requests.
  void OnDigest(const peer_digest& digest, time_point now);
  // Takes a node's waiting requests before the digest that counts them arrives.
  void OnUrgentDemand(const peer_digest& digest, time_point now);
  void ForgetNode(const vm_id& node);
  void OnOrderAnswer(const engine_order& order,
                     order_verdict verdict,
                     time_point now);

  // This node starts to place models. Orders of the previous holder may still
  // be executing.
  void Begin(time_point now);

  // Returns the orders to send now, in this sequence. The caller sets the
  // holder and the fencing token.
  std::vector<engine_order> Plan(time_point now);

  // Returns the notices for peers since the previous call.
  std::vector<load_notice> TakeNotices();

  // Returns the engines whose state the caller should query, because an order
  // is overdue or the state is uncertain.
  std::vector<endpoint_id> TakeEnginesToQuery(time_point now);

 private:
  using model_key = std::pair<model_id, adapter_id>;

  struct pending_order {
    engine_order order;
    time_point sent_at{};
    bool accepted = false;
    // Expected time of completion.
    time_point expected_at{};
    bool from_store = false;
  };

  struct adapter_state {
    adapter_id adapter;
    time_point ready_at{};
    time_point last_used{};
    bool announced = false;
  };

  struct engine_state {
    endpoint_entry entry;
    // Number of orders that the engine has accepted, according to its last
    // report and its answers since. No order is given while this is unknown.
    std::optional<int64_t> order_count;
    std::vector<model_id> residents;
    std::map<model_id, std::vector<adapter_state>> adapters;
    // Unloaded adapters and the time of the unload. An outdated entry may still
    // list them.
    std::map<model_key, time_point> dropped;
    std::set<model_id> copies;
    std::set<model_id> memory_copies;
    std::optional<pending_order> pending;
    // Model to load as soon as memory is available.
    std::optional<model_id> planned_load;
    time_point planned_load_until{};
    // Running requests of all nodes, as of the last plan.
    std::map<model_id, int64_t> running;
    time_point queried_at{};
    time_point state_uncertain_until{};
    bool unreachable = false;
  };

  struct model_state {
    double rate = 0;
    time_point rate_at{};
    int64_t waiting = 0;
    int64_t running = 0;
    // Number of usable engines that hold the model and are not unloading it,
    // and whether another engine is loading it or is planned to.
    int64_t replicas = 0;
    bool is_load_planned = false;
    // Time of the last estimate of the load time sent to the nodes.
    time_point estimated_at{};
  };

  struct urgent_demand {
    int64_t waiting = 0;
    time_point last_received_at{};
  };

  struct node_report {
    std::map<model_key, model_usage> uses;
    std::map<std::pair<endpoint_id, model_id>, int64_t> running;
    std::vector<endpoint_id> unreachable;
    // The report covers a whole zone.
    bool is_zone_digest = false;
    time_point last_received_at{};
    uint64_t incarnation = 0;
  };

  const model_spec* FindSpec(const model_id& model) const;
  int64_t UsedMemory(const engine_state& engine) const;
  bool IsUsable(const engine_state& engine) const;
  // Whether the engine can receive an order now.
  bool IsIdle(const engine_state& engine, time_point now) const;
  bool IsResident(const engine_state& engine, const model_id& model) const;
  // Whether an order of that kind for the model, not for an adapter, is
  // pending.
  bool HasPendingModelOrder(const engine_state& engine,
                            order_kind kind,
                            const model_id& model) const;
  bool IsLoading(const engine_state& engine, const model_id& model) const;
  bool IsLoadPlanned(const model_id& model) const;
  int64_t ReplicaCount(const model_id& model) const;
  // Recounts the replicas of all models, or of one that has changed.
  void CountReplicas();
  void CountReplicasOf(const model_id& model);
  void SetPlannedLoad(engine_state& engine,
                      const model_id& model,
                      time_point until);
  void ClearPlannedLoad(engine_state& engine);
  int64_t RunningOn(const engine_state& engine) const;
  int64_t RunningOn(const engine_state& engine, const model_id& model) const;
  double RateOf(const model_id& model, time_point now) const;
  double RetentionValue(const engine_state& engine,
                        const model_id& model,
                        time_point now) const;
  duration LoadTime(const engine_state& engine, const model_spec& spec) const;
  bool LoadsFromStore(const engine_state& engine, const model_id& model) const;
  int64_t CountStoreLoads() const;
  bool CanStartStoreLoad() const;
  void RefillStoreTokens(time_point now);
  void ApplyEntry(const endpoint_entry& entry, time_point now);
  void ApplyState(engine_state& engine,
                  const std::vector<resident_model>& models,
                  const std::vector<model_id>& in_memory,
                  const std::vector<model_id>& on_disk,
                  bool is_report,
                  time_point now);
  void AddAdapter(engine_state& engine,
                  const engine_order& order,
                  time_point now);
  void RecordStoreLoad(const pending_order& order, time_point now);
  void CountDemand(time_point now);
  void CountRunning();
  // The resident model with the lowest retention value, and that value.
  std::optional<std::pair<model_id, double>> FindVictim(
      const engine_state& engine,
      const model_id& incoming,
      time_point now) const;
  // Starts to load the model on the best engine if `value` exceeds the value of
  // the model that it displaces. Returns whether an engine was found.
  bool Place(const model_id& model,
             double value,
             time_point now,
             std::vector<engine_order>& orders);
  void ContinuePlannedLoads(time_point now, std::vector<engine_order>& orders);
  void PlaceDemandedModels(time_point now, std::vector<engine_order>& orders);
  // Sends the nodes an estimate of the load time of a model that cannot be
  // placed yet.
  void PublishEstimate(const model_id& model, int64_t queued, time_point now);
  void PlaceReplicas(time_point now, std::vector<engine_order>& orders);
  void PlaceCopies(time_point now, std::vector<engine_order>& orders);
  void PlaceAdapters(time_point now, std::vector<engine_order>& orders);
  std::vector<model_key> AdaptersToPlace(time_point now);
  bool RepeatNoticeIfHeld(const model_key& key, time_point now);
  void PlaceAdapter(const model_key& key,
                    time_point now,
                    std::vector<engine_order>& orders);
  void MakeRoomForAdapter(const model_id& needed,
                          time_point now,
                          std::vector<engine_order>& orders);
  void IssueOrder(engine_state& engine,
                  order_kind kind,
                  const model_id& model,
                  const adapter_id& adapter,
                  time_point now,
                  std::vector<engine_order>& orders);
  void Announce(const engine_state& engine,
                const model_id& model,
                const adapter_id& adapter,
                load_change change,
                duration ready_in);

  service_id service_;
  engine_spec spec_;
  std::map<endpoint_id, engine_state> engines_;
  std::map<model_id, model_state> models_;
  std::map<model_key, int64_t> adapters_waiting_;
  std::map<model_key, time_point> adapters_missing_since_;
  std::map<vm_id, node_report> nodes_;
  std::map<model_key, urgent_demand> urgent_;
  std::vector<load_notice> notices_;
  // Number of concurrent loads that the weight store is assumed to serve at
  // full speed.
  int64_t max_parallel_store_loads_;
  // Loads from the weight store in progress, including planned loads that wait
  // for memory.
  int64_t store_loads_ = 0;
  // Tokens for loads from the weight store; each load takes one.
  double store_tokens_ = 0;
  time_point store_filled_at_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PLACEMENT_PLANNER_H_
