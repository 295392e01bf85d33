#include "placement/store_gate.h"

#include <algorithm>

namespace jasminepath::decision {

namespace {

// A queued request that was not repeated for this long is forgotten.
constexpr duration kRequestLifetime = Seconds(5);

}  // namespace

void store_gate::OnRequest(const instance_id& from,
                           const store_request& request,
                           time_point now) {
  entry& known = entries_[request.load];
  known.from = from;
  known.kind = request.kind;
  known.urgency = request.urgency;
  known.asked_at = now;
  known.announce = known.running;
}

void store_gate::OnRelease(const store_release& release) {
  entries_.erase(release.load);
}

void store_gate::OnInstanceEnded(const instance_id& instance) {
  std::erase_if(entries_, [&instance](const auto& item) {
    return item.second.from == instance;
  });
}

std::vector<store_gate::granted_load> store_gate::TakeGrants(time_point now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const entry& known = item.second;
    return known.running ? now - known.started_at > lease_
                         : now - known.asked_at > kRequestLifetime;
  });
  Start(store_load::model, now);
  Start(store_load::adapter, now);
  std::vector<granted_load> grants;
  for (auto& [load, known] : entries_) {
    if (!known.announce)
      continue;
    known.announce = false;
    grants.push_back({known.from, load});
  }
  return grants;
}

int64_t store_gate::ModelLoads() const {
  return std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.kind == store_load::model;
  });
}

int64_t store_gate::Running(store_load kind) const {
  return std::count_if(entries_.begin(), entries_.end(),
                       [kind](const auto& item) {
                         return item.second.running && item.second.kind == kind;
                       });
}

int64_t store_gate::Limit(store_load kind) const {
  return kind == store_load::model ? limits_.full_speed_loads
                                   : limits_.full_speed_adapter_loads;
}

void store_gate::Start(store_load kind, time_point now) {
  for (int64_t room = Limit(kind) - Running(kind); room > 0; --room) {
    entry* next = nullptr;
    for (auto& [load, known] : entries_) {
      if (known.running || known.kind != kind)
        continue;
      if (next == nullptr || known.urgency > next->urgency)
        next = &known;
    }
    if (next == nullptr)
      return;
    next->running = true;
    next->announce = true;
    next->started_at = now;
  }
}

}  // namespace jasminepath::decision
