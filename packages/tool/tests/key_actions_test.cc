#include "jasminepath/tool/key_actions.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "fake_nodes.h"
#include "fake_platform.h"
#include "jasminepath/config/site_loader.h"

namespace jasminepath::tool {
namespace {

struct no_pause {
  void operator()() const {}
};

using test_publisher =
    fact_publisher<fake_platform, fake_platform, fake_nodes, no_pause>;

struct test_site {
  test_site() {
    const auto site = config::LoadSite(std::string(JASMINEPATH_SOURCE_DIR) +
                                       "/examples/threadwell");
    platform.Write(platform::kConfigurationKey,
                   config::ToJson(site.value().compiled));
  }

  fake_platform platform;
  fake_nodes nodes;
  test_publisher publisher{platform, platform, nodes, push_limits(),
                           no_pause()};
  key_actions<fake_platform, test_publisher> actions{platform, publisher};
};

std::string RowOf(const test_site& site, const key_id& id) {
  return site.platform.ValueOf(platform::TeamKeyRow(id));
}

BOOST_AUTO_TEST_CASE(IssuedKeyIsListedWithoutItsSecret) {
  test_site site;
  const key_issue_result issued = site.actions.Issue(team_id("trial")).value();
  const auto keys = site.actions.List().value();
  BOOST_REQUIRE(keys.size() == 1);
  BOOST_TEST((keys[0] == issued.key.record));
  const std::string secret =
      issued.key.presented.substr(issued.key.record.id.value().size() + 1);
  BOOST_TEST(RowOf(site, keys[0].id).find(secret) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownTeamGetsNoKey) {
  test_site site;
  const auto issued = site.actions.Issue(team_id("nobody"));
  BOOST_REQUIRE(!issued.has_value());
  BOOST_TEST((issued.error() == key_refusal::unknown_team));
  BOOST_TEST(site.actions.List().value().empty());
}

BOOST_AUTO_TEST_CASE(NoKeyBeforeAConfigurationIsPublished) {
  fake_platform platform;
  const fake_nodes nodes;
  test_publisher publisher(platform, platform, nodes, push_limits(),
                           no_pause());
  key_actions<fake_platform, test_publisher> actions(platform, publisher);
  BOOST_TEST((actions.Issue(team_id("trial")).error() ==
              key_refusal::nothing_published));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyStaysWithdrawn) {
  test_site site;
  const key_id id = site.actions.Issue(team_id("trial")).value().key.record.id;
  for (int i = 0; i < 2; ++i) {
    const auto report = site.actions.Withdraw(id);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report.value().commit.state == commit_state::committed));
    BOOST_TEST(site.actions.List().value()[0].withdrawn);
  }
}

BOOST_AUTO_TEST_CASE(WithdrawalIsRetriedAfterAConflict) {
  test_site site;
  const key_issue_result issued = site.actions.Issue(team_id("trial")).value();
  const std::string row = platform::TeamKeyRow(issued.key.record.id);
  bool is_competitor_first = true;
  site.platform.before_commit = [&] {
    if (std::exchange(is_competitor_first, false))
      site.platform.Write(row, site.platform.ValueOf(row));
  };
  const auto report = site.actions.Withdraw(issued.key.record.id);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST((report.value().commit.state == commit_state::committed));
  BOOST_TEST(site.actions.List().value()[0].withdrawn);
}

BOOST_AUTO_TEST_CASE(UnknownKeyCannotBeWithdrawn) {
  test_site site;
  BOOST_TEST((site.actions.Withdraw(key_id("0123456789abcdef")).error() ==
              key_refusal::unknown_key));
}

BOOST_AUTO_TEST_CASE(UnreachablePlatformIsReported) {
  test_site site;
  site.platform.should_fail_reads = true;
  BOOST_TEST((site.actions.Issue(team_id("trial")).error() ==
              key_refusal::platform_unavailable));
  BOOST_TEST((site.actions.Withdraw(key_id("a")).error() ==
              key_refusal::platform_unavailable));
}

}  // namespace
}  // namespace jasminepath::tool
