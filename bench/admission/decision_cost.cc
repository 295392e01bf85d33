#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/base/digest.h"
#include "jasminepath/decision/admission/call_coordinator.h"
#include "measurements.h"

namespace jasminepath::bench {
namespace {

using decision::call_action;

constexpr int kCalls = 200'000;

// A router that always finds an endpoint, or never does.
class stub_router {
 public:
  explicit stub_router(bool has_capacity = true)
      : has_capacity_(has_capacity) {}
  decision::routing_choice Pick(const decision::routing_query&, time_point) {
    if (!has_capacity_)
      return {decision::routing_verdict::wait, {}, {}};
    return {decision::routing_verdict::picked, endpoint_id("e"), "10.0.0.1:80"};
  }
  void OnDispatched(const endpoint_id&,
                    const decision::routing_query&,
                    time_point) {}
  void OnFinished(const endpoint_id&,
                  const decision::routing_query&,
                  decision::attempt_end,
                  time_point) {}

 private:
  bool has_capacity_;
};

std::shared_ptr<const config::configuration> MakeConfiguration(int models,
                                                               int teams) {
  auto made = std::make_shared<config::configuration>();
  made->version = revision(1);
  for (int i = 0; i < teams; ++i) {
    made->teams.push_back({team_id("t" + std::to_string(i)),
                           tokens(1'000'000'000), tokens(2'000'000'000), 1});
  }
  config::service service;
  service.id = service_id("models");
  service.kind = config::service_kind::model;
  for (int i = 0; i < models; ++i) {
    config::model model;
    model.id = model_id("m" + std::to_string(i));
    service.models.push_back(model);
  }
  made->services = {service};
  return made;
}

void Measure(int models, int teams, int open_calls) {
  stub_router router;
  decision::call_coordinator<stub_router> calls(
      instance_id("n"), router, random_engine(1), {.max_calls = 100'000});
  std::vector<call_action> actions;
  time_point now(Seconds(1));
  calls.OnConfiguration(MakeConfiguration(models, teams), now, actions);
  for (int i = 0; i < teams; ++i) {
    const std::string number = std::to_string(i);
    calls.OnKeyFact({key_id("k" + number), team_id("t" + number),
                     Sha256Hex("secret"), false},
                    revision(1), now, actions);
    calls.OnShare(team_id("t" + number), decision::kWholeFractionPpm, now,
                  actions);
  }
  calls.OnReadiness(true, refusal_code::isolated, now, actions);
  now += Seconds(10);
  decision::attempt_report report;
  report.end = decision::attempt_end::answered;
  report.run = run_state::ran;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls + open_calls; ++i) {
    now += std::chrono::microseconds(10);
    actions.clear();
    if (i < kCalls) {
      decision::call_arrival arrival;
      arrival.id = request_id("r" + std::to_string(i));
      arrival.presented_key = "k" + std::to_string(i % teams) + ".secret";
      arrival.target =
          decision::model_target{model_id("m" + std::to_string(i % models)),
                                 {},
                                 tokens(100),
                                 tokens(200),
                                 1};
      arrival.body_digest = std::to_string(i);
      calls.OnArrival(std::move(arrival), now, actions);
    }
    if (i >= open_calls) {
      calls.OnAttemptEnd(request_id("r" + std::to_string(i - open_calls)), 1,
                         report, now, actions);
    }
    if (calls.NextDeadline() <= now)
      calls.OnTick(now, actions);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  std::printf(
      "measure=decision_cost models=%d teams=%d open_calls=%d calls=%d "
      "microseconds_per_call=%.2f\n",
      models, teams, open_calls, kCalls, seconds / kCalls * 1e6);
}

// Heap bytes per call that waits for an endpoint.
void MeasureWaitingCall() {
  constexpr int kWaitingCalls = 8000;
  stub_router router(false);
  decision::call_coordinator<stub_router> calls(
      instance_id("n"), router, random_engine(1), {.max_calls = 100'000});
  std::vector<call_action> actions;
  time_point now(Seconds(1));
  auto site =
      std::make_shared<config::configuration>(*MakeConfiguration(30, 1));
  site->services[0].queue_limit = kWaitingCalls;
  calls.OnConfiguration(site, now, actions);
  calls.OnKeyFact({key_id("k0"), team_id("t0"), Sha256Hex("secret"), false},
                  revision(1), now, actions);
  calls.OnShare(team_id("t0"), decision::kWholeFractionPpm, now, actions);
  calls.OnReadiness(true, refusal_code::isolated, now, actions);
  now += Seconds(10);
  const std::size_t before = mallinfo2().uordblks;
  for (int i = 0; i < kWaitingCalls; ++i) {
    decision::call_arrival arrival;
    arrival.id = request_id("request-of-typical-length-" + std::to_string(i));
    arrival.presented_key = "k0.secret";
    arrival.target =
        decision::model_target{model_id("m" + std::to_string(i % 30)),
                               {},
                               tokens(100),
                               tokens(200),
                               1};
    arrival.body_digest = Sha256Hex(std::to_string(i));
    calls.OnArrival(std::move(arrival), now, actions);
  }
  const std::size_t after = mallinfo2().uordblks;
  std::printf("measure=waiting_call calls=%lld bytes_per_call=%zu\n",
              static_cast<long long>(calls.open_calls()),
              (after - before) / kWaitingCalls);
}

}  // namespace

void MeasureDecisionCost() {
  Measure(1, 1, 10);
  Measure(30, 5, 10);
  Measure(30, 5, 1000);
  Measure(75, 100, 1000);
  Measure(75, 100, 10'000);
  MeasureWaitingCall();
}

}  // namespace jasminepath::bench
