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

// Decides which models and adapters the engines of one service hold: loads
// what waiting requests need, keeps more replicas of busy models, and sees to
// it that each model has a copy at some engine from which it loads quickly.
// Never plans more than an engine's memory holds, more loads from the weight
// store than its rate allows, or two orders to one engine at a time. Does no
// I/O; not thread-safe.
class placement_planner {
 public:
  explicit placement_planner(service_id service);

  void SetEngineSpec(const engine_spec& spec) { spec_ = spec; }

  // The engines as the list of endpoints shows them now.
  // All entries of the list.
  void OnEndpoints(const std::vector<endpoint_entry>& entries, time_point now);
  void OnChanges(const endpoint_changes& changes, time_point now);
  // An engine's own word on its state, on request.
  void OnReport(const endpoint_id& engine,
                const engine_report& report,
                time_point now);
  // What a node's callers ask for and what runs where.
  void OnDigest(const peer_digest& digest, time_point now);
  // What a node's callers wait for now, ahead of the digest that counts them.
  void OnWants(const peer_digest& digest, time_point now);
  void ForgetNode(const vm_id& node);
  void OnOrderAnswer(const engine_order& order,
                     order_verdict verdict,
                     time_point now);

  // This node begins to place models; earlier orders may still be under way.
  void Begin(time_point now);

  // Orders to give now, in this order. The holder and the fencing token are
  // left to the caller.
  std::vector<engine_order> Plan(time_point now);

  // What the peers are to be told, since the last call.
  std::vector<load_notice> TakeNotices();

  // Engines whose state should be asked for, because an order is overdue.
  std::vector<endpoint_id> EnginesToAsk(time_point now);

 private:
  using model_key = std::pair<model_id, adapter_id>;

  struct pending_order {
    engine_order order;
    time_point sent_at{};
    bool accepted = false;
    // When it should be complete.
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
    // Orders it has accepted, by its own word and by what it answered since;
    // it gets none before this is known.
    std::optional<int64_t> order_count;
    std::vector<model_id> residents;
    std::map<model_id, std::vector<adapter_state>> adapters;
    // Adapters that were dropped, and when: an old entry may still list them.
    std::map<model_key, time_point> dropped;
    std::set<model_id> copies;
    std::set<model_id> hot_copies;
    std::optional<pending_order> pending;
    // Loaded once there is room for it.
    std::optional<model_id> intent;
    time_point intent_until{};
    // Running requests over all nodes, as of the last plan.
    std::map<model_id, int64_t> running;
    time_point asked_at{};
    time_point distrusted_until{};
    bool unreachable = false;
  };

  struct model_state {
    double rate = 0;
    time_point rate_at{};
    int64_t waiting = 0;
    int64_t running = 0;
    // Usable engines that hold it and do not drop it, and whether another one
    // is to load it.
    int64_t replicas = 0;
    bool on_the_way = false;
    // When the nodes were last told how long a load will take.
    time_point estimated_at{};
  };

  struct urgent_want {
    int64_t waiting = 0;
    time_point heard_at{};
  };

  struct node_report {
    std::map<model_key, model_use> uses;
    std::map<std::pair<endpoint_id, model_id>, int64_t> running;
    std::vector<endpoint_id> unreachable;
    // Speaks for several nodes.
    bool whole_zone = false;
    time_point heard_at{};
    uint64_t incarnation = 0;
  };

  const model_spec* Spec(const model_id& model) const;
  int64_t UsedMemory(const engine_state& engine) const;
  bool Usable(const engine_state& engine) const;
  // Whether the engine can be given an order now.
  bool Idle(const engine_state& engine, time_point now) const;
  bool Resident(const engine_state& engine, const model_id& model) const;
  // Whether an order of that kind for the whole model is under way.
  bool Ordered(const engine_state& engine,
               order_kind kind,
               const model_id& model) const;
  bool Loading(const engine_state& engine, const model_id& model) const;
  bool OnTheWay(const model_id& model) const;
  int64_t ReplicaCount(const model_id& model) const;
  // Counts the replicas of all models, and those of one that has changed.
  void CountReplicas();
  void CountReplicasOf(const model_id& model);
  void SetIntent(engine_state& engine, const model_id& model, time_point until);
  void DropIntent(engine_state& engine);
  int64_t RunningOn(const engine_state& engine) const;
  int64_t RunningOn(const engine_state& engine, const model_id& model) const;
  double RateOf(const model_id& model, time_point now) const;
  double KeepValue(const engine_state& engine,
                   const model_id& model,
                   time_point now) const;
  duration LoadTime(const engine_state& engine, const model_spec& spec) const;
  bool FromStore(const engine_state& engine, const model_id& model) const;
  int64_t CountStoreLoads() const;
  bool StoreHasRoom() const;
  void Refill(time_point now);
  void TakeEntry(const endpoint_entry& entry, time_point now);
  void ApplyState(engine_state& engine,
                  const std::vector<resident_model>& models,
                  const std::vector<model_id>& in_memory,
                  const std::vector<model_id>& on_disk,
                  bool is_report,
                  time_point now);
  void AddAdapter(engine_state& engine,
                  const engine_order& order,
                  time_point now);
  void NoteStoreLoad(const pending_order& order, time_point now);
  void CountDemand(time_point now);
  void CountRunning();
  // The least valuable resident of the engine, and what it is worth.
  std::optional<std::pair<model_id, double>> Victim(const engine_state& engine,
                                                    const model_id& incoming,
                                                    time_point now) const;
  // Begins to bring the model to the best engine, if its worth exceeds what it
  // displaces.
  bool Place(const model_id& model,
             double worth,
             time_point now,
             std::vector<engine_order>& orders);
  void ContinueIntents(time_point now, std::vector<engine_order>& orders);
  void PlaceWanted(time_point now, std::vector<engine_order>& orders);
  // Tells the nodes how long a model will take that cannot be placed yet.
  void Estimate(const model_id& model, int64_t queued, time_point now);
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
  void Give(engine_state& engine,
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
  std::map<model_key, urgent_want> urgent_;
  std::vector<load_notice> notices_;
  // Loads from the weight store that it seems to serve at full speed at once.
  int64_t store_parallel_;
  // Loads from the weight store under way, and those that begin once there is
  // room for them.
  int64_t store_loads_ = 0;
  // Loads from the weight store that may begin now.
  double store_tokens_ = 0;
  time_point store_filled_at_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PLACEMENT_PLANNER_H_
