#include "placement/weight_store_limiter.h"

#include <algorithm>

namespace jasminepath::decision {

namespace {

// A queued request that was not repeated within this time is dropped.
constexpr duration kRequestTimeout = Seconds(5);

}  // namespace

void weight_store_limiter::OnRequest(const instance_id& from,
                                     const store_request& request,
                                     time_point now) {
  entry& load_entry = entries_[request.load];
  load_entry.from = from;
  load_entry.kind = request.kind;
  load_entry.urgency = request.urgency;
  load_entry.requested_at = now;
  load_entry.needs_grant = load_entry.is_running;
}

void weight_store_limiter::OnRelease(const store_release& release) {
  entries_.erase(release.load);
}

void weight_store_limiter::OnInstanceEnded(const instance_id& instance) {
  std::erase_if(entries_, [&instance](const auto& item) {
    return item.second.from == instance;
  });
}

std::vector<weight_store_limiter::granted_load>
weight_store_limiter::TakeGrants(time_point now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const entry& load_entry = item.second;
    return load_entry.is_running
               ? now - load_entry.started_at > lease_
               : now - load_entry.requested_at > kRequestTimeout;
  });
  StartLoads(store_load::model, now);
  StartLoads(store_load::adapter, now);
  std::vector<granted_load> grants;
  for (auto& [load, load_entry] : entries_) {
    if (!load_entry.needs_grant)
      continue;
    load_entry.needs_grant = false;
    grants.push_back({load_entry.from, load});
  }
  return grants;
}

int64_t weight_store_limiter::ModelLoadCount() const {
  return std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.kind == store_load::model;
  });
}

int64_t weight_store_limiter::RunningCount(store_load kind) const {
  return std::count_if(
      entries_.begin(), entries_.end(), [kind](const auto& item) {
        return item.second.is_running && item.second.kind == kind;
      });
}

int64_t weight_store_limiter::MaxRunning(store_load kind) const {
  return kind == store_load::model ? limits_.full_speed_loads
                                   : limits_.full_speed_adapter_loads;
}

void weight_store_limiter::StartLoads(store_load kind, time_point now) {
  for (int64_t available = MaxRunning(kind) - RunningCount(kind); available > 0;
       --available) {
    entry* next = nullptr;
    for (auto& [load, load_entry] : entries_) {
      if (load_entry.is_running || load_entry.kind != kind)
        continue;
      if (next == nullptr || load_entry.urgency > next->urgency)
        next = &load_entry;
    }
    if (next == nullptr)
      return;
    next->is_running = true;
    next->needs_grant = true;
    next->started_at = now;
  }
}

}  // namespace jasminepath::decision
