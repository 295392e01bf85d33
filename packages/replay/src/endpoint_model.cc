#include "endpoint_model.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminepath/config/configuration_index.h"

namespace jasminepath::replay {
namespace {

using decision::order_end;
using decision::resident_state;

constexpr duration kAdapterLoadTime = Milliseconds(5);
constexpr duration kUnloadTime = Milliseconds(50);
constexpr duration kPlainServiceTime = Milliseconds(15);
constexpr duration kFirstTokenTime = Milliseconds(40);
constexpr duration kTimePerPromptToken = std::chrono::microseconds(300);
constexpr duration kTimePerOutputToken = Milliseconds(15);
// The maximum number of prompt prefixes in the cache of an engine.
constexpr std::size_t kMaxCachedPrefixes = 64;
// The time for which the endpoint is down after a crash of the process alone.
constexpr duration kProcessRestartTime = Seconds(5);

}  // namespace

endpoint_model::endpoint_model(const config::endpoint& self,
                               const config::service& service,
                               event_queue& events,
                               weight_stores stores,
                               endpoint_listener listener)
    : self_(self),
      service_(service),
      events_(events),
      stores_(stores),
      listener_(std::move(listener)) {}

const config::model* endpoint_model::FindModel(const model_id& id) const {
  return config::FindModel(service_, id);
}

bytes endpoint_model::MemoryUsed() const {
  bytes used;
  for (const auto& [id, entry] : replicas_) {
    const config::model* model = FindModel(id);
    used += model->weights + model->cache_reserve;
    for (const config::adapter& adapter : model->adapters) {
      if (entry.adapters.contains(adapter.id))
        used += adapter.size;
    }
  }
  return used;
}

order_end endpoint_model::HandleOrder(const decision::endpoint_order& order) {
  const order_end end = ExecuteOrder(order);
  if (end == order_end::accepted)
    accepted_orders_.insert(order.id);
  return end;
}

order_end endpoint_model::ExecuteOrder(const decision::endpoint_order& order) {
  if (!running_)
    return order_end::failed;
  if (self_.honours_fencing && order.number < fence_)
    return order_end::stale_epoch;
  if (self_.honours_fencing)
    fence_ = std::max(fence_, order.number);
  if (accepted_orders_.contains(order.id))
    return order_end::accepted;
  switch (order.kind) {
    case decision::order_kind::fence:
      return order_end::accepted;
    case decision::order_kind::load_model:
      return LoadModel(order);
    case decision::order_kind::unload_model:
      UnloadModel(order);
      return order_end::accepted;
    case decision::order_kind::load_adapter:
      return LoadAdapter(order);
    case decision::order_kind::unload_adapter:
      if (const auto found = replicas_.find(order.model);
          found != replicas_.end())
        found->second.adapters.erase(order.adapter);
      return order_end::accepted;
  }
  return order_end::failed;
}

order_end endpoint_model::LoadModel(const decision::endpoint_order& order) {
  const config::model* model = FindModel(order.model);
  if (model == nullptr)
    return order_end::failed;
  if (const auto found = replicas_.find(order.model);
      found != replicas_.end()) {
    // A model that is being unloaded cannot be loaded before it is removed.
    return found->second.state == resident_state::unloading
               ? order_end::failed
               : order_end::accepted;
  }
  if (MemoryUsed() + model->weights + model->cache_reserve > self_.memory) {
    listener_.on_violation("memory_overcommit",
                           self_.id.value() + " for " + order.model.value());
    return order_end::no_memory;
  }
  replica entry;
  entry.version = order.version;
  replicas_[order.model] = entry;
  const bool from_memory = in_memory_.contains(order.model) &&
                           order.source == decision::weight_source::memory;
  const bool from_disk = on_disk_.contains(order.model) &&
                         order.source != decision::weight_source::remote;
  const duration length = from_memory ? model->memory_load
                          : from_disk ? model->disk_load
                                      : model->remote_load;
  BeginLoad(length, !from_memory && !from_disk, stores_.models,
            [this, id = order.model] {
              const auto found = replicas_.find(id);
              if (found == replicas_.end() ||
                  found->second.state != resident_state::loading)
                return;
              found->second.state = resident_state::resident;
              on_disk_.insert(id);
              in_memory_.insert(id);
              BeginIdleTime(found->second);
              listener_.on_change();
            });
  listener_.on_change();
  return order_end::accepted;
}

void endpoint_model::BeginLoad(duration length,
                               bool remote,
                               store_model& store,
                               std::function<void()> done) {
  auto guarded = [this, run = incarnation_, done = std::move(done)] {
    if (run == incarnation_)
      done();
  };
  if (remote)
    store.Begin(length, std::move(guarded));
  else
    events_.After(length, std::move(guarded));
}

void endpoint_model::UnloadModel(const decision::endpoint_order& order) {
  const auto found = replicas_.find(order.model);
  if (found == replicas_.end() ||
      found->second.state == resident_state::unloading)
    return;
  if (found->second.state == resident_state::resident &&
      found->second.running_calls == 0)
    ReportIdleTime(order.model, found->second);
  found->second.state = resident_state::unloading;
  listener_.on_change();
  events_.After(kUnloadTime, [this, run = incarnation_, id = order.model] {
    if (run != incarnation_)
      return;
    replicas_.erase(id);
    listener_.on_change();
  });
}

order_end endpoint_model::LoadAdapter(const decision::endpoint_order& order) {
  const auto found = replicas_.find(order.model);
  if (found == replicas_.end() ||
      found->second.state != resident_state::resident)
    return order_end::failed;
  BeginLoad(kAdapterLoadTime, true, stores_.adapters,
            [this, id = order.model, adapter = order.adapter] {
              const auto resident = replicas_.find(id);
              if (resident == replicas_.end())
                return;
              resident->second.adapters.insert(adapter);
              if (MemoryUsed() > self_.memory)
                listener_.on_violation(
                    "memory_overcommit",
                    self_.id.value() + " for adapter " + adapter.value());
              listener_.on_change();
            });
  return order_end::accepted;
}

decision::endpoint_status endpoint_model::Status() const {
  decision::endpoint_status status;
  status.endpoint = self_.id;
  status.incarnation = self_.id.value() + "-" + std::to_string(incarnation_);
  status.fence = fence_;
  status.load.running = static_cast<int64_t>(runs_.size());
  for (const auto& [id, entry] : replicas_) {
    decision::resident_model model;
    model.model = id;
    model.version = entry.version;
    model.state = entry.state;
    model.adapters = {entry.adapters.begin(), entry.adapters.end()};
    status.models.push_back(std::move(model));
  }
  for (const model_id& id : on_disk_) {
    const config::model* model = FindModel(id);
    if (model == nullptr)
      continue;
    const auto where = in_memory_.contains(id)
                           ? decision::checkpoint_location::memory
                           : decision::checkpoint_location::disk;
    status.cached.push_back({id, model->version, where});
  }
  return status;
}

duration endpoint_model::FirstTokenTime(const endpoint_run& run) {
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), run.prefix);
  if (run.prefix != 0 && found != prefixes_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, found);
    return kFirstTokenTime;
  }
  if (run.prefix != 0)
    prefixes_.push_front(run.prefix);
  if (prefixes_.size() > kMaxCachedPrefixes)
    prefixes_.pop_back();
  return kFirstTokenTime + kTimePerPromptToken * run.prompt_tokens;
}

