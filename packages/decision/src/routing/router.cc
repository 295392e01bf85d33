#include "jasminepath/decision/routing/router.h"

#include <utility>

#include "routing/router_state.h"

namespace jasminepath::decision {

router::router(zone_id zone, random_engine random, routing_limits limits)
    : state_(std::make_unique<state>(std::move(zone), random, limits)) {}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::OnConfiguration(
    std::shared_ptr<const config::configuration> source,
    time_point) {
  state_->OnConfiguration(*source);
}

void router::OnEndpointStatus(const endpoint_status& status, time_point now) {
  state_->OnEndpointStatus(status, now);
}

void router::OnEndpointUnreachable(const endpoint_id& endpoint,
                                   time_point now) {
  state_->OnEndpointUnreachable(endpoint, now);
}

void router::OnVmList(const std::vector<vm_id>& leaving,
                      const std::vector<vm_id>& live,
                      time_point) {
  state_->OnVmList(leaving, live);
}

void router::OnCacheEvents(const std::vector<cache_event>& events, time_point) {
  state_->OnCacheEvents(events);
}

void router::OnReplicaReady(const model_id& model,
                            const endpoint_id& endpoint,
                            time_point now) {
  state_->OnReplicaReady(model, endpoint, now);
}

void router::OnLoadEstimate(const model_id& model,
                            duration estimate,
                            time_point now) {
  state_->OnLoadEstimate(model, estimate, now);
}

routing_choice router::Pick(const routing_query& query, time_point now) {
  return state_->Pick(query, now);
}

void router::OnDispatched(const endpoint_id& endpoint,
                          const routing_query& query,
                          time_point now) {
  state_->OnDispatched(endpoint, query, now);
}

void router::OnFinished(const endpoint_id& endpoint,
                        const routing_query&,
                        attempt_end end,
                        time_point now) {
  state_->OnFinished(endpoint, end, now);
}

bool router::ShouldUseNewConnection(const endpoint_id& endpoint) const {
  return state_->ShouldUseNewConnection(endpoint);
}

std::vector<adapter_need> router::TakeAdapterNeeds() {
  return state_->TakeAdapterNeeds();
}

bool router::HasReadyReplica(const model_id& model) const {
  return state_->HasReadyReplica(model);
}

std::vector<endpoint_routing_status> router::Status(time_point now) const {
  return state_->Status(now);
}

static_assert(endpoint_router<router>);

}  // namespace jasminepath::decision
