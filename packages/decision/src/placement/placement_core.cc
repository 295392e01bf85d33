#include "jasminepath/decision/placement/placement_core.h"

#include <utility>

#include "placement/placement_state.h"

namespace jasminepath::decision {

placement_core::placement_core(instance_id self,
                               zone_id zone,
                               random_engine random,
                               placement_limits limits)
    : state_(std::make_unique<state>(std::move(self),
                                     std::move(zone),
                                     random,
                                     limits)) {}

placement_core::~placement_core() = default;
placement_core::placement_core(placement_core&&) noexcept = default;
placement_core& placement_core::operator=(placement_core&&) noexcept = default;

void placement_core::OnConfiguration(
    std::shared_ptr<const config::configuration> source,
    time_point now,
    action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnConfiguration(*source);
  state_->FinishEvent();
}

void placement_core::OnLocalDemand(const std::vector<model_demand>& demands,
                                   time_point now,
                                   action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnLocalDemand(demands);
  state_->FinishEvent();
}

void placement_core::OnAdapterNeeds(const std::vector<adapter_need>& needs,
                                    time_point now,
                                    action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnAdapterNeeds(needs);
  state_->FinishEvent();
}

void placement_core::OnPeers(const std::vector<instance_id>& live,
                             time_point now,
                             action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnPeers(live);
  state_->FinishEvent();
}

void placement_core::OnInstanceEnded(const instance_id& instance,
                                     time_point now,
                                     action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnInstanceEnded(instance);
  state_->FinishEvent();
}

void placement_core::OnInstanceSuspected(const instance_id& instance,
                                         time_point now,
                                         action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnInstanceSuspected(instance);
  state_->FinishEvent();
}

void placement_core::OnVmList(const std::vector<vm_id>& live,
                              const std::vector<vm_id>& leaving,
                              time_point now,
                              action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnVmList(live, leaving);
  state_->FinishEvent();
}

void placement_core::OnEndpointStatus(const endpoint_status& status,
                                      time_point now,
                                      action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnEndpointStatus(status);
  state_->FinishEvent();
}

void placement_core::OnEndpointUnreachable(const endpoint_id& endpoint,
                                           time_point now,
                                           action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnEndpointUnreachable(endpoint);
  state_->FinishEvent();
}

void placement_core::OnOrderOutcome(const order_outcome& outcome,
                                    time_point now,
                                    action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnOrderOutcome(outcome);
  state_->FinishEvent();
}

void placement_core::OnAuthorityRow(const authority_row& row,
                                    time_point now,
                                    action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnAuthorityRow(row);
  state_->FinishEvent();
}

void placement_core::OnAuthorityReadFailed(const authority_key& key,
                                           time_point now,
                                           action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnAuthorityReadFailed(key);
  state_->FinishEvent();
}

void placement_core::OnAuthorityCommit(const authority_outcome& outcome,
                                       time_point now,
                                       action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnAuthorityCommit(outcome);
  state_->FinishEvent();
}

void placement_core::OnPlacementMessage(const instance_id& from,
                                        const placement_message& message,
                                        time_point now,
                                        action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnMessage(from, message);
  state_->FinishEvent();
}

void placement_core::OnDrain(time_point now, action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnDrain();
  state_->FinishEvent();
}

void placement_core::OnTick(time_point now, action_list& actions) {
  state_->BeginEvent(now, actions);
  state_->OnTick();
  state_->FinishEvent();
}

time_point placement_core::NextDeadline(time_point now) const {
  return state_->NextDeadline(now);
}

std::vector<model_arrivals> placement_core::TakeArrivals() {
  return state_->TakeArrivals();
}

std::vector<decided_model> placement_core::DecidedModels() const {
  return state_->DecidedModels();
}

void placement_core::SetKeepWarm(const model_id& model, duration keep) {
  state_->SetKeepWarm(model, keep);
}

placement_status placement_core::Status(time_point) const {
  return state_->Status();
}

bool placement_core::drained() const {
  return state_->drained();
}

}  // namespace jasminepath::decision
