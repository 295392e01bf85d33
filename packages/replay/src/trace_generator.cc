#include "jasminepath/replay/trace_generator.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"

namespace jasminepath::replay {
namespace {

constexpr double kMsPerHour = 3'600'000;
// The popularity of the model of rank r is proportional to r to the power
// of minus this.
constexpr double kPopularityExponent = 1.4;
// A burst for an idle model: kBurstRequests requests within kBurstLengthMs.
constexpr int64_t kBurstRequests = 6;
constexpr int64_t kBurstLengthMs = 200;
constexpr double kBurstsPerModelHour = 0.25;
// An overload: a team sends kOverloadFactor times its rate for
// kOverloadLengthMs.
constexpr double kOverloadsPerHour = 0.5;
constexpr int64_t kOverloadLengthMs = 20'000;
constexpr double kOverloadFactor = 3;
constexpr int64_t kPrefixesPerModel = 12;
constexpr int64_t kMaxResendDelayMs = 400;
constexpr int kResendPercent = 5;
constexpr int64_t kPercent = 100;

// Random numbers that are the same with every standard library; the standard
// distributions are not.
class portable_random {
 public:
  explicit portable_random(uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1).
  double Fraction() {
    constexpr double kSpan = 9007199254740992.0;  // 2^53
    return static_cast<double>(engine_() >> 11) / kSpan;
  }
  // Uniform in [0, bound).
  int64_t Below(int64_t bound) {
    return static_cast<int64_t>(Fraction() * static_cast<double>(bound));
  }
  int64_t Between(int64_t least, int64_t most) {
    return least + Below(most - least + 1);
  }

 private:
  random_engine engine_;
};

class generator {
 public:
  generator(const config::configuration& site, const generator_options& options)
      : options_(options),
        random_(options.seed),
        end_ms_(static_cast<int64_t>(options.hours * kMsPerHour)) {
    trace_.site = site;
    trace_.nodes = options.nodes;
  }

  trace Generate() {
    for (const config::service& service : trace_.site.services) {
      if (service.kind == config::service_kind::model)
        AddModelService(service);
      else
        AddPlainService(service);
    }
    AddFaults();
    SortAndNumber();
    return std::move(trace_);
  }

 private:
  team_id PickTeam(const config::service& service) {
    if (!service.teams.empty())
      return service.teams[static_cast<std::size_t>(
          random_.Below(static_cast<int64_t>(service.teams.size())))];
    return trace_.site
        .teams[static_cast<std::size_t>(
            random_.Below(static_cast<int64_t>(trace_.site.teams.size())))]
        .id;
  }

  int64_t PickNode() { return random_.Between(1, options_.nodes); }
  int64_t PickTimeMs() { return random_.Below(end_ms_); }

  std::string NextId() { return "r" + std::to_string(++last_id_); }

  trace_request ModelRequest(const config::model& model,
                             const team_id& team,
                             int64_t at_ms) {
    trace_request request;
    request.at_ms = at_ms;
    request.node = PickNode();
    request.team = team;
    request.model = model.id;
    if (!model.adapters.empty() && random_.Below(2) == 0)
      request.adapter = model
                            .adapters[static_cast<std::size_t>(random_.Below(
                                static_cast<int64_t>(model.adapters.size())))]
                            .id;
    request.prefix = random_.Between(1, kPrefixesPerModel);
    request.prompt_tokens = random_.Between(60, 900);
    request.output_tokens = random_.Between(30, 300);
    return request;
  }

  void AddModelService(const config::service& service) {
    AddCachedCopies(service);
    double weights = 0;
    for (std::size_t i = 0; i < service.models.size(); ++i)
      weights += Popularity(i);
    for (std::size_t i = 0; i < service.models.size(); ++i) {
      const double per_hour =
          options_.model_requests_per_hour * Popularity(i) / weights;
      AddSteadyRequests(service, service.models[i], per_hour);
      AddBursts(service, service.models[i]);
    }
    AddOverloads(service);
  }

  static double Popularity(std::size_t rank) {
    return 1 / std::pow(static_cast<double>(rank + 1), kPopularityExponent);
  }

  // Each endpoint has every third model on its disk, starting at its own index
  // modulo three.
  void AddCachedCopies(const config::service& service) {
    for (std::size_t e = 0; e < service.endpoints.size(); ++e) {
      for (std::size_t m = e % 3; m < service.models.size(); m += 3)
        trace_.cached.push_back(
            {service.endpoints[e].id, service.models[m].id});
    }
  }

  int64_t DrawCount(double per_hour) {
    return static_cast<int64_t>(per_hour * options_.hours + random_.Fraction());
  }

  void AddSteadyRequests(const config::service& service,
                         const config::model& model,
                         double per_hour) {
    for (int64_t remaining = DrawCount(per_hour); remaining > 0; --remaining)
      trace_.requests.push_back(
          ModelRequest(model, PickTeam(service), PickTimeMs()));
  }