void endpoint_model::Run(endpoint_run run) {
  decision::attempt_report refused;
  refused.run = run_state::not_run;
  if (!running_) {
    refused.end = decision::attempt_end::connect_failed;
    return run.on_end(refused);
  }
  const auto found = replicas_.find(run.model);
  const bool is_model_call = !run.model.empty();
  if (is_model_call && (found == replicas_.end() ||
                        found->second.state != resident_state::resident)) {
    refused.end = decision::attempt_end::refused;
    return run.on_end(refused);
  }
  duration first = kPlainServiceTime;
  if (is_model_call) {
    if (found->second.running_calls++ == 0)
      ReportIdleTime(run.model, found->second);
    first = FirstTokenTime(run);
  }
  const std::string attempt = run.attempt;
  const bool is_poisoned = !poison_body_.empty() && run.body == poison_body_;
  runs_[attempt] = active_run{std::move(run), false};
  if (is_poisoned)
    return events_.After(first, [this, started = incarnation_] {
      if (started == incarnation_)
        Restart(kProcessRestartTime, false);
    });
  events_.After(first, [this, attempt] { SendFirstByte(attempt); });
}

void endpoint_model::SendFirstByte(const std::string& attempt) {
  const auto found = runs_.find(attempt);
  if (found == runs_.end())
    return;
  found->second.has_sent_first_byte = true;
  const int64_t tokens_left = found->second.run.output_tokens;
  events_.After(kTimePerOutputToken * tokens_left,
                [this, attempt] { CompleteAttempt(attempt); });
  const auto notify = found->second.run.on_first_byte;
  notify();
}

