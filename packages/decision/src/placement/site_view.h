#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_SITE_VIEW_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_SITE_VIEW_H_

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::decision {

// State of one engine VM as this node knows it.
struct vm_view {
  vm_id vm;
  config::endpoint endpoint;
  service_id service;
  // The last status received; valid only if `has_status`.
  endpoint_status status;
  bool has_status = false;
  // Lower bound of the time at which the last status was taken.
  time_point observed_at;
  bool is_reachable = false;
  bool is_leaving = false;
  // The VM has ended according to the list of the platform.
  bool has_ended = false;
};

// A model and the service that offers it.
struct model_view {
  config::model model;
  service_id service;
  int64_t endpoint_concurrency = 1;
  // VMs of the service; all models of the service share the list.
  std::shared_ptr<const std::vector<vm_id>> vms;
};

// Configuration, VM list and engine statuses, indexed for placement. A VM runs
// at most one engine.
class site_view {
 public:
  void OnConfiguration(const config::configuration& source);
  // Updates the VM list. A VM has ended when it is no longer listed. A
  // configured VM that has been missing for `list_lag` also counts as ended: it
  // ended before this node started, or it has not started yet. Returns whether
  // the set of leaving VMs or the set of ended VMs has changed.
  bool OnVmList(const std::vector<vm_id>& live,
                const std::vector<vm_id>& leaving,
                duration list_lag,
                time_point now);
  // Both return the VM of the engine, or null if the endpoint is not an engine.
  // OnStatus also returns null if the status is older than the last one.
  const vm_view* OnStatus(const endpoint_status& status, time_point now);
  const vm_view* OnUnreachable(const endpoint_id& endpoint);

  const vm_view* FindVm(const vm_id& vm) const;
  const vm_view* FindEndpoint(const endpoint_id& endpoint) const;
  const model_view* FindModel(const model_id& model) const;
  // Whether the VM has ended according to the list of the platform.
  bool HasEnded(const vm_id& vm) const { return ended_.contains(vm); }
  const std::map<vm_id, vm_view>& vms() const { return vms_; }
  const config::site_weights& weights() const { return weights_; }
  const config::weight_store& store() const { return store_; }

  // Memory that a replica or an adapter uses; 0 if it is unknown.
  bytes ReplicaSize(const model_id& model) const;
  bytes AdapterSize(const model_id& model, const adapter_id& adapter) const;
  // Returns the fastest source of the model's weights for the VM.
  weight_source NearestSource(const model_view& model, const vm_view& vm) const;
  // Expected time of one load from the source at full speed.
  static duration LoadTime(const config::model& model, weight_source source);

 private:
  std::map<vm_id, vm_view> vms_;
  std::unordered_map<endpoint_id, vm_id> vm_of_;
  std::unordered_map<model_id, model_view> models_;
  std::set<vm_id> listed_;
  std::set<vm_id> leaving_;
  std::set<vm_id> ended_;
  std::map<vm_id, time_point> missing_since_;
  config::site_weights weights_;
  config::weight_store store_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_SITE_VIEW_H_
