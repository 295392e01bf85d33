#include "placement/site_view.h"

#include <algorithm>
#include <utility>

namespace jasminepath::decision {

void site_view::OnConfiguration(const config::configuration& source) {
  weights_ = source.weights;
  store_ = source.store;
  std::map<vm_id, vm_view> vms;
  vm_of_.clear();
  models_.clear();
  for (const config::service& service : source.services) {
    if (service.kind != config::service_kind::model)
      continue;
    std::vector<vm_id> members;
    for (const config::endpoint& endpoint : service.endpoints) {
      const auto known = vms_.find(endpoint.vm);
      vm_view view = known == vms_.end() ? vm_view() : known->second;
      view.vm = endpoint.vm;
      view.endpoint = endpoint;
      view.service = service.id;
      view.is_leaving = leaving_.contains(endpoint.vm);
      view.has_ended = ended_.contains(endpoint.vm);
      vm_of_[endpoint.id] = endpoint.vm;
      members.push_back(endpoint.vm);
      vms[endpoint.vm] = std::move(view);
    }
    const auto shared =
        std::make_shared<const std::vector<vm_id>>(std::move(members));
    for (const config::model& model : service.models)
      models_[model.id] = {model, service.id, service.endpoint_concurrency,
                           shared};
  }
  vms_ = std::move(vms);
}

bool site_view::OnVmList(const std::vector<vm_id>& live,
                         const std::vector<vm_id>& leaving,
                         duration list_lag,
                         time_point now) {
  const std::set<vm_id> leaving_before = leaving_;
  const std::set<vm_id> ended_before = ended_;
  std::set<vm_id> listed(live.begin(), live.end());
  listed.insert(leaving.begin(), leaving.end());
  for (const vm_id& vm : listed_) {
    if (!listed.contains(vm))
      ended_.insert(vm);
  }
  for (const auto& [vm, view] : vms_) {
    if (listed.contains(vm))
      continue;
    const time_point since = missing_since_.try_emplace(vm, now).first->second;
    if (now - since >= list_lag)
      ended_.insert(vm);
  }
  for (const vm_id& vm : listed) {
    ended_.erase(vm);
    missing_since_.erase(vm);
  }
  leaving_ = std::set<vm_id>(leaving.begin(), leaving.end());
  listed_ = std::move(listed);
  for (auto& [vm, view] : vms_) {
    view.is_leaving = leaving_.contains(vm);
    view.has_ended = ended_.contains(vm);
  }
  return leaving_ != leaving_before || ended_ != ended_before;
}

const vm_view* site_view::OnStatus(const endpoint_status& status,
                                   time_point now) {
  const auto found = vm_of_.find(status.endpoint);
  if (found == vm_of_.end())
    return nullptr;
  vm_view& view = vms_[found->second];
  const time_point observed_at = now - status.age;
  if (view.has_status && observed_at < view.observed_at)
    return nullptr;
  view.status = status;
  view.has_status = true;
  view.observed_at = observed_at;
  view.is_reachable = true;
  return &view;
}

const vm_view* site_view::OnUnreachable(const endpoint_id& endpoint) {
  const auto found = vm_of_.find(endpoint);
  if (found == vm_of_.end())
    return nullptr;
  vm_view& view = vms_[found->second];
  view.is_reachable = false;
  return &view;
}

const vm_view* site_view::FindVm(const vm_id& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? nullptr : &found->second;
}

const vm_view* site_view::FindEndpoint(const endpoint_id& endpoint) const {
  const auto found = vm_of_.find(endpoint);
  return found == vm_of_.end() ? nullptr : FindVm(found->second);
}

const model_view* site_view::FindModel(const model_id& model) const {
  const auto found = models_.find(model);
  return found == models_.end() ? nullptr : &found->second;
}

bytes site_view::ReplicaSize(const model_id& model) const {
  const model_view* view = FindModel(model);
  if (view == nullptr)
    return bytes();
  return view->model.weights + view->model.cache_reserve;
}

bytes site_view::AdapterSize(const model_id& model,
                             const adapter_id& adapter) const {
  const model_view* view = FindModel(model);
  if (view == nullptr)
    return bytes();
  for (const config::adapter& entry : view->model.adapters) {
    if (entry.id == adapter)
      return entry.size;
  }
  return bytes();
}

weight_source site_view::NearestSource(const model_view& model,
                                       const vm_view& vm) const {
  weight_source nearest = weight_source::remote;
  for (const cached_checkpoint& entry : vm.status.cached) {
    if (entry.model != model.model.id || entry.version != model.model.version)
      continue;
    if (entry.location == checkpoint_location::memory)
      return weight_source::memory;
    nearest = weight_source::disk;
  }
  return nearest;
}

duration site_view::LoadTime(const config::model& model, weight_source source) {
  switch (source) {
    case weight_source::memory:
      return model.memory_load;
    case weight_source::disk:
      return model.disk_load;
    case weight_source::remote:
      break;
  }
  return model.remote_load;
}

}  // namespace jasminepath::decision
