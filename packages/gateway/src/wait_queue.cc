#include "wait_queue.h"

#include "call_session.h"

namespace jasminepath::gateway {
namespace {

// Time after the last arrival for which a model without waiting calls stays in
// the digest: several digest intervals, so that a lost digest does no harm.
constexpr duration kDemandRetention = Seconds(3);

}  // namespace

void wait_queue::CountArrival(const model_id& model,
                              const adapter_id& adapter,
                              time_point now) {
  use& known = uses_[{model, adapter}];
  ++known.arrivals;
  known.last_arrived_at = now;
}

void wait_queue::Add(call_session& call,
                     int64_t priority,
                     time_point deadline,
                     const model_id& model,
                     const adapter_id& adapter,
                     bool for_load) {
  Remove(call);
  const order_key key{priority, deadline, &call};
  waiting_.emplace(key, waiter{&call, {model, adapter}, for_load});
  keys_.emplace(&call, key);
  if (!for_load)
    return;
  ++uses_[{model, adapter}].waiting;
  has_new_load_demand_ = true;
}

void wait_queue::Remove(call_session& call) {
  const auto found = keys_.find(&call);
  if (found == keys_.end())
    return;
  const auto entry = waiting_.find(found->second);
  if (entry->second.for_load)
    --uses_[entry->second.key].waiting;
  waiting_.erase(entry);
  keys_.erase(found);
}

void wait_queue::WakeAll() {
  std::vector<std::shared_ptr<call_session>> calls;
  calls.reserve(waiting_.size());
  for (const auto& [key, entry] : waiting_)
    calls.push_back(entry.call->shared_from_this());
  for (const auto& call : calls)
    call->Wake();
}

void wait_queue::SetReadyAt(const model_id& model, time_point ready_at) {
  ready_at_[model] = ready_at;
}

time_point wait_queue::ReadyAt(const model_id& model) const {
  const auto found = ready_at_.find(model);
  return found == ready_at_.end() ? time_point{} : found->second;
}

std::vector<model_usage> wait_queue::Demand(time_point now) const {
  std::vector<model_usage> demand;
  for (const auto& [key, known] : uses_) {
    if (known.waiting > 0 || now - known.last_arrived_at < kDemandRetention)
      demand.push_back({key.first, key.second, known.waiting, known.arrivals});
  }
  return demand;
}

}  // namespace jasminepath::gateway
