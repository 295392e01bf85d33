#include "jasminepath/decision/admission/call_resolution.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>
#include <variant>

#include "jasminepath/base/digest.h"
#include "jasminepath/config/configuration_index.h"

namespace jasminepath::decision {
namespace {

// Number of hexadecimal digits of a fingerprint: 128 bits.
constexpr std::size_t kFingerprintHexDigits = 32;

refusal MakeNotRunRefusal(refusal_code code, std::string message) {
  return {code, run_state::not_run, std::move(message), std::nullopt};
}

result<authenticated_caller, refusal> Authenticate(const call_arrival& arrival,
                                                   const key_registry& keys) {
  if (!arrival.presented_key)
    return MakeNotRunRefusal(refusal_code::unauthenticated,
                             "a team key is required");
  const auto caller = keys.Check(*arrival.presented_key);
  if (caller)
    return caller.value();
  if (caller.error() == key_error::key_withdrawn)
    return MakeNotRunRefusal(refusal_code::unauthenticated,
                             "the team key has been withdrawn");
  return MakeNotRunRefusal(refusal_code::unauthenticated,
                           "the team key is not valid");
}

bool CanUse(const team_id& team,
            const config::service& service,
            const config::configuration& configuration) {
  const bool is_listed = service.teams.empty() ||
                         std::find(service.teams.begin(), service.teams.end(),
                                   team) != service.teams.end();
  return is_listed && config::FindTeam(configuration, team) != nullptr;
}

// Checks that the caller's team may use the service, and sets the weight.
result<void, refusal> Authorise(const config::configuration& configuration,
                                const config::service& service,
                                resolved_call& call) {
  if (!CanUse(call.caller.team, service, configuration)) {
    return MakeNotRunRefusal(
        refusal_code::forbidden,
        "the team may not use service " + service.id.value());
  }
  const config::team* team = config::FindTeam(configuration, call.caller.team);
  call.weight = std::max<int64_t>(team->weight, 1);
  return success();
}

request_fingerprint MakeFingerprint(const resolved_call& call,
                                    const std::string& target_name,
                                    const std::string& body_digest) {
  const std::string digest = Sha256Hex(call.caller.team.value() + "\n" +
                                       target_name + "\n" + body_digest);
  return request_fingerprint(digest.substr(0, kFingerprintHexDigits));
}

void CopyServiceFields(const config::service& service, resolved_call& call) {
  call.queue.service = service.id;
  call.priority = service.priority;
  call.queue_limit = service.queue_limit;
}

duration ComputeTimeAllowed(const call_arrival& arrival,
                            duration service_deadline,
                            const coordinator_limits& limits) {
  const duration bound = std::min(service_deadline, limits.max_deadline);
  return arrival.deadline ? std::min(*arrival.deadline, bound) : bound;
}

result<tokens, refusal> ResolveMaxTokens(const model_target& target,
                                         const coordinator_limits& limits) {
  if (!target.max_tokens)
    return limits.default_max_tokens;
  if (*target.max_tokens <= tokens(0))
    return MakeNotRunRefusal(refusal_code::bad_request,
                             "max_tokens must be at least 1");
  if (*target.max_tokens > limits.max_generated_tokens) {
    return MakeNotRunRefusal(
        refusal_code::bad_request,
        "max_tokens must be at most " +
            std::to_string(limits.max_generated_tokens.count()));
  }
  return *target.max_tokens;
}

bool HasAdapter(const config::model& model, const adapter_id& adapter) {
  return adapter.empty() ||
         std::any_of(
             model.adapters.begin(), model.adapters.end(),
             [&](const config::adapter& entry) { return entry.id == adapter; });
}

result<resolved_call, refusal> ResolveModelCall(
    const call_arrival& arrival,
    const model_target& target,
    const key_registry& keys,
    const config::configuration& configuration,
    const coordinator_limits& limits) {
  resolved_call call;
  BOOST_OUTCOME_TRY(caller, Authenticate(arrival, keys));
  call.caller = caller;
  const config::service* service =
      config::FindModelService(configuration, target.model);
  const config::model* model =
      service == nullptr ? nullptr : config::FindModel(*service, target.model);
  if (model == nullptr || !HasAdapter(*model, target.adapter)) {
    return MakeNotRunRefusal(refusal_code::not_found,
                             "no model named " + target.model.value() + " " +
                                 target.adapter.value());
  }
  BOOST_OUTCOME_TRYV(Authorise(configuration, *service, call));
  if (target.prompt_tokens > limits.max_prompt_tokens)
    return MakeNotRunRefusal(refusal_code::too_large, "the prompt is too long");
  BOOST_OUTCOME_TRY(max_tokens, ResolveMaxTokens(target, limits));
  call.max_tokens = max_tokens;
  CopyServiceFields(*service, call);
  call.queue.model = target.model;
  call.size = target.prompt_tokens + call.max_tokens;
  call.time_allowed = ComputeTimeAllowed(arrival, service->deadline, limits);
  call.fingerprint = MakeFingerprint(
      call, "model " + target.model.value() + " " + target.adapter.value(),
      arrival.body_digest);
  return call;
}

result<resolved_call, refusal> ResolveRouteCall(
    const call_arrival& arrival,
    const route_target& target,
    const key_registry& keys,
    const config::configuration& configuration,
    const coordinator_limits& limits) {
  resolved_call call;
  const config::route_match match =
      config::FindRoute(configuration, target.method, target.path);
  if (match.matched == nullptr) {
    return MakeNotRunRefusal(
        refusal_code::not_found,
        "no route for " + target.method + " " + target.path);
  }
  if (!match.matched->open) {
    BOOST_OUTCOME_TRY(caller, Authenticate(arrival, keys));
    call.caller = caller;
    BOOST_OUTCOME_TRYV(Authorise(configuration, *match.owner, call));
    call.size = match.matched->cost;
  }
  const bool needs_claim =
      arrival.idempotency_key && !match.matched->idempotent;
  if (needs_claim && call.caller.team.empty()) {
    return MakeNotRunRefusal(
        refusal_code::bad_request,
        "an Idempotency-Key needs a route that asks for a team key");
  }
  CopyServiceFields(*match.owner, call);
  call.idempotent = match.matched->idempotent;
  call.time_allowed =
      ComputeTimeAllowed(arrival, match.matched->deadline, limits);
  call.fingerprint = MakeFingerprint(
      call, "route " + target.method + " " + target.path, arrival.body_digest);
  return call;
}

}  // namespace

result<resolved_call, refusal> ResolveCall(
    const call_arrival& arrival,
    const key_registry& keys,
    const config::configuration& configuration,
    const coordinator_limits& limits) {
  if (const auto* model = std::get_if<model_target>(&arrival.target))
    return ResolveModelCall(arrival, *model, keys, configuration, limits);
  return ResolveRouteCall(arrival, std::get<route_target>(arrival.target), keys,
                          configuration, limits);
}

bool IsStillAllowed(const resolved_call& call,
                    const config::configuration& configuration) {
  const auto service = std::find_if(
      configuration.services.begin(), configuration.services.end(),
      [&](const auto& entry) { return entry.id == call.queue.service; });
  if (service == configuration.services.end())
    return false;
  return call.caller.team.empty() ||
         CanUse(call.caller.team, *service, configuration);
}

}  // namespace jasminepath::decision