void endpoint_model::CompleteAttempt(const std::string& attempt) {
  const auto found = runs_.find(attempt);
  if (found == runs_.end())
    return;
  decision::attempt_report report;
  report.end = decision::attempt_end::answered;
  report.run = run_state::ran;
  report.generated = tokens(found->second.run.output_tokens);
  report.relayed = bytes(found->second.run.output_tokens + 1);
  EndAttempt(attempt, report);
}

void endpoint_model::Cancel(const std::string& attempt) {
  if (!runs_.contains(attempt))
    return;
  decision::attempt_report report;
  report.end = decision::attempt_end::cancelled;
  EndAttempt(attempt, report);
}

void endpoint_model::EndAttempt(const std::string& attempt,
                                decision::attempt_report report) {
  const auto found = runs_.find(attempt);
  const endpoint_run run = std::move(found->second.run);
  if (report.relayed == bytes() && found->second.has_sent_first_byte)
    report.relayed = bytes(1);
  runs_.erase(found);
  const auto entry = replicas_.find(run.model);
  if (entry != replicas_.end() && --entry->second.running_calls == 0 &&
      entry->second.state == resident_state::resident)
    BeginIdleTime(entry->second);
  run.on_end(report);
}

void endpoint_model::Restart(duration downtime, bool new_vm) {
  ReportOpenIdleTimes();
  ++incarnation_;
  running_ = false;
  replicas_.clear();
  accepted_orders_.clear();
  prefixes_.clear();
  fence_ = epoch();
  in_memory_.clear();
  if (new_vm)
    on_disk_.clear();
  decision::attempt_report report;
  report.end = decision::attempt_end::cut;
  report.endpoint_died = true;
  std::vector<std::string> attempts;
  for (const auto& [attempt, run] : runs_)
    attempts.push_back(attempt);
  for (const std::string& attempt : attempts)
    EndAttempt(attempt, report);
  events_.After(downtime, [this, run = incarnation_] {
    if (run != incarnation_)
      return;
    running_ = true;
    listener_.on_change();
  });
}

int64_t endpoint_model::ReplicasOf(const model_id& model) const {
  const auto found = replicas_.find(model);
  return found != replicas_.end() &&
                 found->second.state != resident_state::unloading
             ? 1
             : 0;
}

bool endpoint_model::IsReady(const model_id& model) const {
  const auto found = replicas_.find(model);
  return found != replicas_.end() &&
         found->second.state == resident_state::resident;
}

void endpoint_model::BeginIdleTime(replica& entry) {
  entry.idle_since = events_.now();
}

void endpoint_model::ReportIdleTime(const model_id& id, replica& entry) {
  const config::model* model = FindModel(id);
  const double memory_fraction =
      static_cast<double>((model->weights + model->cache_reserve).count()) /
      static_cast<double>(std::max<int64_t>(1, self_.memory.count()));
  listener_.on_idle(memory_fraction * static_cast<double>(self_.accelerators),
                    events_.now() - entry.idle_since);
  entry.idle_since = events_.now();
}

void endpoint_model::ReportOpenIdleTimes() {
  for (auto& [id, entry] : replicas_) {
    if (entry.running_calls == 0 && entry.state == resident_state::resident)
      ReportIdleTime(id, entry);
  }
}

}  // namespace jasminepath::replay
