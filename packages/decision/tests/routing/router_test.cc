#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/decision/routing/router.h"

namespace jasminepath::decision {
namespace {

constexpr time_point kStart = time_point(Seconds(1000));
constexpr int64_t kConcurrency = 8;

endpoint_id EngineName(int index) {
  return endpoint_id("e" + std::to_string(index));
}

vm_id VmOf(int index) {
  return vm_id("vm" + std::to_string(index));
}

std::shared_ptr<config::configuration> MakeSite(int endpoints) {
  auto made = std::make_shared<config::configuration>();
  config::service assistant;
  assistant.id = service_id("assistant");
  assistant.kind = config::service_kind::model;
  assistant.endpoint_concurrency = kConcurrency;
  config::service shop = assistant;
  shop.id = service_id("shop");
  shop.kind = config::service_kind::plain;
  for (int i = 0; i < endpoints; ++i) {
    config::endpoint endpoint;
    endpoint.id = EngineName(i);
    endpoint.vm = VmOf(i);
    endpoint.zone = zone_id(i % 2 == 0 ? "a" : "b");
    endpoint.address = "10.0.0.1:" + std::to_string(1000 + i);
    assistant.endpoints.push_back(endpoint);
    endpoint.id = endpoint_id("p" + std::to_string(i));
    shop.endpoints.push_back(endpoint);
  }
  config::model model;
  model.id = model_id("m");
  model.version = "1";
  assistant.models.push_back(model);
  made->services = {assistant, shop};
  return made;
}

// A router with its endpoints.
struct fixture {
  explicit fixture(int endpoints, routing_limits limits = {})
      : under_test(zone_id("a"), random_engine(7), limits) {
    under_test.OnConfiguration(MakeSite(endpoints), now);
  }

  void Report(int index,
              bool resident,
              int64_t running = 0,
              std::vector<adapter_id> adapters = {}) {
    endpoint_status status;
    status.endpoint = EngineName(index);
    status.incarnation = "1";
    status.load.running = running;
    if (resident)
      status.models.push_back({model_id("m"), "1", resident_state::resident,
                               std::move(adapters), bytes()});
    under_test.OnEndpointStatus(status, now);
  }
  routing_query Query() const {
    routing_query query;
    query.service = service_id("assistant");
    query.model = model_id("m");
    query.deadline = now + Seconds(30);
    return query;
  }
  routing_query PlainQuery() const {
    routing_query query;
    query.service = service_id("shop");
    query.deadline = now + Seconds(30);
    return query;
  }
  // Picks and dispatches. Returns the endpoint's id, or the number of the
  // verdict if there is none.
  std::string Send(const routing_query& query) {
    const routing_choice choice = under_test.Pick(query, now);
    if (choice.verdict != routing_verdict::picked)
      return std::to_string(static_cast<int>(choice.verdict));
    under_test.OnDispatched(choice.endpoint, query, now);
    return choice.endpoint.value();
  }
  void End(const std::string& endpoint, attempt_end end) {
    under_test.OnFinished(endpoint_id(endpoint), Query(), end, now);
  }
  void Fail(const std::string& endpoint, attempt_end end, int times) {
    for (int i = 0; i < times; ++i) {
      under_test.OnDispatched(endpoint_id(endpoint), Query(), now);
      End(endpoint, end);
    }
  }
  endpoint_rotation RotationOf(const std::string& endpoint) const {
    for (const endpoint_routing_status& line : under_test.Status(now)) {
      if (line.endpoint.value() == endpoint)
        return line.rotation;
    }
    return endpoint_rotation::leaving;
  }

