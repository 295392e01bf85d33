#ifndef JASMINEPATH_DECISION_ADMISSION_ADMISSION_FIXTURE_H_
#define JASMINEPATH_DECISION_ADMISSION_ADMISSION_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/fake_router.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/decision/admission/call_coordinator.h"

namespace jasminepath::decision {

// Configuration with the teams "beads" and "pegs" (keys "kb" and "kp", secret
// "secret"), the model "m" and the plain service "shop".
inline std::shared_ptr<const config::configuration> MakeTestConfiguration(
    tokens rate = tokens(10'000),
    tokens burst = tokens(100'000)) {
  auto made = std::make_shared<config::configuration>();
  made->version = revision(1);
  made->teams = {{team_id("beads"), rate, burst, 1},
                 {team_id("pegs"), rate, burst, 1}};
  config::service models;
  models.id = service_id("assistant");
  models.kind = config::service_kind::model;
  models.deadline = Seconds(60);
  config::model model;
  model.id = model_id("m");
  models.models = {model};
  config::service shop;
  shop.id = service_id("shop");
  shop.teams = {team_id("beads")};
  shop.routes = {
      {"GET", "/stock", true, true, tokens(1), Seconds(5)},
      {"GET", "/orders", true, false, tokens(1), Seconds(5)},
      {"POST", "/orders", false, false, tokens(10), Seconds(5)},
  };
  made->services = {models, shop};
  return made;
}

inline config::team_key MakeTestKey(const std::string& id,
                                    const std::string& team) {
  return {key_id(id), team_id(team), Sha256Hex("secret"), false};
}

// Returns the actions of one type.
template <typename Action>
std::vector<Action> ActionsOfType(const std::vector<call_action>& actions) {
  std::vector<Action> selected;
  for (const call_action& action : actions) {
    if (const auto* found = std::get_if<Action>(&action))
      selected.push_back(*found);
  }
  return selected;
}

// One node with the whole rate of each team and full buckets.
struct admission_fixture {
  explicit admission_fixture(int64_t endpoints = 3, int64_t slots = 4)
      : router(endpoints, slots),
        calls(instance_id("n1"), router, random_engine(7), {}) {
    Advance(Seconds(1));
    calls.OnConfiguration(MakeTestConfiguration(), now, actions);
    calls.OnKeyFact(MakeTestKey("kb", "beads"), revision(2), now, actions);
    calls.OnKeyFact(MakeTestKey("kp", "pegs"), revision(3), now, actions);
    for (const char* team : {"beads", "pegs"})
      calls.OnShare(team_id(team), kWholeFractionPpm, now, actions);
    calls.OnReadiness(true, refusal_code::isolated, now, actions);
    Advance(Seconds(60));
  }

  void Advance(duration step) {
    now += step;
    calls.OnTick(now, actions);
  }
  call_arrival ModelCall(const std::string& id,
                         const std::string& key = "kb.secret") {
    call_arrival arrival;
    arrival.id = request_id(id);
    arrival.presented_key = key;
    arrival.target =
        model_target{model_id("m"), {}, tokens(100), tokens(50), 1};
    arrival.body_digest = "digest of " + id;
    return arrival;
  }
  call_arrival RouteCall(const std::string& id,
                         const std::string& method,
                         const std::string& path) {
    call_arrival arrival = ModelCall(id);
    arrival.target = route_target{method, path};
    return arrival;
  }
  call_arrival Booking(const std::string& id, const std::string& key) {
    call_arrival arrival = RouteCall(id, "POST", "/orders");
    arrival.body_digest = "one booking";
    arrival.idempotency_key = key;
    return arrival;
  }
  void Arrive(const call_arrival& arrival) {
    actions.clear();
    calls.OnArrival(arrival, now, actions);
  }
  void EndAttempt(const std::string& id,
                  const attempt_report& report,
                  int64_t attempt = 1) {
    actions.clear();
    calls.OnAttemptEnd(request_id(id), attempt, report, now, actions);
  }
  template <typename Action>
  std::vector<Action> EmittedActions() const {
    return ActionsOfType<Action>(actions);
  }

  time_point now;
  fake_router router;
  call_coordinator<fake_router> calls;
  std::vector<call_action> actions;
};

inline attempt_report Answered(int64_t generated = 20) {
  return {.end = attempt_end::answered,
          .run = run_state::ran,
          .generated = tokens(generated),
          .relayed = bytes(100),
          .endpoint_died = false,
          .resume_position = std::nullopt};
}

inline attempt_report Failed(attempt_end end, run_state run) {
  return {.end = end,
          .run = run,
          .generated = tokens(0),
          .relayed = bytes(0),
          .endpoint_died = false,
          .resume_position = std::nullopt};
}

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_ADMISSION_FIXTURE_H_