  void AddBursts(const config::service& service, const config::model& model) {
    for (int64_t remaining = DrawCount(kBurstsPerModelHour); remaining > 0;
         --remaining) {
      const int64_t at = PickTimeMs();
      const team_id team = PickTeam(service);
      for (int64_t i = 0; i < kBurstRequests; ++i)
        trace_.requests.push_back(
            ModelRequest(model, team, at + random_.Below(kBurstLengthMs)));
    }
  }

  void AddOverloads(const config::service& service) {
    for (int64_t remaining = DrawCount(kOverloadsPerHour); remaining > 0;
         --remaining) {
      const int64_t begin = PickTimeMs();
      const team_id team = PickTeam(service);
      double budget =
          kOverloadFactor * RateOf(team) * kOverloadLengthMs / 1000.0;
      while (budget > 0) {
        trace_request request =
            ModelRequest(service.models.front(), team,
                         begin + random_.Below(kOverloadLengthMs));
        budget -=
            static_cast<double>(request.prompt_tokens + request.output_tokens);
        trace_.requests.push_back(std::move(request));
      }
    }
  }

  double RateOf(const team_id& id) const {
    for (const config::team& team : trace_.site.teams) {
      if (team.id == id)
        return static_cast<double>(team.rate_per_second.count());
    }
    return 0;
  }

  void AddPlainService(const config::service& service) {
    const double per_route = options_.plain_requests_per_hour /
                             static_cast<double>(service.routes.size());
    for (const config::route& route : service.routes) {
      for (int64_t remaining = DrawCount(per_route); remaining > 0; --remaining)
        AddPlainRequest(service, route);
    }
  }

  void AddPlainRequest(const config::service& service,
                       const config::route& route) {
    trace_request request;
    request.at_ms = PickTimeMs();
    request.node = PickNode();
    if (!route.open)
      request.team = PickTeam(service);
    request.method = route.method;
    request.path = route.path_prefix + "/" + std::to_string(random_.Below(500));
    if (!route.idempotent) {
      request.idempotency_key = "k" + std::to_string(++last_key_);
      request.body = request.idempotency_key;
      request.expect = expectation{stated_outcome::run_at_most_once, "", 0};
    }
    trace_.requests.push_back(request);
    if (route.idempotent || random_.Below(kPercent) >= kResendPercent)
      return;
    request.at_ms += random_.Below(kMaxResendDelayMs);
    request.node = PickNode();
    trace_.requests.push_back(request);
  }

  void AddFault(fault_kind kind,
                const std::string& target,
                int64_t for_ms,
                int64_t amount) {
    trace_.faults.push_back({PickTimeMs(), kind, target, for_ms, amount});
  }

  std::string PickEndpointVm() {
    const config::service& service =
        trace_.site.services[static_cast<std::size_t>(
            random_.Below(static_cast<int64_t>(trace_.site.services.size())))];
    return service
        .endpoints[static_cast<std::size_t>(
            random_.Below(static_cast<int64_t>(service.endpoints.size())))]
        .vm.value();
  }

  void AddFaults() {
    if (options_.faults == fault_level::none)
      return;
    const double scale = options_.faults == fault_level::storm ? 12 : 1;
    for (int64_t remaining = DrawCount(scale * 0.5); remaining > 0; --remaining)
      AddFault(fault_kind::node_killed, std::to_string(PickNode()), 30'000, 0);
    for (int64_t remaining = DrawCount(scale * 0.5); remaining > 0; --remaining)
      AddFault(fault_kind::node_paused, std::to_string(PickNode()),
               random_.Between(1'000, 20'000), 0);
    for (int64_t remaining = DrawCount(scale * 0.25); remaining > 0;
         --remaining)
      AddFault(fault_kind::vm_reclaimed, PickEndpointVm(), 60'000, 0);
    for (int64_t remaining = DrawCount(scale * 0.25); remaining > 0;
         --remaining)
      AddFault(fault_kind::store_slow, "", 120'000, 4);
    for (int64_t remaining = DrawCount(scale * 0.25); remaining > 0;
         --remaining)
      AddFault(fault_kind::platform_down, "", random_.Between(5'000, 300'000),
               0);
    for (int64_t remaining = DrawCount(scale * 0.5); remaining > 0; --remaining)
      AddFault(fault_kind::answers_lost, "", 0, 3);
  }

  template <typename Events>
  static void SortByTime(Events& events) {
    std::stable_sort(
        events.begin(), events.end(),
        [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  }

  void SortAndNumber() {
    SortByTime(trace_.requests);
    SortByTime(trace_.faults);
    for (trace_request& request : trace_.requests)
      request.id = NextId();
  }

  generator_options options_;
  portable_random random_;
  int64_t end_ms_;
  int64_t last_id_ = 0;
  int64_t last_key_ = 0;
  trace trace_;
};

}  // namespace

std::optional<fault_level> ParseFaultLevel(std::string_view name) {
  if (name == "none")
    return fault_level::none;
  if (name == "ordinary")
    return fault_level::ordinary;
  if (name == "storm")
    return fault_level::storm;
  return std::nullopt;
}

trace MakeTrace(const config::configuration& site,
                const generator_options& options) {
  return generator(site, options).Generate();
}

}  // namespace jasminepath::replay
