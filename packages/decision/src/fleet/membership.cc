#include "jasminepath/decision/fleet/membership.h"

#include <tuple>

namespace jasminepath::decision {

bool IsSuccessor(const instance_record& later, const instance_record& earlier) {
  if (later.vm != earlier.vm || later.id == earlier.id)
    return false;
  return std::tie(later.started, later.id) >
         std::tie(earlier.started, earlier.id);
}

std::vector<instance_id> membership::OnRow(const instance_row& row) {
  std::vector<instance_id> ended;
  const instance_id id(row.key);
  if (row.deleted) {
    End(id, ended);
    RebuildLists();
    return ended;
  }
  if (HasEnded(id))
    return ended;
  registered_[id] = row.value;
  std::vector<instance_id> superseded;
  for (const auto& [other_id, other] : registered_) {
    if (IsSuccessor(row.value, other))
      superseded.push_back(other_id);
    if (IsSuccessor(other, row.value))
      superseded.push_back(id);
  }
  for (const instance_id& predecessor : superseded)
    End(predecessor, ended);
  RebuildLists();
  return ended;
}

void membership::End(const instance_id& id, std::vector<instance_id>& ended) {
  if (!ended_.insert(id).second)
    return;
  registered_.erase(id);
  suspected_.erase(id);
  leaving_.erase(id);
  ended.push_back(id);
}

bool membership::SetSuspected(const instance_id& id, bool suspected) {
  if (!registered_.contains(id))
    return false;
  const bool changed =
      suspected ? suspected_.insert(id).second : suspected_.erase(id) > 0;
  if (changed)
    RebuildLists();
  return changed;
}

bool membership::SetLeaving(const instance_id& id) {
  if (!registered_.contains(id))
    return false;
  const bool changed = leaving_.insert(id).second;
  if (changed)
    RebuildLists();
  return changed;
}

const instance_record* membership::Find(const instance_id& id) const {
  const auto found = registered_.find(id);
  return found == registered_.end() ? nullptr : &found->second;
}

bool membership::HasEnded(const instance_id& id) const {
  return ended_.contains(id);
}

bool membership::HasEnded(const instance_id& id, revision named_at) const {
  if (HasEnded(id))
    return true;
  return !registered_.contains(id) && reflects_through_ >= named_at;
}

bool membership::IsSuspected(const instance_id& id) const {
  return suspected_.contains(id);
}

bool membership::IsLeaving(const instance_id& id) const {
  return leaving_.contains(id);
}

std::vector<instance_record> membership::Registered() const {
  std::vector<instance_record> records;
  records.reserve(registered_.size());
  for (const auto& [id, record] : registered_)
    records.push_back(record);
  return records;
}

void membership::RebuildLists() {
  non_leaving_.clear();
  live_.clear();
  for (const auto& [id, record] : registered_) {
    if (leaving_.contains(id))
      continue;
    non_leaving_.push_back(id);
    if (!suspected_.contains(id))
      live_.push_back(id);
  }
}

const instance_record* membership::FindOnVm(const vm_id& vm) const {
  for (const auto& [id, record] : registered_) {
    if (record.vm == vm)
      return &record;
  }
  return nullptr;
}

}  // namespace jasminepath::decision
