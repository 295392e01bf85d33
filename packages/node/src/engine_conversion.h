#ifndef JASMINEPATH_NODE_ENGINE_CONVERSION_H_
#define JASMINEPATH_NODE_ENGINE_CONVERSION_H_

#include <vector>

#include "jasminepath/base/result.h"
#include "jasminepath/decision/placement/endpoint_status.h"
#include "jasminepath/decision/placement/placement_action.h"
#include "jasminepath/decision/routing/cache_event.h"
#include "jasminepath/endpoint/engine_client.h"
#include "jasminepath/endpoint/engine_types.h"

// Converts between the types of the endpoint and decision packages.
namespace jasminepath::node {

// `age` is the time since the status request was sent.
decision::endpoint_status ToDecision(const endpoint_id& id,
                                     const endpoint::engine_status& status,
                                     duration age);

// Skips events whose prefix is not a hexadecimal hash.
std::vector<decision::cache_event> ToDecision(
    const endpoint_id& id,
    const endpoint::cache_event_page& page);

endpoint::engine_order ToEngine(const decision::endpoint_order& order);

decision::order_end ToDecision(
    const result<endpoint::order_answer, endpoint::engine_error>& answer);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ENGINE_CONVERSION_H_
