#include "jasminepath/tool/fact_publisher.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fake_nodes.h"
#include "fake_platform.h"

namespace jasminepath::tool {
namespace {

struct no_pause {
  void operator()() const {}
};

using test_publisher =
    fact_publisher<fake_platform, fake_platform, fake_nodes, no_pause>;

push_limits ShortLimits() {
  push_limits limits;
  limits.timeout = Milliseconds(50);
  limits.retry_interval = Milliseconds(1);
  return limits;
}

// A platform with three nodes on three listed VMs.
struct test_site {
  test_site() {
    for (const char* name : {"1", "2", "3"})
      Register(std::string("entry-") + name, std::string("run-") + name);
  }

  void Register(const std::string& vm,
                const std::string& instance,
                int started = 1) {
    platform.Write("instance/" + instance,
                   "{\"instance\":\"" + instance + "\",\"vm\":\"" + vm +
                       "\",\"zone\":\"a\",\"admin_address\":\"" + instance +
                       ":1\",\"started\":" + std::to_string(started) + "}");
    platform.vms.push_back({vm_id(vm), platform::vm_state::live});
  }

  fact_report Publish(const std::string& value, revision base) {
    test_publisher publisher(platform, platform, nodes, ShortLimits(),
                             no_pause());
    return publisher.Run({platform::kConfigurationKey, value, base});
  }

  fake_platform platform;
  fake_nodes nodes;
};

BOOST_AUTO_TEST_CASE(ConfirmsOnEveryNode) {
  test_site site;
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST((report.commit.state == commit_state::committed));
  BOOST_TEST(report.push.nodes.size() == 3);
  BOOST_TEST(report.push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(RetriesNodesThatFailFirst) {
  test_site site;
  site.nodes.failures_left["run-2:1"] = 2;
  BOOST_TEST(site.Publish("v1", revision(0)).push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(ReportsTheNodeThatDoesNotConfirm) {
  test_site site;
  site.nodes.failures_left["run-3:1"] = -1;
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST((report.commit.state == commit_state::committed));
  BOOST_TEST(!report.push.IsInForceEverywhere());
  BOOST_TEST(report.push.nodes[2].target.vm == vm_id("entry-3"));
  BOOST_TEST(!report.push.nodes[2].is_confirmed);
  BOOST_TEST(report.push.nodes[2].problem == "connection refused");
}

BOOST_AUTO_TEST_CASE(OlderVersionInForceIsNotAConfirmation) {
  test_site site;
  site.nodes.stale_address = "run-1:1";
  BOOST_TEST(!site.Publish("v1", revision(0)).push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(SuccessorOnTheSameVmReplacesItsPredecessor) {
  test_site site;
  site.nodes.failures_left["run-1:1"] = -1;
  site.Register("entry-1", "run-1b", 2);
  // The predecessor's row is written last, so it has the higher row version.
  site.Register("entry-1", "run-1", 1);
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST(report.push.nodes.size() == 3);
  BOOST_TEST(report.push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(UnresponsiveNodeOnAnUnlistedVmIsReportedSeparately) {
  test_site site;
  site.nodes.failures_left["run-3:1"] = -1;
  site.platform.vms.pop_back();
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST(report.push.IsInForceEverywhere());
  BOOST_REQUIRE(report.push.unlisted.size() == 1);
  BOOST_TEST(report.push.unlisted[0].target.vm == vm_id("entry-3"));
}

BOOST_AUTO_TEST_CASE(UnreadableVmListCountsEveryRegisteredNode) {
  test_site site;
  site.nodes.failures_left["run-3:1"] = -1;
  site.platform.should_fail_list = true;
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST(report.push.nodes.size() == 3);
  BOOST_TEST(!report.push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(UnreadableNodeListIsNotReportedAsInForce) {
  test_site site;
  site.platform.before_commit = [&] { site.platform.should_fail_reads = true; };
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST((report.commit.state == commit_state::committed));
  BOOST_TEST(!report.push.has_node_list);
  BOOST_TEST(!report.push.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(LostResponseAfterCommitIsReportedAsCommittedOnce) {
  test_site site;
  const int before = site.platform.commits_applied;
  site.platform.commit_faults = {fake_fault::lost_after_commit};
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST((report.commit.state == commit_state::committed));
  BOOST_TEST(site.platform.commits_applied == before + 1);
}

BOOST_AUTO_TEST_CASE(LostResponseBeforeCommitIsRetried) {
  test_site site;
  site.platform.commit_faults = {fake_fault::lost_before_commit};
  const fact_report report = site.Publish("v1", revision(0));
  BOOST_TEST((report.commit.state == commit_state::committed));
  BOOST_TEST(site.platform.ValueOf(platform::kConfigurationKey) == "v1");
}

BOOST_AUTO_TEST_CASE(OutcomeStaysUnknownWhileEveryResponseIsLost) {
  test_site site;
  site.platform.commit_faults.assign(5, fake_fault::lost_before_commit);
  BOOST_TEST(
      (site.Publish("v1", revision(0)).commit.state == commit_state::unknown));
}

BOOST_AUTO_TEST_CASE(UnreachablePlatformMeansNotCommitted) {
  test_site site;
  site.platform.commit_faults.assign(5, fake_fault::unreachable);
  BOOST_TEST((site.Publish("v1", revision(0)).commit.state ==
              commit_state::not_committed));
}

BOOST_AUTO_TEST_CASE(SupersededCommitReportsTheCurrentRow) {
  test_site site;
  bool is_competitor_first = true;
  site.platform.before_commit = [&] {
    if (std::exchange(is_competitor_first, false))
      site.platform.Write(platform::kConfigurationKey, "theirs");
  };
  const fact_report report = site.Publish("ours", revision(0));
  BOOST_TEST((report.commit.state == commit_state::superseded));
  BOOST_TEST(report.commit.current.value().value == "theirs");
  BOOST_TEST(site.platform.ValueOf(platform::kConfigurationKey) == "theirs");
}

// Under lost responses and a competing write, `committed` means that our value
// was written exactly once. `not_committed`, and `superseded` without a lost
// response, mean that it was never written.
BOOST_AUTO_TEST_CASE(ReportAgreesWithTheTableUnderRandomFaults) {
  BOOST_TEST(rc::check("a report agrees with the table", [] {
    test_site site;
    const auto faults =
        *rc::gen::container<std::vector<fake_fault>>(rc::gen::element(
            fake_fault::none, fake_fault::unreachable,
            fake_fault::lost_before_commit, fake_fault::lost_after_commit));
    site.platform.commit_faults.assign(faults.begin(), faults.end());
    const int competing_commit_index = *rc::gen::inRange(0, 8);
    int commits = 0;
    int competing_writes = 0;
    site.platform.before_commit = [&] {
      if (commits++ != competing_commit_index)
        return;
      site.platform.Write(platform::kConfigurationKey, "theirs");
      ++competing_writes;
    };
    const int before = site.platform.commits_applied;
    const commit_report report = site.Publish("ours", revision(0)).commit;
    const int ours = site.platform.commits_applied - before - competing_writes;
    RC_ASSERT(ours <= 1);
    if (report.state == commit_state::committed)
      RC_ASSERT(ours == 1);
    if (report.state == commit_state::not_committed)
      RC_ASSERT(ours == 0);
    if (report.state == commit_state::superseded && !report.may_have_applied)
      RC_ASSERT(ours == 0);
  }));
}

}  // namespace
}  // namespace jasminepath::tool
