#include "jasminepath/decision/admission/call_state.h"

#include <algorithm>
#include <variant>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

run_state KnownRunState(const call_state& call) {
  if (!call.has_running_attempt)
    return call.run;
  const run_state current =
      call.has_first_byte ? run_state::ran : run_state::unknown;
  return MergeRunStates(call.run, current);
}

run_state MergeRunStates(run_state known, run_state attempt) {
  if (known == run_state::ran || attempt == run_state::ran)
    return run_state::ran;
  if (known == run_state::unknown || attempt == run_state::unknown)
    return run_state::unknown;
  return run_state::not_run;
}

tokens ComputeUsedTokens(const call_state& call) {
  if (call.run == run_state::not_run)
    return tokens(0);
  const auto* model = std::get_if<model_target>(&call.arrival.target);
  if (model == nullptr)
    return call.resolved.size;
  return std::min(model->prompt_tokens + call.generated, call.resolved.size);
}

routing_query MakeRoutingQuery(const call_state& call) {
  routing_query query;
  query.service = call.resolved.queue.service;
  query.model = call.resolved.queue.model;
  query.size = call.resolved.size;
  query.priority = call.resolved.priority;
  query.deadline = call.deadline;
  query.avoid = call.avoid;
  if (const auto* model = std::get_if<model_target>(&call.arrival.target)) {
    query.adapter = model->adapter;
    query.prefix_hash = model->prefix_hash;
  }
  // Copies of one request that arrive at several nodes should reach the same
  // endpoint, so that a request which crashes endpoints takes down few of them.
  if (query.prefix_hash == 0)
    query.prefix_hash = StableHash(call.resolved.fingerprint.value());
  return query;
}

}  // namespace jasminepath::decision
