#include "jasminepath/replay/trace_generator.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"

namespace jasminepath::replay {
namespace {

constexpr double kMsPerHour = 3'600'000;
// Popularity of the model of rank r falls with r to this power.
constexpr double kPopularityFall = 1.4;
// A burst for a model that slept: so many requests within this time.
constexpr int64_t kBurstRequests = 6;
constexpr int64_t kBurstMs = 200;
constexpr double kBurstsPerModelHour = 0.25;
// Now and then a team sends several times its rate for a while.
constexpr double kOverloadsPerHour = 0.5;
constexpr int64_t kOverloadMs = 20'000;
constexpr double kOverloadFactor = 3;
constexpr int64_t kPrefixesPerModel = 12;
constexpr int64_t kResendAfterMs = 400;
constexpr int kResendPercent = 5;
constexpr int64_t kPercent = 100;

// Numbers that are the same with every standard library.
class plain_random {
 public:
  explicit plain_random(uint64_t seed) : engine_(seed) {}

  // From 0 to below 1.
  double Fraction() {
    constexpr double kSpan = 9007199254740992.0;  // 2^53
    return static_cast<double>(engine_() >> 11) / kSpan;
  }
  // From 0 to below `bound`.
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

  trace Make() {
    for (const config::service& service : trace_.site.services) {
      if (service.kind == config::service_kind::model)
        AddModelService(service);
      else
        AddPlainService(service);
    }
    AddFaults();
    Order();
    return std::move(trace_);
  }

 private:
  team_id SomeTeam(const config::service& service) {
    if (!service.teams.empty())
      return service.teams[static_cast<std::size_t>(
          random_.Below(static_cast<int64_t>(service.teams.size())))];
    return trace_.site
        .teams[static_cast<std::size_t>(
            random_.Below(static_cast<int64_t>(trace_.site.teams.size())))]
        .id;
  }

  int64_t SomeNode() { return random_.Between(1, options_.nodes); }
  int64_t SomeTime() { return random_.Below(end_ms_); }

  std::string NextId() { return "r" + std::to_string(++last_id_); }

  trace_request ModelRequest(const config::model& model,
                             const team_id& team,
                             int64_t at_ms) {
    trace_request request;
    request.at_ms = at_ms;
    request.node = SomeNode();
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
      AddSteady(service, service.models[i], per_hour);
      AddBursts(service, service.models[i]);
    }
    AddOverloads(service);
  }

  static double Popularity(std::size_t rank) {
    return 1 / std::pow(static_cast<double>(rank + 1), kPopularityFall);
  }

  // Every third model is on the disk of each third endpoint.
  void AddCachedCopies(const config::service& service) {
    for (std::size_t e = 0; e < service.endpoints.size(); ++e) {
      for (std::size_t m = e % 3; m < service.models.size(); m += 3)
        trace_.cached.push_back(
            {service.endpoints[e].id, service.models[m].id});
    }
  }

  int64_t CountOf(double per_hour) {
    return static_cast<int64_t>(per_hour * options_.hours + random_.Fraction());
  }

  void AddSteady(const config::service& service,
                 const config::model& model,
                 double per_hour) {
    for (int64_t left = CountOf(per_hour); left > 0; --left)
      trace_.requests.push_back(
          ModelRequest(model, SomeTeam(service), SomeTime()));
  }

  void AddBursts(const config::service& service, const config::model& model) {
    for (int64_t left = CountOf(kBurstsPerModelHour); left > 0; --left) {
      const int64_t at = SomeTime();
      const team_id team = SomeTeam(service);
      for (int64_t i = 0; i < kBurstRequests; ++i)
        trace_.requests.push_back(
            ModelRequest(model, team, at + random_.Below(kBurstMs)));
    }
  }

  void AddOverloads(const config::service& service) {
    for (int64_t left = CountOf(kOverloadsPerHour); left > 0; --left) {
      const int64_t begin = SomeTime();
      const team_id team = SomeTeam(service);
      double budget = kOverloadFactor * RateOf(team) * kOverloadMs / 1000.0;
      while (budget > 0) {
        trace_request request = ModelRequest(
            service.models.front(), team, begin + random_.Below(kOverloadMs));
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
      for (int64_t left = CountOf(per_route); left > 0; --left)
        AddPlainRequest(service, route);
    }
  }

  void AddPlainRequest(const config::service& service,
                       const config::route& route) {
    trace_request request;
    request.at_ms = SomeTime();
    request.node = SomeNode();
    if (!route.open)
      request.team = SomeTeam(service);
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
    request.at_ms += random_.Below(kResendAfterMs);
    request.node = SomeNode();
    trace_.requests.push_back(request);
  }

  void AddFault(fault_kind kind,
                const std::string& target,
                int64_t for_ms,
                int64_t amount) {
    trace_.faults.push_back({SomeTime(), kind, target, for_ms, amount});
  }

  std::string SomeEndpointVm() {
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
    for (int64_t left = CountOf(scale * 0.5); left > 0; --left)
      AddFault(fault_kind::node_killed, std::to_string(SomeNode()), 30'000, 0);
    for (int64_t left = CountOf(scale * 0.5); left > 0; --left)
      AddFault(fault_kind::node_paused, std::to_string(SomeNode()),
               random_.Between(1'000, 20'000), 0);
    for (int64_t left = CountOf(scale * 0.25); left > 0; --left)
      AddFault(fault_kind::vm_reclaimed, SomeEndpointVm(), 60'000, 0);
    for (int64_t left = CountOf(scale * 0.25); left > 0; --left)
      AddFault(fault_kind::store_slow, "", 120'000, 4);
    for (int64_t left = CountOf(scale * 0.25); left > 0; --left)
      AddFault(fault_kind::platform_down, "", random_.Between(5'000, 300'000),
               0);
    for (int64_t left = CountOf(scale * 0.5); left > 0; --left)
      AddFault(fault_kind::answers_lost, "", 0, 3);
  }

  template <typename Events>
  static void OrderByTime(Events& events) {
    std::stable_sort(
        events.begin(), events.end(),
        [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  }

  void Order() {
    OrderByTime(trace_.requests);
    OrderByTime(trace_.faults);
    for (trace_request& request : trace_.requests)
      request.id = NextId();
  }

  generator_options options_;
  plain_random random_;
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
  return generator(site, options).Make();
}

}  // namespace jasminepath::replay
