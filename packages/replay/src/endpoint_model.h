#ifndef JASMINEPATH_REPLAY_ENDPOINT_MODEL_H_
#define JASMINEPATH_REPLAY_ENDPOINT_MODEL_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

#include "event_queue.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/admission/call_events.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "store_model.h"

namespace jasminepath::replay {

// One attempt of a call, as an endpoint runs it.
struct endpoint_run {
  // The unique identifier of the attempt.
  std::string attempt;
  model_id model;
  adapter_id adapter;
  int64_t prefix = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  std::string body;
  std::function<void()> on_first_byte;
  std::function<void(const decision::attempt_report&)> on_end;
};

// The notifications of an endpoint to the simulation.
struct endpoint_listener {
  // A model's or adapter's state has changed, or the process has restarted.
  std::function<void()> on_change;
  // The endpoint has detected the violation of a rule.
  std::function<void(const std::string& rule, const std::string& detail)>
      on_violation;
  // An idle period of a replica has ended: the accelerators that the replica
  // holds and the length of the period.
  std::function<void(double accelerators, duration idle)> on_idle;
};

// The weight store, with separate limits for models and adapters.
struct weight_stores {
  store_model& models;
  store_model& adapters;
};

// A simple model of one endpoint: an engine, or a plain service if its service
// has no models. Calls run concurrently at fixed speeds. A restart loses the
// resident models.
class endpoint_model {
 public:
  endpoint_model(const config::endpoint& self,
                 const config::service& service,
                 event_queue& events,
                 weight_stores stores,
                 endpoint_listener listener);

  const config::endpoint& self() const { return self_; }
  bool IsRunning() const { return running_; }

  // Puts a model's checkpoint on the VM's disk.
  void AddCachedCopy(const model_id& model) { on_disk_.insert(model); }
  // A request with this body crashes the process.
  void SetPoisonBody(const std::string& body) { poison_body_ = body; }

  decision::order_end HandleOrder(const decision::endpoint_order& order);
  decision::endpoint_status Status() const;

  void Run(endpoint_run run);
  void Cancel(const std::string& attempt);

  // Ends the process and starts it again after `downtime`; a new VM has an
  // empty disk.
  void Restart(duration downtime, bool new_vm);

  // The number of replicas of the model that are resident or loading.
  int64_t ReplicasOf(const model_id& model) const;
  bool IsReady(const model_id& model) const;
  // Reports the idle time of all idle replicas up to now.
  void ReportOpenIdleTimes();

 private:
  struct replica {
    std::string version;
    decision::resident_state state = decision::resident_state::loading;
    std::set<adapter_id> adapters;
    int64_t running_calls = 0;
    time_point idle_since{};
  };
  struct active_run {
    endpoint_run run;
    bool has_sent_first_byte = false;
  };

  const config::model* FindModel(const model_id& id) const;
  bytes MemoryUsed() const;
  decision::order_end ExecuteOrder(const decision::endpoint_order& order);
  decision::order_end LoadModel(const decision::endpoint_order& order);
  void UnloadModel(const decision::endpoint_order& order);
  decision::order_end LoadAdapter(const decision::endpoint_order& order);
  void BeginLoad(duration length,
                 bool remote,
                 store_model& store,
                 std::function<void()> done);
  void SendFirstByte(const std::string& attempt);
  void CompleteAttempt(const std::string& attempt);
  void EndAttempt(const std::string& attempt, decision::attempt_report report);
  void BeginIdleTime(replica& entry);
  void ReportIdleTime(const model_id& model, replica& entry);
  duration FirstTokenTime(const endpoint_run& run);

  config::endpoint self_;
  const config::service& service_;
  event_queue& events_;
  weight_stores stores_;
  endpoint_listener listener_;
  bool running_ = true;
  int64_t incarnation_ = 1;
  epoch fence_;
  std::map<model_id, replica> replicas_;
  std::set<model_id> on_disk_;
  std::set<model_id> in_memory_;
  std::list<int64_t> prefixes_;
  std::set<std::string> accepted_orders_;
  std::map<std::string, active_run> runs_;
  std::string poison_body_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_ENDPOINT_MODEL_H_