  time_point now = kStart;
  router under_test;
};

BOOST_AUTO_TEST_CASE(OnlyEndpointsWithTheModelArePicked) {
  fixture site(4);
  for (int i = 0; i < 4; ++i)
    site.Report(i, i == 3);
  BOOST_TEST(site.Send(site.Query()) == "e3");
}

BOOST_AUTO_TEST_CASE(CallsWaitWhileNoReplicaIsReady) {
  fixture site(2);
  const routing_choice choice = site.under_test.Pick(site.Query(), site.now);
  BOOST_TEST((choice.verdict == routing_verdict::wait));
}

BOOST_AUTO_TEST_CASE(CallIsRefusedAtOnceIfTheLoadEstimateMissesTheDeadline) {
  fixture site(2);
  site.under_test.OnLoadEstimate(model_id("m"), Seconds(60), site.now);
  const routing_choice late = site.under_test.Pick(site.Query(), site.now);
  BOOST_TEST((late.verdict == routing_verdict::cannot_meet_deadline));
  site.under_test.OnLoadEstimate(model_id("m"), Seconds(20), site.now);
  const routing_choice early = site.under_test.Pick(site.Query(), site.now);
  BOOST_TEST((early.verdict == routing_verdict::wait));
}

BOOST_AUTO_TEST_CASE(ReplicaIsUsedOnReadyNoticeBeforeTheNextStatus) {
  fixture site(2);
  site.under_test.OnReplicaReady(model_id("m"), EngineName(1), site.now);
  BOOST_TEST(site.Send(site.Query()) == "e1");
}

BOOST_AUTO_TEST_CASE(FullEndpointsMakeCallsWait) {
  fixture site(1);
  site.Report(0, true);
  for (int64_t i = 0; i < kConcurrency; ++i)
    BOOST_TEST(site.Send(site.Query()) == "e0");
  const routing_choice choice = site.under_test.Pick(site.Query(), site.now);
  BOOST_TEST((choice.verdict == routing_verdict::wait));
  site.End("e0", attempt_end::answered);
  BOOST_TEST(site.Send(site.Query()) == "e0");
}

BOOST_AUTO_TEST_CASE(LaggedReportIsCorrectedByLaterDispatches) {
  fixture site(2);
  site.Report(0, true);
  site.Report(2 - 1, true);
  for (int i = 0; i < 6; ++i)
    site.Send(site.Query());
  // The calls were sent one second ago. The reported load is two seconds old
  // and does not include them.
  site.now += Seconds(1);
  endpoint_status old;
  old.endpoint = EngineName(0);
  old.incarnation = "1";
  old.models.push_back(
      {model_id("m"), "1", resident_state::resident, {}, bytes()});
  old.load.age = Seconds(2);
  site.under_test.OnEndpointStatus(old, site.now);
  for (const endpoint_routing_status& line : site.under_test.Status(site.now)) {
    if (line.endpoint == EngineName(0))
      BOOST_TEST(line.load == line.outstanding);
  }
}

BOOST_AUTO_TEST_CASE(OwnZoneIsPreferredUntilItIsBusier) {
  fixture site(2);
  site.Report(0, true);
  site.Report(1, true);
  BOOST_TEST(site.Send(site.Query()) == "e0");
  BOOST_TEST(site.Send(site.Query()) == "e0");
  BOOST_TEST(site.Send(site.Query()) == "e0");
  BOOST_TEST(site.Send(site.Query()) == "e1");
}

BOOST_AUTO_TEST_CASE(CachedPrefixIsPreferredUntilItsEndpointIsOverloaded) {
  fixture site(4);
  for (int i = 0; i < 4; ++i)
    site.Report(i, true);
  site.under_test.OnCacheEvents(
      {{EngineName(3), "1", 1, cache_change::stored, 77}}, site.now);
  routing_query query = site.Query();
  query.prefix_hash = 77;
  BOOST_TEST(site.Send(query) == "e3");
  std::set<std::string> used;
  for (int i = 0; i < 16; ++i)
    used.insert(site.Send(query));
  BOOST_TEST(used.size() > 1u);
}

BOOST_AUTO_TEST_CASE(LateCacheEventsOfAnEarlierSequenceAreIgnored) {
  fixture site(4);
  for (int i = 0; i < 4; ++i)
    site.Report(i, true);
  site.under_test.OnCacheEvents(
      {{EngineName(3), "1", 9, cache_change::stored, 77},
       {EngineName(3), "1", 5, cache_change::removed, 77}},
      site.now);
  routing_query query = site.Query();
  query.prefix_hash = 77;
  BOOST_TEST(site.Send(query) == "e3");
}

BOOST_AUTO_TEST_CASE(MissingAdapterIsRequestedAndTheCallWaits) {
  fixture site(2);
  site.Report(0, true);
  routing_query query = site.Query();
  query.adapter = adapter_id("a1");
  BOOST_TEST(
      (site.under_test.Pick(query, site.now).verdict == routing_verdict::wait));
  const std::vector<adapter_need> needs = site.under_test.TakeAdapterNeeds();
  BOOST_REQUIRE(needs.size() == 1u);
  BOOST_TEST(needs[0].adapter.value() == "a1");
  site.Report(0, true, 0, {adapter_id("a1")});
  BOOST_TEST(site.Send(query) == "e0");
}

BOOST_AUTO_TEST_CASE(EndpointWithTheAdapterIsPreferred) {
  fixture site(2);
  site.Report(0, true);
  site.Report(1, true, 1, {adapter_id("a1")});
  routing_query query = site.Query();
  query.adapter = adapter_id("a1");
  BOOST_TEST(site.Send(query) == "e1");
}

BOOST_AUTO_TEST_CASE(LeavingAndRemovedVmsGetNoNewCalls) {
  fixture site(3);
  for (int i = 0; i < 3; ++i)
    site.Report(i, true);
  site.under_test.OnVmList({}, {VmOf(0), VmOf(1), VmOf(2)}, site.now);
  site.under_test.OnVmList({VmOf(0)}, {VmOf(2)}, site.now);
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(site.Send(site.Query()) == "e2");
  site.under_test.OnVmList({VmOf(0), VmOf(2)}, {}, site.now);
  const routing_choice choice = site.under_test.Pick(site.Query(), site.now);
  BOOST_TEST((choice.verdict == routing_verdict::no_endpoint));
}

BOOST_AUTO_TEST_CASE(FailingEndpointLeavesRotationAndReturnsByProbes) {
  fixture site(2);
  site.Report(0, true);
  site.Report(1, true);
  site.Fail("e0", attempt_end::connect_failed, 3);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::ejected));
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(site.Send(site.Query()) == "e1");
  site.now += Seconds(3);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::probing));
  // Only one probe runs at a time.
  BOOST_TEST(site.Send(site.Query()) == "e0");
  BOOST_TEST(site.Send(site.Query()) == "e1");
  site.End("e0", attempt_end::answered);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(site.Send(site.Query()) == "e0");
    site.End("e0", attempt_end::answered);
  }
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::in_use));
}

BOOST_AUTO_TEST_CASE(FailedProbeDoublesTheEjectionTime) {
  fixture site(2);
  site.Report(0, true);
  site.Report(1, true);
  site.Fail("e0", attempt_end::server_error, 3);
  site.now += Seconds(3);
  site.Fail("e0", attempt_end::server_error, 1);
  site.now += Seconds(3);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::ejected));
  site.now += Seconds(2);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::probing));
}

BOOST_AUTO_TEST_CASE(OutlierDetectionNeverEmptiesAPool) {
  fixture site(2);
  site.Fail("p0", attempt_end::connect_failed, 5);
  site.Fail("p1", attempt_end::connect_failed, 5);
  const routing_choice choice =
      site.under_test.Pick(site.PlainQuery(), site.now);
  BOOST_TEST((choice.verdict == routing_verdict::picked));
}

BOOST_AUTO_TEST_CASE(FirstSilentConnectionIsNotCountedAgainstTheEndpoint) {
  routing_limits limits;
  limits.failures_to_eject = 1;
  fixture site(2, limits);
  site.Report(0, true);
  // The network path loses the connections of three running calls.
  for (int i = 0; i < 3; ++i)
    site.under_test.OnDispatched(EngineName(0), site.Query(), site.now);
  for (int i = 0; i < 3; ++i)
    site.End("e0", attempt_end::silent);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::in_use));
  BOOST_TEST(site.under_test.ShouldUseNewConnection(EngineName(0)));
  // An attempt on a new connection fails as well.
  site.Fail("e0", attempt_end::silent, 1);
  BOOST_TEST((site.RotationOf("e0") == endpoint_rotation::ejected));
}

BOOST_AUTO_TEST_CASE(AnswerOnNewConnectionClearsPathSuspicion) {
  fixture site(1);
  site.Fail("e0", attempt_end::cut, 1);
  BOOST_TEST(site.under_test.ShouldUseNewConnection(EngineName(0)));
  site.Fail("e0", attempt_end::answered, 1);
  BOOST_TEST(!site.under_test.ShouldUseNewConnection(EngineName(0)));
}

BOOST_AUTO_TEST_CASE(PlainServicesArePickedByTheSameRules) {
  fixture site(3);
  site.Fail("p0", attempt_end::connect_failed, 3);
  site.under_test.OnVmList({VmOf(1)}, {VmOf(0), VmOf(2)}, site.now);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(site.Send(site.PlainQuery()) == "p2");
}

BOOST_AUTO_TEST_CASE(EndpointsThatFailedTheCallAreAvoided) {
  fixture site(2);
  site.Report(0, true);
  site.Report(1, true);
  routing_query query = site.Query();
  query.avoid = {EngineName(0)};
  BOOST_TEST(site.Send(query) == "e1");
}

BOOST_AUTO_TEST_CASE(PickedEndpointsAreUsableUnderRandomEvents) {
  BOOST_TEST(rc::check("picks are ready, not leaving and not full", [] {
    fixture site(6);
    std::map<std::string, int64_t> outstanding;
    std::set<int> resident;
    std::set<int> leaving;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 6)));
    for (const auto& [kind, index] : steps) {
      site.now += Milliseconds(300);
      const std::string name = EngineName(index).value();
      if (kind == 0) {
        resident.insert(index);
        site.Report(index, true);
      } else if (kind == 1) {
        resident.erase(index);
        site.Report(index, false);
      } else if (kind == 2) {
        if (!leaving.erase(index))
          leaving.insert(index);
        std::vector<vm_id> going;
        std::vector<vm_id> live;
        for (int i = 0; i < 6; ++i)
          (leaving.contains(i) ? going : live).push_back(VmOf(i));
        site.under_test.OnVmList(going, live, site.now);
      } else if (kind == 3 && outstanding[name] > 0) {
        --outstanding[name];
        site.End(name, index % 2 == 0 ? attempt_end::answered
                                      : attempt_end::connect_failed);
      } else if (kind > 3) {
        std::set<int> usable;
        for (const int candidate : resident) {
          const auto engine = EngineName(candidate).value();
          if (!leaving.contains(candidate) &&
              outstanding[engine] < kConcurrency)
            usable.insert(candidate);
        }
        const std::string picked = site.Send(site.Query());
        if (picked[0] != 'e')
          continue;
        RC_ASSERT(usable.contains(std::stoi(picked.substr(1))));
        ++outstanding[picked];
      }
    }
  }));
}

}  // namespace
}  // namespace jasminepath::decision
